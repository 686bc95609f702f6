"""A job of 3,000 small tasks stops on an idle fleet and never goes on; nor do jobs after it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))

from world import World, job_id, main  # noqa: E402

FINISH_S, WATCHED_S = 14.0, 3.0
"""The rule's times."""

ORDINARY_AFTER_S, SEEN_S = 10, 45
"""When the second job comes, and for how long the case looks on, in seconds from the first."""

ROUND_TRIP_S, STANDIN_S = 0.0028, 0.0006
"""Twice the 1.4 ms between two zones of the sheet, which each call to a worker takes, and the part of
it that the stand-in takes by itself."""

MANY, FEW = 3_000, 300
SMALL = {"cpu": 4, "mem-mb": 1, "estimate-ms": 1000}
ORDINARY = {"count": 2, "cpu": 1000, "mem-mb": 10, "estimate-ms": 500}


class Watch:
    """Notes for how long nothing of a job has run while the fleet had room for it."""

    def __init__(self, world, job, step):
        self._world, self._job, self._step = world, job, step
        self._idle_since_s = None
        self.is_broken = False

    @property
    def is_done(self):
        """Whether all tasks have ended as done."""
        return self._world.done_tasks(self._job) == self._step["count"]

    def look(self, name, may_judge):
        """Record the state of the job, and whether it breaks the rule."""
        world, now_s = self._world, time.monotonic()
        used, whole = world.used_cpu()
        workers = [worker for worker in world.workers.values() if worker is not None]
        running = sum(
            task.name.startswith(self._job + ".")
            for worker in workers
            for task in list(worker.running.values())
        )
        done = world.done_tasks(self._job)
        world.recorder.write(
            f"{name}: {done} of {self._step['count']} tasks done, {running} running; "
            f"fleet uses {used} of {whole}"
        )
        has_room = used < whole / 2 and whole - used >= 2 * self._step["cpu"]
        is_idle = may_judge and not self.is_done and running == 0 and has_room
        self._idle_since_s = (self._idle_since_s or now_s) if is_idle else None
        if self._idle_since_s and now_s - self._idle_since_s > WATCHED_S and not self.is_broken:
            self.is_broken = True
            world.recorder.write(f"LOST: for 3 s nothing of the {name} runs, on an idle fleet")


def case(folder, has_trouble):
    """Hand one job in, then an ordinary one, and watch both; return the exit code."""
    world = World(folder, machines=4)
    world.log_runs = False
    world.link_s = ROUND_TRIP_S - STANDIN_S
    large = {"count": MANY if has_trouble else FEW, **SMALL}
    jobs = {}
    try:
        world.start_processes(3)
        time.sleep(4.0)
        began_s = time.monotonic()
        plan = (("large job", large, 0), ("ordinary job", ORDINARY, ORDINARY_AFTER_S))
        for name, step, at_s in plan:
            while time.monotonic() < began_s + at_s:
                time.sleep(0.5)
                for other, (_, watch) in jobs.items():
                    watch.look(other, may_judge=False)
            job = job_id()
            if world.hand_in(job, {"spec": name, "steps": [step]}) != 200:
                return 2
            jobs[name] = job, Watch(world, job, step)
        handed_in_s = time.monotonic()
        while time.monotonic() - began_s < SEEN_S:
            time.sleep(0.5)
            may_judge = time.monotonic() - handed_in_s > FINISH_S
            for name, (_, watch) in jobs.items():
                watch.look(name, may_judge)
            if all(watch.is_done for _, watch in jobs.values()):
                break
        time.sleep(1.0)
        states = [world.state(job) for job, _ in jobs.values()]
        if any(watch.is_broken for _, watch in jobs.values()):
            return 1
        return 0 if all(state == "completed" for state in states) else 2
    finally:
        world.close()


main(Path(__file__).parent, case)
