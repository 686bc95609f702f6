"""A job of 3,000 small tasks stops on an idle fleet and never goes on."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from world import World, job_id, main  # noqa: E402

FINISH_S, WATCHED_S = 14.0, 3.0
"""The rule's times."""

SEEN_S = 45.0
"""Time after the hand-in for which the case looks on, in seconds."""

ROUND_TRIP_S = 0.0028
"""Twice the 1.4 ms between two zones of the sheet; each call to a worker takes that long."""

MANY, FEW, CPU, TASK_MS = 3_000, 300, 4, 1_000


def case(folder, has_trouble):
    """Hand one job in, and watch it; return the exit code."""
    world = World(folder, machines=4, route={"target-latency-ms": 600_000})
    world.log_runs = False
    world.link_s = ROUND_TRIP_S
    count = MANY if has_trouble else FEW
    step = {"count": count, "cpu": CPU, "mem-mb": 1, "estimate-ms": TASK_MS}
    try:
        world.start_processes(3)
        time.sleep(4.0)
        job = job_id()
        if world.hand_in(job, {"spec": "small tasks", "steps": [step]}) != 200:
            return 2
        handed_in_s = time.monotonic()
        idle_since_s = None
        is_broken = False
        while time.monotonic() - handed_in_s < SEEN_S:
            time.sleep(0.5)
            used, whole = world.used_cpu()
            running = sum(len(worker.running) for worker in world.workers.values() if worker)
            done = world.done_tasks(job)
            world.recorder.write(
                f"{done} of {count} tasks done, {running} running; fleet uses {used} of {whole}"
            )
            if done == count:
                break
            now_s = time.monotonic()
            has_room = used < whole / 2 and whole - used >= 2 * CPU
            is_idle = running == 0 and has_room and now_s - handed_in_s > FINISH_S
            idle_since_s = (idle_since_s or now_s) if is_idle else None
            if idle_since_s and now_s - idle_since_s > WATCHED_S and not is_broken:
                is_broken = True
                world.recorder.write("LOST: for 3 s nothing of the job runs, on an idle fleet")
        state = world.state(job)
        if is_broken:
            return 1
        return 0 if state == "completed" else 2
    finally:
        world.close()


main(Path(__file__).parent, case)
