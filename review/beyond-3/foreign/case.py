"""An entry of another writer stands among the workers; each process that owns the jobs ends at it."""

import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins-3"))

from world import World, job_id, main  # noqa: E402

DIGITS = 400
FINISH_S, WATCHED_S = 14.0, 3.0
STEP = {"count": 4, "cpu": 1000, "mem-mb": 10, "estimate-ms": 500}


def case(folder, has_trouble):
    """Hand a job in beside the entry; return the exit code."""
    world = World(folder, machines=4)
    entry = {
        "service": "nightly-batch", "address": f"{world.host}:9", "zone": "a", "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "sequence": 1, "labels": ["a", "r1"],
        "capacity": world.capacity, "clock-ms": 1000,
        "born": 10**DIGITS if has_trouble else 1_771_923_000_000,
    }  # fmt: skip
    world.store.put("keyed.servers", "batch-7", entry)
    try:
        world.start_processes(3)
        job = job_id()
        if world.hand_in(job, {"spec": "ordinary", "steps": [STEP]}) != 200:
            return 2
        until_s = time.monotonic() + FINISH_S + WATCHED_S
        while time.monotonic() < until_s:
            time.sleep(0.2)
            world.restart_ended()
        state = world.state(job)
        world.recorder.write(
            f"job {state}, {world.started_tasks(job)} tasks started; "
            f"ends by themselves: {dict(Counter(world.ends_by_itself))}"
        )
        if world.started_tasks(job) == 0:
            world.recorder.write("LOST: nothing of an accepted job runs, on an idle fleet")
            return 1
        return 0 if state == "completed" else 2
    finally:
        world.close()


main(Path(__file__).parent, case)
