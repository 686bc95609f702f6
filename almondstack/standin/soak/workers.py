"""Workers of the soak: the owners' world's workers, served by HTTP on the real clock."""

import json
import random
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from almondstack.control.messages import OrderReply, OrderStatus, PollReply, StartOrder
from almondstack.core import encode_json
from almondstack.jobs import RunEnd
from almondstack.standin.soak.judge import RealClock, SoakJudge
from almondstack.standin.web import Reply, StandinApp, break_off, read_body
from almondstack.testing.owner_worker import WorldWorker

__all__ = ["SoakWorker"]

_POLL_S = 0.01
_FAILING_SHARE = 0.05
_SHORTEST_RUN_S, _LONGEST_RUN_S = 0.1, 0.8
_REASONS = {
    OrderStatus.FENCED: "fence",
    OrderStatus.OLD_RUN: "old",
    OrderStatus.LATE: "late",
    OrderStatus.NO_ROOM: "room",
}


class SoakWorker(StandinApp):
    """One worker: carries out calls, ends runs when their time has come.

    Explanation
    -----------
    A call belongs to the life in which its connection was used first.  A crash ends
    all of them, also those that were received and not yet carried out, as the memory
    of a machine that crashes holds nothing any more.

    Parameters
    ----------
    id : str
        Its id.
    judge : SoakJudge
        Judges what it sees.
    clock : RealClock
        Ends its leases.
    seed : int
        Seeds the durations of its runs.
    """

    def __init__(self, id: str, judge: SoakJudge, clock: RealClock, seed: int) -> None:
        self.worker = WorldWorker(id, clock, judge.oracle)
        self.sequence = 0
        self._judge = judge
        self._random = random.Random(seed)
        self._ends_s: dict[tuple[str, int], float] = {}
        self._lives: dict[str, int] = {}

    def crash(self) -> None:
        """Lose everything and start again under the same id."""
        self._judge.judging(self.worker.crash)

    def end_runs(self) -> None:
        """End the runs whose time has come; called under the judge's lock."""
        now_s = time.monotonic()
        for name, run in list(self.worker.running.items()):
            span_s = self._random.uniform(_SHORTEST_RUN_S, _LONGEST_RUN_S)
            if now_s >= self._ends_s.setdefault((name, run), now_s + span_s):
                fails = self._random.random() < _FAILING_SHARE
                self.worker.finish(name, RunEnd.FAILED if fails else RunEnd.DONE)

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the answer to one request."""
        if environ.get("HTTP_X_EXPECT_INSTANCE", self.worker.id) != self.worker.id:
            return Reply(421)
        content = read_body(environ)
        if not content:
            return Reply(400)
        body = json.loads(content)
        token = body.get("fencing-token", 0)
        connection = environ["REMOTE_PORT"]
        if path == "/almondstack/run-start":
            order = StartOrder(body["task"], body["run"], body["spec"], "", "")
            start = partial(self.worker.start, order, body["deadline-ms"], token)
            return self._order(connection, start)
        if path == "/almondstack/run-stop":
            stop = partial(self.worker.stop, body["task"], body["run"], token)
            return self._order(connection, stop)
        if path == "/almondstack/hold":
            return self._look(connection, body, token)
        return Reply(404)

    def _carry_out(self, connection: str, call: Callable[[], object]) -> object:
        """Make a call unless the life that its connection led to is gone."""
        with self._judge.lock:
            if self._lives.setdefault(connection, self.worker.life) != self.worker.life:
                # The number may come back with a connection to the present life.
                del self._lives[connection]
                break_off()
            return self._judge.judging(call)

    def _order(self, connection: str, call: Callable[[], OrderReply]) -> Reply:
        reply = self._carry_out(connection, call)
        if not isinstance(reply, OrderReply) or reply.status is OrderStatus.DONE:
            return _answer(200, self.worker.clock_ms)
        return _answer(409, self.worker.clock_ms, reason=_REASONS[reply.status])

    def _look(self, connection: str, body: dict[str, Any], token: int) -> Reply:
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1000.0
        deadline_ms = body.get("deadline-ms")
        while True:
            look = partial(self.worker.poll, deadline_ms, body["last-seen"], token)
            found = self._carry_out(connection, look)
            if not isinstance(found, PollReply) or found.status is not OrderStatus.DONE:
                return _answer(409, self.worker.clock_ms, reason="fence")
            if found.ended or time.monotonic() >= until_s:
                return _listed(found)
            deadline_ms = None
            time.sleep(_POLL_S)


def _listed(found: PollReply) -> Reply:
    return _answer(
        200,
        found.clock_ms,
        born=found.life,
        running=[[run.task, run.run, "", 100, 0] for run in found.running],
        ended=[[end.number, end.task, end.run, end.end.value, ""] for end in found.ended],
    )


def _answer(status: int, clock_ms: int, **fields: object) -> Reply:
    content = {"clock-ms": clock_ms, **fields}
    return Reply(status, encode_json(content), "application/json")
