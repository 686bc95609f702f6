"""Small tasks end on one worker while the store is down; the worker lists 500 ends at a time."""

import threading
import time

from standins.checks import find_twice
from standins.rig import CouldNotRunError, Rig, play, route

PREFIX = "/kafi706/"
JOBS, TASKS_PER_JOB = 26, 24
CPU, MEM_MB = 20, 64
WORK_MS = 3_000
OUTAGE_S = 4.0
SETTLE_S = 20.0


def run(rig: Rig, has_trouble: bool) -> list[str]:
    """Submit jobs of short tasks, take the store down while they run, and wait for their end."""
    for number, zone in enumerate(("se-a", "se-b", "se-c")):
        rig.add_machine(f"m-{number}", zone, f"r1-{number}")
    rig.start([route("r-invoice", PREFIX)])
    time.sleep(3.0)
    jobs = [rig.job_id() for _ in range(JOBS)]
    step = {"count": TASKS_PER_JOB, "cpu": CPU, "mem-mb": MEM_MB, "estimate-ms": WORK_MS}
    body = {"spec": f"work {WORK_MS} {CPU} {MEM_MB}", "steps": [step]}
    accepted: list[str] = []

    def submit(job: str) -> None:
        if rig.submit(PREFIX, job, body):
            accepted.append(job)

    clients = [threading.Thread(target=submit, args=(job,)) for job in jobs]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    if len(accepted) < JOBS:
        raise CouldNotRunError(f"{len(accepted)} of {JOBS} jobs were accepted")
    _wait_for_starts(rig)
    if has_trouble:
        rig.record.add("store-down", for_s=OUTAGE_S)
        rig.store.is_unavailable = True
        time.sleep(OUTAGE_S)
        rig.store.is_unavailable = False
        rig.record.add("store-up")
    time.sleep(SETTLE_S)
    for job in accepted:
        rig.call(rig.nodes[0], "GET", PREFIX + job)
    return find_twice(rig.starts)


def _wait_for_starts(rig: Rig) -> None:
    """Wait until all tasks have started; they end later than that."""
    until_s = time.monotonic() + WORK_MS / 1000.0
    while len(rig.starts) < JOBS * TASKS_PER_JOB:
        if time.monotonic() > until_s:
            raise CouldNotRunError(f"{len(rig.starts)} tasks have started")
        time.sleep(0.02)


if __name__ == "__main__":
    play(__file__, run)
