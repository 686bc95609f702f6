"""Stand-in for one worker of the users' platform: starts, stops and reports simulated runs."""

import json
import threading
import time
from typing import Any

from almondstack.core import encode_json
from almondstack.standin.web import Reply, StandinApp, drop_connection, read_body
from almondstack.testing.owner_worker import MAX_LISTED_ENDS

__all__ = ["TaskWorkerStandin"]

_POLL_S = 0.005


class TaskWorkerStandin(StandinApp):
    """Serves start, stop and poll orders; the test ends the runs with :meth:`end`.

    Explanation
    -----------
    Pace orders are accepted without effect.  An order with a lower fencing token than an
    earlier one gets 409.

    Parameters
    ----------
    id : str
        Id of the worker; calls that expect another id get 421.
    room : int
        Maximum number of concurrent runs.

    Attributes
    ----------
    start_replies_to_drop : int
        Number of following starts that are executed but whose connection is closed
        without a reply.
    is_unhealthy : bool
        Whether orders other than polls get 503 and are not executed.
    born_ms : int
        Start time of the worker in Unix milliseconds, part of each reply to a poll.
    """

    def __init__(self, id: str = "i-1", room: int = 8) -> None:
        self.id = id
        self.room = room
        self.start_replies_to_drop = 0
        self.is_unhealthy = False
        self.born_ms = 1_000
        self._fencing_token = 0
        self._running: dict[str, int] = {}
        self._highest_run: dict[str, int] = {}
        self._ended: list[list[object]] = []
        self._end_count = 0
        self._lock = threading.Lock()

    @property
    def running(self) -> dict[str, int]:
        """Number of the current run of each running task, by task name."""
        with self._lock:
            return dict(self._running)

    def end(self, task: str, how: str = "done") -> None:
        """End the current run of a task, with outcome ``how``."""
        with self._lock:
            self._end(task, how)

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        if environ.get("HTTP_X_EXPECT_INSTANCE", self.id) != self.id:
            return Reply(421)
        body = json.loads(read_body(environ))
        if self.is_unhealthy and path != "/almondstack/hold":
            return Reply(503)
        handlers = {
            "/almondstack/run-start": self._start,
            "/almondstack/run-stop": self._stop,
            "/almondstack/hold": self._hold,
            "/almondstack/pace": self._pace,
        }
        with self._lock:
            if body.get("fencing-token", 0) < self._fencing_token:
                return _answer(409, reason="fence")
            self._fencing_token = body.get("fencing-token", 0)
        return handlers[path](body)

    def _start(self, body: dict[str, Any]) -> Reply:
        task, run = body["task"], body["run"]
        with self._lock:
            if self._running.get(task) == run:
                return _answer(200)
            if run <= self._highest_run.get(task, 0):
                return _answer(409, reason="old")
            if len(self._running) >= self.room:
                return _answer(409, reason="room")
            self._running[task] = run
            self._highest_run[task] = run
        if self.start_replies_to_drop:
            self.start_replies_to_drop -= 1
            drop_connection()
        return _answer(200)

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, run = body["task"], body["run"]
        with self._lock:
            self._highest_run[task] = max(run, self._highest_run.get(task, 0))
            if self._running.get(task) == run:
                self._end(task, "stopped")
        return _answer(200)

    def _pace(self, body: dict[str, Any]) -> Reply:
        return _answer(200)

    def _hold(self, body: dict[str, Any]) -> Reply:
        deadline_s = time.monotonic() + body.get("wait-ms", 0) / 1000.0
        while True:
            with self._lock:
                self._ended = [end for end in self._ended if end[0] > body["last-seen"]]
                running = [[task, run, "", 100, 0] for task, run in self._running.items()]
                ended = self._ended[:MAX_LISTED_ENDS]
            if ended or time.monotonic() >= deadline_s:
                return _answer(200, born=self.born_ms, running=running, ended=ended)
            time.sleep(_POLL_S)

    def _end(self, task: str, how: str) -> None:
        run = self._running.pop(task)
        self._end_count += 1
        self._ended.append([self._end_count, task, run, how, ""])


def _answer(status: int, **fields: object) -> Reply:
    content = {"clock-ms": int(time.monotonic() * 1000), **fields}
    return Reply(status, encode_json(content), "application/json")
