"""Calls to workers."""

from typing import Any

import msgspec

from almondstack.control.messages import (
    EndedRun,
    OrderReply,
    OrderStatus,
    PollReply,
    RunningRun,
    StartOrder,
)
from almondstack.core.http_client import HttpCaller, HttpReply, NoAnswerError, NotSentError
from almondstack.jobs import RunEnd
from almondstack.placement import WorkerInfo
from almondstack.platform.wire import ConflictWire, LookReplyWire

__all__ = ["HttpWorkerCallers"]

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_OTHER_LIFE = 421
_UNHEALTHY = (429, 503)

_REASONS = {
    "fence": OrderStatus.FENCED,
    "old": OrderStatus.OLD_RUN,
    "late": OrderStatus.LATE,
    "room": OrderStatus.NO_ROOM,
    "ticket": OrderStatus.BAD_TICKET,
}
_ENDS = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
_RUNNING_FIELDS_WITH_LOAD = 5

_encoder = msgspec.json.Encoder()
_conflict = msgspec.json.Decoder(ConflictWire)
_looked = msgspec.json.Decoder(LookReplyWire)


class HttpWorkerCallers:
    """Makes callers; see ``WorkerCallers``.

    Parameters
    ----------
    timeout_s : float
        Bound on a call, without what it waits for, in seconds.
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def caller(self, worker: WorkerInfo) -> "HttpWorkerCaller":
        """Return a caller with a connection of its own."""
        return HttpWorkerCaller(worker, self._timeout_s)


class HttpWorkerCaller:
    """Calls one life of a worker over one connection; see ``WorkerCaller``."""

    __slots__ = ("_caller", "_headers", "_timeout_s")

    def __init__(self, worker: WorkerInfo, timeout_s: float) -> None:
        self._caller = HttpCaller(worker.address)
        self._headers = {"Content-Type": "application/json", "X-Expect-Instance": worker.id}
        self._timeout_s = timeout_s

    @property
    def is_connected(self) -> bool:
        """Whether the connection of the last call is open; it leads to one life for good."""
        return self._caller.is_connected

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Start a run over the connection of the last call; not sent if it is gone."""
        body: dict[str, object] = {
            "task": order.task,
            "run": order.run,
            "spec": order.spec,
            "deadline-ms": deadline_ms,
            "fencing-token": token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._order("/almondstack/run-start", body, may_open=False)

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Stop a run."""
        body = {"task": task, "run": run, "fencing-token": token}
        return self._order("/almondstack/run-stop", body)

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Set the share at which a run may work."""
        body = {"task": task, "run": run, "percent": percent, "fencing-token": token}
        return self._order("/almondstack/pace", body)

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """Extend the lease and list runs.

        Explanation
        -----------
        A new connection may lead to another life of the worker, which counts its ends
        anew; what was seen of the one before must not make it forget any.  Ends that
        come twice change nothing.
        """
        is_connected = self.is_connected
        last_seen = last_seen if is_connected else 0
        body: dict[str, object] = {"fencing-token": token, "last-seen": last_seen}
        if deadline_ms is not None:
            body["deadline-ms"] = deadline_ms
        if wait_s > 0:
            body["wait-ms"] = int(wait_s * 1000)
        reply = self._call("/almondstack/hold", body, wait_s, may_open=not is_connected)
        if isinstance(reply, OrderStatus):
            return _failed_look(reply)
        if reply.status != _OK:
            return _failed_look(_status_of(reply).status)
        try:
            return _convert(_looked.decode(reply.body))
        except (msgspec.MsgspecError, ValueError, TypeError, IndexError):
            return _failed_look(OrderStatus.UNCLEAR)

    def close(self) -> None:
        """Close the connection."""
        self._caller.close()

    def _order(self, path: str, body: dict[str, object], *, may_open: bool = True) -> OrderReply:
        reply = self._call(path, body, 0.0, may_open=may_open)
        if isinstance(reply, OrderStatus):
            return OrderReply(reply)
        return _status_of(reply)

    def _call(
        self, path: str, body: dict[str, object], wait_s: float, *, may_open: bool = True
    ) -> HttpReply | OrderStatus:
        timeout_s = self._timeout_s + wait_s
        content = _encoder.encode(body)
        try:
            return self._caller.call("POST", path, timeout_s, content, self._headers, may_open)
        except NotSentError:
            return OrderStatus.NOT_SENT
        except NoAnswerError:
            return OrderStatus.UNCLEAR


def _status_of(reply: HttpReply) -> OrderReply:
    if reply.status == _OTHER_LIFE:
        return OrderReply(OrderStatus.GONE)
    if reply.status in _UNHEALTHY:
        return OrderReply(OrderStatus.REFUSED)
    if reply.status == _BAD_REQUEST:
        return OrderReply(OrderStatus.INVALID)
    if reply.status not in (_OK, _CONFLICT):
        return OrderReply(OrderStatus.UNCLEAR)
    try:
        answer = _conflict.decode(reply.body) if reply.body else ConflictWire()
    except msgspec.MsgspecError:
        return OrderReply(OrderStatus.UNCLEAR)
    if reply.status == _OK:
        return OrderReply(OrderStatus.DONE, answer.clock_ms)
    return OrderReply(_REASONS.get(answer.reason, OrderStatus.REFUSED), answer.clock_ms)


def _failed_look(status: OrderStatus) -> PollReply:
    return PollReply(status, 0, 0, (), ())


def _convert(wire: LookReplyWire) -> PollReply:
    running = tuple(map(_running, wire.running))
    ended = tuple(
        EndedRun(number, task, run, _ENDS.get(how, RunEnd.LOST), checkpoint)
        for number, task, run, how, checkpoint in wire.ended
    )
    return PollReply(OrderStatus.DONE, wire.clock_ms, wire.life, running, ended)


def _running(row: list[Any]) -> RunningRun:
    load = row[4] if len(row) >= _RUNNING_FIELDS_WITH_LOAD else 0
    return RunningRun(str(row[0]), int(row[1]), str(row[2] or ""), int(row[3] or 0), int(load or 0))
