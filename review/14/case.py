"""Clients send a start time beyond 64 bits; the process that owns the jobs ends each time."""

import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from world import World, job_id, main  # noqa: E402

PROCESSES = 3
ROUNDS = 14
PAUSE_S = 4.0
ENDS_EACH, MACHINES_OF_FAULT = 3, 2
AN_HOUR_MS = 3_600_000


def case(folder, has_trouble):
    """Hand in one such job a round, at each front in turn; return the exit code."""
    world = World(folder, machines=2)
    try:
        world.start_processes(PROCESSES)
        time.sleep(3.0)
        for _ in range(ROUNDS):
            start_ms = 2**64 if has_trouble else int(time.time() * 1000) + AN_HOUR_MS
            body = {
                "spec": "once, later",
                "steps": [{"count": 1, "cpu": 100, "mem-mb": 10, "estimate-ms": 500}],
                "times": 1,
                "start-at-ms": start_ms,
            }
            job = job_id()
            for name, front in world.fronts.items():
                status, _ = world.submit(front, job, body)
                if 200 <= status < 300 or status in (400, 404, 429):
                    break
                time.sleep(0.3)
                world.restart_ended()
            until_s = time.monotonic() + PAUSE_S
            while time.monotonic() < until_s:
                world.restart_ended()
                time.sleep(0.1)
            ends = Counter(world.ends_by_itself)
            world.recorder.write(f"ends by themselves so far: {dict(ends)}")
            often = [name for name, count in ends.items() if count >= ENDS_EACH]
            if len(often) >= MACHINES_OF_FAULT:
                world.recorder.write(f"Fault: processes of {often} ended by themselves 3 times")
                return 1
        return 0 if not world.ends_by_itself else 2
    finally:
        note_reasons(world)
        world.close()


def note_reasons(world):
    """Record what the processes say of their ends."""
    for name in world.fronts:
        for line in world.log_of(name).splitlines():
            if '"owner-ended"' in line:
                world.recorder.write(f"{name} has written: {line}")


main(Path(__file__).parent, case)
