"""Workers of the soak test: simulated workers served over HTTP in real time."""

import json
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from almondstack.control.messages import OrderReply, OrderStatus, PollReply, StartOrder
from almondstack.core import encode_json
from almondstack.jobs import RunEnd
from almondstack.standin.soak.checker import RealClock, SoakChecker
from almondstack.standin.web import Reply, StandinApp, drop_connection, read_body
from almondstack.testing.owner_worker import WorldWorker

__all__ = ["SoakWorker"]

_POLL_S = 0.01
_FAILED_SHARE = 0.05
_MIN_RUN_S, _MAX_RUN_S = 0.1, 0.8
_LONG_RUN_S = 2.6
_LATE_SHARE = 0.5
"""Share of the calls that are carried out late while :attr:`SoakWorker.are_calls_late`."""

_MIN_DELAY_S, _MAX_DELAY_S = 2.0, 12.0
_SILENCE_S = 4.0
"""Time after which the connection of a late call is closed; callers wait for less."""

_START, _STOP, _HOLD = _PATHS = (
    "/almondstack/run-start",
    "/almondstack/run-stop",
    "/almondstack/hold",
)
_REASONS = {
    OrderStatus.FENCED: "fence",
    OrderStatus.OLD_RUN: "old",
    OrderStatus.LATE: "late",
    OrderStatus.NO_ROOM: "room",
}


class _LateCall(NamedTuple):
    """A call to carry out at a monotonic time in seconds, and the life that it was sent to."""

    due_s: float
    life: int
    text: str
    carried_out: Callable[[], object]


class SoakWorker(StandinApp):
    """Worker that executes orders and ends each run after a random duration.

    Explanation
    -----------
    A connection belongs to the incarnation of the worker in which it was first used, and a
    crash ends it, with the calls in execution.  A late call gets no answer, and no incarnation
    has received it yet: it is carried out seconds later, by the incarnation of that time.

    Attributes
    ----------
    are_calls_late : bool
        Whether some of the calls that arrive now are late calls.

    Parameters
    ----------
    id : str
        Id of the worker.
    checker : SoakChecker
        Checks the worker's events.
    clock : RealClock
        Clock on which the worker's leases expire.
    seed : int
        Seed of the durations and outcomes of its runs.
    clock_rate : float
        Rate of the worker's own clock.
    long_share : float
        Share of its runs that take 2.6 s.
    age_s : float
        Time since the start of its first incarnation, in seconds.
    """

    def __init__(
        self,
        id: str,
        checker: SoakChecker,
        clock: RealClock,
        seed: int,
        clock_rate: float = 1.0,
        long_share: float = 0.0,
        age_s: float = 0.0,
    ) -> None:
        self.worker = WorldWorker(id, clock, checker.oracle, clock_rate=clock_rate, age_s=age_s)
        self.sequence = 0
        self.are_calls_late = False
        self._checker = checker
        self._random = random.Random(seed)
        # Choices of their own, so that the same polls of a seed are late in each play of it.
        self._late_choices = {path: random.Random(f"late-{seed}-{path}") for path in _PATHS}
        self._ends_s: dict[tuple[str, int], float] = {}
        self._incarnations: dict[str, int] = {}
        self._long_share = long_share
        self._late_calls: list[_LateCall] = []

    def crash(self) -> None:
        """Discard the worker's state and start its next incarnation under the same id."""
        with self._checker.lock:
            self._checker.check(self.worker.crash)
            # A late start may begin a run of the same number again, for its full duration.
            self._ends_s.clear()
        self._checker.record_event("restart", worker=self.worker.id, life=self.worker.life)

    def end_runs(self) -> None:
        """End the runs whose duration is over; call it with the checker's lock held."""
        now_s = time.monotonic()
        for name, run in list(self.worker.running.items()):
            span_s = self._random.uniform(_MIN_RUN_S, _MAX_RUN_S)
            if self._long_share and self._random.random() < self._long_share:
                span_s = _LONG_RUN_S
            if now_s >= self._ends_s.setdefault((name, run), now_s + span_s):
                fails = self._random.random() < _FAILED_SHARE
                self.worker.finish(name, RunEnd.FAILED if fails else RunEnd.DONE)

    def carry_out_late_calls(self) -> None:
        """Carry out the late calls that are due; call it with the checker's lock held."""
        now_s = time.monotonic()
        due = [call for call in self._late_calls if call.due_s <= now_s]
        self._late_calls = [call for call in self._late_calls if call.due_s > now_s]
        for call in due:
            ends = self.worker.listed_ends
            self._checker.check(call.carried_out)
            self._checker.record_event(
                "late-call",
                worker=self.worker.id,
                sent_to=call.life,
                life=self.worker.life,
                call=call.text,
                forgotten=[
                    [end.number, end.task, end.run, end.end.value]
                    for end in sorted(ends - self.worker.listed_ends)
                ],
            )

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        if environ.get("HTTP_X_EXPECT_INSTANCE", self.worker.id) != self.worker.id:
            return Reply(421)
        content = read_body(environ)
        if not content:
            return Reply(400)
        body = json.loads(content)
        token = body.get("fencing-token", 0)
        connection = environ["REMOTE_PORT"]
        if path == _START:
            order = StartOrder(body["task"], body["run"], body["spec"], "", "")
            start = partial(self.worker.start, order, body["deadline-ms"], token)
            self._delay_some(path, connection, content, start)
            return self._execute_order(connection, partial(self._start_in_time, order.task, start))
        if path == _STOP:
            stop = partial(self.worker.stop, body["task"], body["run"], token)
            self._delay_some(path, connection, content, stop)
            reply = self._execute_order(connection, stop)
            self._checker.record_event(
                "stop",
                worker=self.worker.id,
                life=self.worker.life,
                task=body["task"],
                run=body["run"],
            )
            return reply
        if path == _HOLD:
            look = partial(self.worker.poll, body.get("deadline-ms"), body["last-seen"], token)
            self._delay_some(path, connection, content, look)
            return self._poll(connection, body, token)
        return Reply(404)

    def _start_in_time(self, task: str, start: Callable[[], OrderReply]) -> OrderReply:
        """Carry out a start that is not a late call."""
        was_running = task in self.worker.running
        reply = start()
        if not was_running and task in self.worker.running:
            self._checker.check_start_after_completion(task)
        return reply

    def _delay_some(
        self, path: str, connection: str, content: bytes, carried_out: Callable[[], object]
    ) -> None:
        """Keep a share of the calls for later while calls are late, and answer nothing."""
        with self._checker.lock:
            choices = self._late_choices[path]
            if not self.are_calls_late or choices.random() >= _LATE_SHARE:
                return
            self._check_connection(connection)
            life = self.worker.life
            due_s = time.monotonic() + choices.uniform(_MIN_DELAY_S, _MAX_DELAY_S)
            self._late_calls.append(_LateCall(due_s, life, content.decode(), carried_out))
        deadline_s = time.monotonic() + _SILENCE_S
        while time.monotonic() < deadline_s and self.worker.life == life:
            time.sleep(_POLL_S)
        drop_connection()

    def _check_connection(self, connection: str) -> None:
        """Drop a connection that belongs to an earlier incarnation."""
        if self._incarnations.setdefault(connection, self.worker.life) != self.worker.life:
            # A connection to the current incarnation may reuse the port number.
            del self._incarnations[connection]
            drop_connection()

    def _execute(self, connection: str, call: Callable[[], object]) -> object:
        """Make a call; drop the connection if it belongs to an earlier incarnation."""
        with self._checker.lock:
            self._check_connection(connection)
            return self._checker.check(call)

    def _execute_order(self, connection: str, call: Callable[[], OrderReply]) -> Reply:
        reply = self._execute(connection, call)
        if not isinstance(reply, OrderReply) or reply.status is OrderStatus.DONE:
            return _answer(200, self.worker.clock_ms)
        return _answer(409, self.worker.clock_ms, reason=_REASONS[reply.status])

    def _poll(self, connection: str, body: dict[str, Any], token: int) -> Reply:
        deadline_s = time.monotonic() + body.get("wait-ms", 0) / 1000.0
        deadline_ms = body.get("deadline-ms")
        while True:
            poll = partial(self.worker.poll, deadline_ms, body["last-seen"], token)
            # A poll that breaks a rule is answered as any other.
            reply = self._execute(connection, poll) or self._execute(connection, poll)
            if not isinstance(reply, PollReply) or reply.status is not OrderStatus.DONE:
                return _answer(409, self.worker.clock_ms, reason="fence")
            if reply.ended or time.monotonic() >= deadline_s:
                return _poll_reply(reply)
            deadline_ms = None
            time.sleep(_POLL_S)


def _poll_reply(reply: PollReply) -> Reply:
    return _answer(
        200,
        reply.clock_ms,
        born=reply.life,
        running=[[run.task, run.run, "", 100, 0] for run in reply.running],
        ended=[[end.number, end.task, end.run, end.end.value, ""] for end in reply.ended],
    )


def _answer(status: int, clock_ms: int, **fields: object) -> Reply:
    content = {"clock-ms": clock_ms, **fields}
    return Reply(status, encode_json(content), "application/json")
