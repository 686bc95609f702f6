"""Beyond the five cases: jobs whose start went to a worker that is lost aren't given as pending.

MIXED: 'a machine in touch gives as `pending` under half of the jobs without times that were
accepted over `visible_ms` + 2 s before and haven't begun.'  Disruption: 'workers crash, or are lost
for good (`srv_crash`)', teawa-gangs: share 0.14, dark gone; here 1 of 8.  All others are full.
"""

import time

from standins.link import LinkState
from standins.rig import ZONES, CouldNotRunError, Rig, play, route

PREFIX = "/kafi706/"
WORKERS = 8
LONG_MS, LONG_CPU = 40_000, 15_800
JOBS, CPU, MEM_MB, WORK_MS = 10, 880, 900, 1_000
VISIBLE_S, AGE_S = 3.0, 2.0
WATCH_S = 15


def run(rig: Rig, has_trouble: bool) -> list[str]:
    """Fill all workers but one, lose that one, submit jobs, and ask how many are pending."""
    for number in range(WORKERS):
        rig.add_machine(f"m-{number}", ZONES[number % len(ZONES)], f"r1-{number}")
    rig.start([route("r-invoice", PREFIX)])
    time.sleep(3.0)
    if not _submit(rig, WORKERS - 1, LONG_CPU, LONG_MS):
        raise CouldNotRunError("the long job was not accepted")
    time.sleep(1.5)
    full = {start.worker for start in rig.starts}
    if len(full) < WORKERS - 1:
        raise CouldNotRunError(f"the long job runs on {len(full)} workers")
    machine = next(item for item in rig.machines.machines if item.worker.id not in full)
    link = rig.links[machine.worker.id]
    if has_trouble:
        rig.record.add("worker-lost", worker=machine.worker.id)
        link.state = LinkState.SILENT
        machine.state = "down"
    accepted_s = {
        job: time.monotonic() for _ in range(JOBS) if (job := _submit(rig, 1, CPU, WORK_MS))
    }
    broken = []
    for _ in range(WATCH_S):
        time.sleep(1.0)
        begun = {start.task.split(".")[0] for start in rig.starts}
        until_s = time.monotonic() - VISIBLE_S - AGE_S
        waiting = sum(at_s < until_s and job not in begun for job, at_s in accepted_s.items())
        for node in rig.nodes:
            answer = rig.call(node, "GET", PREFIX)
            if answer is not None and answer[0] == 200 and 2 * answer[1]["pending"] < waiting:
                broken.append(f"MIXED: {node.name} says {answer[1]}; {waiting} haven't begun")
    link.state = LinkState.OPEN
    return broken


def _submit(rig: Rig, count: int, cpu: int, work_ms: int) -> str | None:
    """Submit a job of one step, with one task on a worker at most; return its id if accepted."""
    step = {"count": count, "cpu": cpu, "mem-mb": MEM_MB, "estimate-ms": work_ms}
    step["anti-affinity"] = 1
    job = rig.job_id()
    body = {"spec": f"work {work_ms} {cpu} {MEM_MB}", "steps": [step]}
    return job if rig.submit(PREFIX, job, body) else None


if __name__ == "__main__":
    play(__file__, run)
