"""Stand-in of a worker, after 'Running tasks' of PROTOCOL."""

import json
import threading
import time
from typing import Any

from almondstack.standin.web import Reply, StandinApp, drop_connection, read_body
from standins.advice import AdviceService
from standins.record import Record

__all__ = ["End", "Start", "Worker"]

_MAX_ENDS_LISTED = 500
"""PROTOCOL: 'The others are returned again (500 at a time).'"""

_STARTUP_S = 0.2
"""Time after which a task that lasts is at work."""

_FIRST_CLOCK_MS = 480_000


class Start:
    """A run that a worker has begun."""

    def __init__(self, task: str, run: int, worker: str, life: int, at_s: float) -> None:
        self.task = task
        self.run = run
        self.worker = worker
        self.life = life
        self.at_s = at_s
        self.end: End | None = None


class End:
    """The end of a run; ``noted_s`` is when ``last-seen`` reached it, unless a lapse came first."""

    def __init__(self, number: int, how: str, at_s: float) -> None:
        self.number = number
        self.how = how
        self.at_s = at_s
        self.noted_s: float | None = None
        self.is_lapsed = False


class _Run:
    """A run at work; ``duration_s`` is None for a task that lasts."""

    def __init__(self, start: Start, demand: tuple[int, int], duration_s: float | None) -> None:
        self.start = start
        self.demand = demand
        self.duration_s = duration_s
        self.began_s = time.monotonic()


class Worker(StandinApp):
    """Worker that carries out its orders, with a lease on its own steady clock.

    Explanation
    -----------
    The spec of a job says what its tasks do: ``work MS`` for a task that ends ``done`` after
    so many milliseconds, ``lasts`` for one that runs until it is stopped; ``cpu`` and ``mem``
    follow as the demand of a task.

    Parameters
    ----------
    id : str
        The worker's id in the registry.
    record : Record
        Gets a line for each call that changes something.
    starts : list of Start
        All starts of all workers of a play, in order.
    cpu, mem_mb : int
        Capacity.
    max_hold_ms : int
        Longest lease.
    clock_rate : float
        Speed of the worker's clock; PROTOCOL allows 0.98.
    advice : AdviceService, optional
        Issues the tickets that a start needs.
    """

    def __init__(
        self,
        id: str,
        record: Record,
        starts: list[Start],
        cpu: int = 16_000,
        mem_mb: int = 65_536,
        max_hold_ms: int = 10_000,
        clock_rate: float = 1.0,
        advice: AdviceService | None = None,
    ) -> None:
        self.id = id
        self.is_gone = False
        self.life = int(time.time() * 1000)
        self.cpu, self.mem_mb = cpu, mem_mb
        self.sequence = 0
        self.lock = threading.Condition(threading.RLock())
        self._record = record
        self._starts = starts
        self._max_hold_ms = max_hold_ms
        self._clock_rate = clock_rate
        self._advice = advice
        self._born_s = time.monotonic()
        self._token = 0
        self._deadline_ms = 0
        self._runs: dict[str, _Run] = {}
        self._last_runs: dict[str, int] = {}
        self._ends: list[tuple[Start, End]] = []
        self._ends_count = 0

    @property
    def clock_ms(self) -> int:
        """The worker's clock in milliseconds."""
        return _FIRST_CLOCK_MS + int((time.monotonic() - self._born_s) * 1000 * self._clock_rate)

    @property
    def used_cpu(self) -> int:
        """What its runs take, in thousandths of a core."""
        with self.lock:
            return sum(run.demand[0] for run in self._runs.values())

    def registration(self, service: str, address: str, zone: str, rack: str) -> dict[str, Any]:
        """Return the worker's entry in the registry."""
        self.sequence += 1
        return {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "capacity": {"cpu": self.cpu, "mem-mb": self.mem_mb, "gpus": 0},
            "labels": ["a", rack],
            "clock-ms": self.clock_ms,
            "sequence": self.sequence,
            "born": self.life,
        }

    def advance(self) -> None:
        """End the runs whose work is done, or all if the lease has lapsed."""
        with self.lock:
            if self.clock_ms > self._deadline_ms:
                for _, end in self._ends:
                    end.is_lapsed = True
                for task in list(self._runs):
                    self._end(task, "lapsed")
            now_s = time.monotonic()
            for task, run in list(self._runs.items()):
                if run.duration_s is not None and now_s - run.began_s >= run.duration_s:
                    self._end(task, "done")

    def end_all(self) -> None:
        """End everything, as when the machine goes down; no call is answered afterwards."""
        with self.lock:
            self.is_gone = True
            now_s = self._record.add("machine-ends-runs", worker=self.id, runs=len(self._runs))
            for run in self._runs.values():
                run.start.end = End(0, "gone", now_s)
            self._runs.clear()

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        if method == "GET":
            return Reply(200)
        content = read_body(environ)
        if self.is_gone:
            drop_connection()
        if environ.get("HTTP_X_EXPECT_INSTANCE", self.id) != self.id:
            return Reply(421)
        body = json.loads(content)
        with self.lock:
            self.advance()
            token = body.get("fencing-token", 0)
            if token < self._token:
                return self._conflict("fence")
            self._token = token
            if path == "/almondstack/run-start":
                return self._start(body)
            if path == "/almondstack/run-stop":
                return self._stop(body)
            if path == "/almondstack/hold":
                return self._hold(body)
            if path == "/almondstack/pace":
                return self._answer(200)
        return Reply(404)

    def _start(self, body: dict[str, Any]) -> Reply:
        task, run = body["task"], body["run"]
        at_work = self._runs.get(task)
        if at_work is not None and at_work.start.run == run:
            self._extend(body["deadline-ms"])
            return self._answer(200)
        if run <= self._last_runs.get(task, 0):
            self._extend(body["deadline-ms"])
            return self._conflict("old")
        if body["deadline-ms"] <= self.clock_ms:
            return self._conflict("late")
        self._extend(body["deadline-ms"])
        step = task.rpartition(".")[0]
        if self._advice and not self._advice.is_valid(step, self.id, body.get("ticket", "")):
            return self._conflict("ticket")
        duration_s, demand = _parse_spec(body["spec"])
        if not self._has_room(demand):
            return self._conflict("room")
        start = Start(task, run, self.id, self.life, self._record.now_s)
        self._record.add("start", worker=self.id, task=task, run=run, token=self._token)
        self._starts.append(start)
        self._runs[task] = _Run(start, demand, duration_s)
        return self._answer(200)

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, run = body["task"], body["run"]
        self._last_runs[task] = max(run, self._last_runs.get(task, 0))
        at_work = self._runs.get(task)
        self._record.add("stop", worker=self.id, task=task, run=run, token=self._token)
        if at_work is not None and at_work.start.run == run:
            self._end(task, "stopped")
        return self._answer(200)

    def _hold(self, body: dict[str, Any]) -> Reply:
        if "deadline-ms" in body:
            self._extend(body["deadline-ms"])
        last_seen = body["last-seen"]
        for _, end in self._ends:
            if end.number <= last_seen and not end.is_lapsed:
                end.noted_s = self._record.now_s
        self._ends = [item for item in self._ends if item[1].number > last_seen]
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1000.0
        while not self._ends and (left_s := until_s - time.monotonic()) > 0:
            self.lock.wait(left_s)
        self._record.add(
            "look",
            worker=self.id,
            seen=last_seen,
            running=len(self._runs),
            ended=len(self._ends),
        )
        running = [
            [task, run.start.run, "", self._percent(run), 0] for task, run in self._runs.items()
        ]
        ended = [
            [end.number, start.task, start.run, end.how, ""]
            for start, end in self._ends[:_MAX_ENDS_LISTED]
        ]
        return self._answer(200, running=running, ended=ended)

    def _percent(self, run: _Run) -> int:
        age_s = time.monotonic() - run.began_s
        if run.duration_s is None:
            return 100 if age_s >= _STARTUP_S else 0
        return min(99, int(100 * age_s / run.duration_s))

    def _extend(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms + self._max_hold_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _end(self, task: str, how: str) -> None:
        run = self._runs.pop(task)
        self._last_runs[task] = max(run.start.run, self._last_runs.get(task, 0))
        self._ends_count += 1
        now_s = self._record.add("end", worker=self.id, task=task, run=run.start.run, how=how)
        run.start.end = End(self._ends_count, how, now_s)
        self._ends.append((run.start, run.start.end))
        self.lock.notify_all()

    def _has_room(self, demand: tuple[int, int]) -> bool:
        cpu = sum(run.demand[0] for run in self._runs.values())
        mem_mb = sum(run.demand[1] for run in self._runs.values())
        return cpu + demand[0] <= self.cpu and mem_mb + demand[1] <= self.mem_mb

    def _conflict(self, reason: str) -> Reply:
        return self._answer(409, reason=reason)

    def _answer(self, status: int, **fields: object) -> Reply:
        content = {"clock-ms": self.clock_ms, "born": self.life, **fields}
        return Reply(status, json.dumps(content).encode(), "application/json")


def _parse_spec(spec: str) -> tuple[float | None, tuple[int, int]]:
    """Return the duration of a task in seconds, and its demand."""
    words = spec.split()
    if words[0] == "lasts":
        return None, (int(words[1]), int(words[2]))
    return int(words[1]) / 1000.0, (int(words[2]), int(words[3]))
