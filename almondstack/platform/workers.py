"""HTTP client of the workers: starts, stops and lists runs."""

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
from almondstack.core import CodecError, decode_with
from almondstack.core.http_client import HttpClient, HttpReply, NoAnswerError, NotSentError
from almondstack.jobs import RunEnd
from almondstack.placement import WorkerInfo
from almondstack.platform.wire import OrderReplyWire, RunListWire

__all__ = ["HttpWorkerCallers"]

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_MISDIRECTED = 421
_UNAVAILABLE_STATUSES = (429, 503)

_STATUS_BY_REASON = {
    "fence": OrderStatus.FENCED,
    "old": OrderStatus.OLD_RUN,
    "late": OrderStatus.LATE,
    "room": OrderStatus.NO_ROOM,
    "ticket": OrderStatus.BAD_TICKET,
}
_END_BY_NAME = {
    "done": RunEnd.DONE,
    "failed": RunEnd.FAILED,
    "stopped": RunEnd.STOPPED,
    "lapsed": RunEnd.LAPSED,
    "broken": RunEnd.BROKEN,
    "alone": RunEnd.ALONE,
}
_INTEGER_BOUND = 2**63
_RUNNING_FIELDS_WITH_LOAD = 5
_MAX_LISTED_ENDS = 500
"""Ended runs that a worker lists in one reply; it lists the others once these are acknowledged."""


_encoder = msgspec.json.Encoder()
_order_reply_decoder = msgspec.json.Decoder(OrderReplyWire)
_run_list_decoder = msgspec.json.Decoder(RunListWire)


class HttpWorkerCallers:
    """Creates a client for each worker; implements ``WorkerCallers``.

    Parameters
    ----------
    timeout_s : float
        Timeout of a call in seconds, not counting the time that the worker is asked to wait.
    """

    __slots__ = ("_timeout_s",)

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s

    def caller(self, worker: WorkerInfo) -> "HttpWorkerCaller":
        """Return a client with a separate connection."""
        return HttpWorkerCaller(worker, self._timeout_s)


class HttpWorkerCaller:
    """Calls one incarnation of a worker over one connection; implements ``WorkerCaller``."""

    __slots__ = ("_caller", "_headers", "_timeout_s")

    def __init__(self, worker: WorkerInfo, timeout_s: float) -> None:
        self._caller = HttpClient(worker.address)
        self._headers = {"Content-Type": "application/json", "X-Expect-Instance": worker.id}
        self._timeout_s = timeout_s

    @property
    def is_connected(self) -> bool:
        """Whether the last call's connection is open; it always leads to the same incarnation."""
        return self._caller.is_connected

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Start a run over the connection of the last call; ``NOT_SENT`` if it has closed."""
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
        return self._order("/almondstack/run-start", body)

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Stop a run over the connection of the last call; ``NOT_SENT`` if it has closed."""
        body = {"task": task, "run": run, "fencing-token": token}
        return self._order("/almondstack/run-stop", body)

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Limit a run to a percentage of its full speed; sent as :meth:`stop` is."""
        body = {"task": task, "run": run, "percent": percent, "fencing-token": token}
        return self._order("/almondstack/pace", body)

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """Extend the lease and list running and ended runs.

        Explanation
        -----------
        The worker drops ended runs up to ``last_seen`` from its list.  A new connection may
        lead to another incarnation of the worker, which numbers its ended runs from 1, so
        ``last_seen`` is sent as 0 over a new connection.  Handling an ended run twice has no
        effect.
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
            return _failed_reply(reply)
        if reply.status != _OK:
            return _failed_reply(_status_of(reply).status)
        try:
            return _to_poll_reply(decode_with(_run_list_decoder, reply.body))
        except (CodecError, ValueError, TypeError, IndexError):
            return _failed_reply(OrderStatus.UNCLEAR)

    def close(self) -> None:
        """Close the connection."""
        self._caller.close()

    def _order(self, path: str, body: dict[str, object]) -> OrderReply:
        reply = self._call(path, body, 0.0, may_open=False)
        if isinstance(reply, OrderStatus):
            return OrderReply(reply)
        return _status_of(reply)

    def _call(
        self, path: str, body: dict[str, object], wait_s: float, *, may_open: bool
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
    if reply.status == _MISDIRECTED:
        return OrderReply(OrderStatus.GONE)
    if reply.status in _UNAVAILABLE_STATUSES:
        return OrderReply(OrderStatus.REFUSED)
    if reply.status == _BAD_REQUEST:
        return OrderReply(OrderStatus.INVALID)
    if reply.status not in (_OK, _CONFLICT):
        return OrderReply(OrderStatus.UNCLEAR)
    try:
        decoded = decode_with(_order_reply_decoder, reply.body or b"{}")
    except CodecError:
        return OrderReply(OrderStatus.UNCLEAR)
    if reply.status == _OK:
        return OrderReply(OrderStatus.DONE, decoded.clock_ms)
    return OrderReply(_STATUS_BY_REASON.get(decoded.reason, OrderStatus.REFUSED), decoded.clock_ms)


def _failed_reply(status: OrderStatus) -> PollReply:
    return PollReply(status, 0, 0, (), ())


def _to_poll_reply(wire: RunListWire) -> PollReply:
    running = tuple(map(_to_running_run, wire.running))
    ended = tuple(
        EndedRun(number, task, run, _END_BY_NAME.get(end, RunEnd.LOST), checkpoint)
        for number, task, run, end, checkpoint in wire.ended
    )
    is_whole = len(ended) < _MAX_LISTED_ENDS
    return PollReply(OrderStatus.DONE, wire.clock_ms, wire.life, running, ended, is_whole)


def _to_running_run(row: list[Any]) -> RunningRun:
    load = row[4] if len(row) >= _RUNNING_FIELDS_WITH_LOAD else 0
    percent = _integer(row[3] or 0)
    return RunningRun(
        str(row[0]), _integer(row[1]), str(row[2] or ""), percent, _integer(load or 0)
    )


def _integer(value: Any) -> int:
    """Return a number of a worker's list as an integer of 64 bits."""
    number = int(value)
    if not -_INTEGER_BOUND <= number < _INTEGER_BOUND:
        raise ValueError("a number in a list of runs has more than 64 bits")
    return number
