"""A start that is carried out late runs a task again that has ended as done."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins-3"))

from world import Worker, World, job_id, main  # noqa: E402

CRASH_AFTER_S, DARK_S, LATE_AFTER_S, ENTRY_AFTER_S = 5.0, 0.6, 0.1, 0.3
"""The crash, from the first start on; the next life, from the crash on; the late start and the entry
of the next life, from its beginning on; in seconds."""

SILENT_S = 4.0
"""Time after which a worker closes the connection of a call without an answer, in seconds."""

MACHINES, TASK_MS = 8, 2_000
WATCHED_S, SHOWN_S = 25.0, 5.0


class LateWorker(Worker):
    """Worker whose starts of one task get no answer, and are carried out late."""

    def handle(self, method, path, query, headers, body):
        """Answer a call."""
        world = self.world
        if path == "/almondstack/run-start" and world.has_trouble and not world.crashed:
            fields = json.loads(body)
            if world.victim is None:
                world.keep_late(self, fields)
                until_s = time.monotonic() + SILENT_S
                while time.monotonic() < until_s and not self.is_gone:
                    time.sleep(0.02)
                return None
        return super().handle(method, path, query, headers, body)

    def _hold(self, fields):
        """Note which ends the owner has taken note of."""
        if fields.get("last-seen", 0) > 0 and not self.world.crashed:
            self.world.recorder.write(f"worker {self.id}: hold with last-seen {fields['last-seen']}")
            self.world.noted = max(self.world.noted, fields["last-seen"])
        return super()._hold(fields)

    def carry_out(self, fields):
        """Carry a call out that was sent earlier."""
        with self.lock:
            token = fields.get("fencing-token", 0)
            if token < self._fence:
                return 409, b'{"reason": "fence"}'
            self._fence = token
            return self._start(fields)


class LateWorld(World):
    """Crashes the worker that keeps a start, and carries the start out in its next life."""

    def setup(self, has_trouble):
        """Set the trouble up."""
        self.has_trouble, self.victim, self.crashed = has_trouble, None, False
        self.late, self.twice, self.noted = [], [], 0

    def keep_late(self, worker, fields):
        """Keep a start without an answer."""
        with self.lock:
            self.late.append((self.recorder.now_s, fields))
            is_first = self.victim is None
            self.victim = worker.machine
        self.recorder.write(f"worker {worker.id}: no answer to {json.dumps(fields)}")
        if is_first:
            threading.Timer(CRASH_AFTER_S, self.crash, (worker,)).start()

    def crash(self, worker):
        """End a life, and begin the next one under the same id at the same address."""
        name, id = worker.machine, worker.id
        port = int(worker.address.split(":")[1])
        with self.lock:
            self.workers[name] = None
            self.states[name] = "down"
            self.crashed = True
        self.recorder.write(f"worker {id} crashes")
        worker.leave()
        time.sleep(DARK_S)
        again = LateWorker(self, name, id, port)
        with self.lock:
            self.workers[name] = again
            self.states[name] = "up"
        self.recorder.write(f"worker {id} starts again, born {again.born}")
        time.sleep(LATE_AFTER_S)
        for sent_s, fields in self.late[:1]:
            answer = again.carry_out(fields)
            age_s = self.recorder.now_s - sent_s
            self.recorder.write(
                f"worker {id}: carries out {fields['task']} run {fields['run']}, {age_s:.1f} s "
                f"after it was sent -> {answer[0]} {answer[1].decode()}"
            )
        time.sleep(ENTRY_AFTER_S - LATE_AFTER_S)
        again.register()

    def note_start(self, worker, name, run):
        """Record a start, and whether another run of the task goes on."""
        for other in list(self.workers.values()):
            if other is None or other is worker or other.is_gone:
                continue
            task = other.running.get(name)
            if task is not None:
                self.twice.append(name)
                self.recorder.write(
                    f"TWICE: {name} run {run} starts on {worker.id} while run {task.run} goes on "
                    f"on {other.id}"
                )
        if self.noted and any(how == "done" for _, _, how in self.ends.get(name, ())):
            self.twice.append(name)
            self.recorder.write(f"TWICE: {name} run {run} starts after an end done that was taken note of")
        super().note_start(worker, name, run)

    def make_worker(self, name):
        """Return a new worker on a machine."""
        return LateWorker(self, name)


def case(folder, has_trouble):
    """Run one task; return the exit code."""
    world = LateWorld(folder, machines=MACHINES)
    try:
        world.setup(has_trouble)
        world.start_processes(3)
        time.sleep(5.0)
        job = job_id()
        step = {"count": 1, "cpu": 1000, "mem-mb": 10, "estimate-ms": TASK_MS}
        if world.hand_in(job, {"spec": "s", "steps": [step]}) != 200:
            return 2
        until_s = time.monotonic() + WATCHED_S
        while time.monotonic() < until_s and not (world.done_tasks(job) and not has_trouble):
            time.sleep(0.5)
        if world.twice:
            return 1
        until_s = time.monotonic() + SHOWN_S
        while world.state(job) != "completed" and time.monotonic() < until_s:
            time.sleep(0.2)
        return 0 if world.state(job) == "completed" else 2
    finally:
        world.close()


main(Path(__file__).parent, case)
