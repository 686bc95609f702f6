"""A worker is cut off just after it got a task again, after it had nothing to do for a while."""

import time

from standins.checks import find_twice
from standins.link import LinkState
from standins.rig import ZONES, CouldNotRunError, Rig, play, route
from standins.worker import Start

PREFIX = "/kafi706/"
WORKERS = 6
CLOCK_RATE = 0.98
IDLE_S = 75.0
CUT_AFTER_S = 0.3
CUT_S = 5.5
CPU, MEM_MB = 880, 900
SETTLE_S = 4.0


def run(rig: Rig, has_trouble: bool) -> list[str]:
    """Run a short job on all workers, wait, submit a long task, and cut its worker off."""
    for number in range(WORKERS):
        zone = ZONES[number % len(ZONES)]
        rig.add_machine(f"m-{number}", zone, f"r1-{number}", clock_rate=CLOCK_RATE)
    rig.start([route("r-invoice", PREFIX)])
    time.sleep(3.0)
    _submit(rig, count=WORKERS, work_ms=500)
    time.sleep(IDLE_S)
    known = len(rig.starts)
    _submit(rig, count=1, work_ms=15_000)
    start = _next_start(rig, known)
    time.sleep(CUT_AFTER_S)
    if has_trouble:
        rig.record.add("worker-cut", worker=start.worker, for_s=CUT_S)
        rig.links[start.worker].state = LinkState.SILENT
    time.sleep(CUT_S)
    rig.links[start.worker].state = LinkState.OPEN
    rig.record.add("cut-over")
    time.sleep(SETTLE_S)
    return find_twice(rig.starts)


def _submit(rig: Rig, count: int, work_ms: int) -> None:
    """Submit a job of one step, with one task on a worker at most."""
    step = {"count": count, "cpu": CPU, "mem-mb": MEM_MB, "estimate-ms": work_ms}
    step["anti-affinity"] = 1
    job = rig.job_id()
    if not rig.submit(PREFIX, job, {"spec": f"work {work_ms} {CPU} {MEM_MB}", "steps": [step]}):
        raise CouldNotRunError(f"job {job} was not accepted")


def _next_start(rig: Rig, known: int) -> Start:
    """Return the first start after the known ones."""
    until_s = time.monotonic() + 3.0
    while len(rig.starts) <= known:
        if time.monotonic() > until_s:
            raise CouldNotRunError("the long task has not started")
        time.sleep(0.005)
    return rig.starts[known]


if __name__ == "__main__":
    play(__file__, run)
