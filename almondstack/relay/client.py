"""Client of the job owner, which is in this process or reached over HTTP."""

import threading
import time
from collections.abc import Callable
from functools import singledispatch

import msgspec

from almondstack.core import CodecError, decode_with
from almondstack.core.http_client import HttpClient, HttpReply, NoAnswerError, NotSentError
from almondstack.intake import (
    CancelRequest,
    OwnerNotReachedError,
    OwnerRequest,
    OwnerRequests,
    OwnerUnclearError,
    Peer,
    Receipt,
    SubmissionRequest,
)
from almondstack.jobs import JobIndex, OwnerNotice
from almondstack.relay.messages import (
    MAX_TIMEOUT_MS,
    CancelCall,
    OwnerReply,
    ReceiptReply,
    RelayPath,
    Sender,
    SubmissionCall,
)

__all__ = ["OwnerClient"]

_OK = 200
_CONFLICT = 409
_UNAVAILABLE = 503
_NOT_TAKEN = frozenset({400, 404, _CONFLICT, _UNAVAILABLE})
"""Statuses with which the server reports that the request was not accepted, and will not be."""

_CONNECTIONS = 4
_CONNECT_TIMEOUT_S = 0.15
"""Connecting takes some milliseconds at most, since all processes are close to each other."""

_ANSWER_MARGIN_S = 0.1
"""The owner's time-out ends this much before the client's, to leave time for the answer."""

_FAILURE_PAUSE_S = 1.0
"""Time without requests to an owner after a failed one.  The caller's job can be appended to the
store directly, and should have enough time left for that."""

_MAX_OWNER_SILENCE_S = 1.0
"""No requests are sent to an owner whose last record was read longer ago.  The owner writes
several times a second, and reads may be up to this far apart unless they back off."""

_MAX_LAG_S = 3.0
"""A process that has not read the whole log for longer forwards no requests: it may accept a key
that has been revoked in the meantime."""

_MS = 1000.0

_encoder = msgspec.msgpack.Encoder()
_receipt_decoder = msgspec.msgpack.Decoder(ReceiptReply)
_owner_decoder = msgspec.msgpack.Decoder(OwnerReply)


class OwnerClient:
    """Sends requests to the process that owns the jobs; implements ``OwnerPort``.

    Parameters
    ----------
    index : JobIndex
        Holds the newest notice of the owner.
    requests : OwnerRequests
        Accepts requests while this process owns the jobs.
    describe : callable
        Returns the description of this process that is sent with each request.
    backoff_factor : callable
        Returns the factor by which the intervals between the store's answers have grown.
    lag_s : callable
        Returns the seconds since this process last read up to the end of the log.
    """

    __slots__ = (
        "_backoff_factor",
        "_caller",
        "_describe",
        "_failed_s",
        "_failed_token",
        "_index",
        "_lag_s",
        "_lock",
        "_requests",
        "_successor",
    )

    def __init__(
        self,
        index: JobIndex,
        requests: OwnerRequests,
        describe: Callable[[], Peer],
        backoff_factor: Callable[[], float],
        lag_s: Callable[[], float],
    ) -> None:
        self._index = index
        self._requests = requests
        self._backoff_factor = backoff_factor
        self._lag_s = lag_s
        self._describe = describe
        self._lock = threading.Lock()
        self._caller: HttpClient | None = None
        self._failed_s = 0.0
        self._failed_token: int | None = None
        self._successor: OwnerReply | None = None

    def ask(self, request: OwnerRequest, timeout_s: float) -> Receipt:
        """Return the owner's receipt; see ``OwnerPort``."""
        if self._requests.is_open:
            return self._requests.ask(request, timeout_s)
        notice = self._index.notice
        if notice is None or not notice.owner or not notice.requests_address:
            raise OwnerNotReachedError("no process owns the jobs, or it accepts no requests")
        if self._lag_s() > _MAX_LAG_S:
            raise OwnerNotReachedError(
                f"this process has not read the whole log for too long, over {_MAX_LAG_S} s"
            )
        owner = self._newest_owner(notice)
        if self._is_unresponsive(owner):
            raise OwnerNotReachedError("the owner is silent, or a request failed a moment ago")
        until_s = time.monotonic() + timeout_s
        return self._call(owner, request, until_s, may_follow=True)

    def _newest_owner(self, notice: OwnerNotice) -> OwnerReply:
        """Return the owner in the newest notice, or a later one that a reply has named."""
        owner = OwnerReply(notice.token, notice.requests_address)
        successor = self._successor
        return successor if successor is not None and successor.token > owner.token else owner

    def _is_unresponsive(self, owner: OwnerReply) -> bool:
        """Whether an owner is silent, failed recently, or wrote no record after it failed."""
        silence_s = time.monotonic() - self._index.owner_record_s
        max_silence_s = _MAX_OWNER_SILENCE_S * self._backoff_factor()
        # If this process lags itself, it lacks the records of a live owner as well.
        if silence_s > max_silence_s and self._lag_s() <= max_silence_s:
            return True
        if owner.token != self._failed_token:
            return False
        is_recent = time.monotonic() - self._failed_s < _FAILURE_PAUSE_S
        return is_recent or self._index.owner_record_s < self._failed_s

    def _call(
        self, owner: OwnerReply, request: OwnerRequest, until_s: float, *, may_follow: bool
    ) -> Receipt:
        """Send a request to an owner; follow one redirect to its successor if time is left."""
        timeout_s = until_s - time.monotonic()
        owner_s = max(0.0, timeout_s - _ANSWER_MARGIN_S)
        path, body = _encode(request, owner.token, owner_s, self._sender())
        caller = self._caller_for(owner.requests_address)
        try:
            reply = caller.call("POST", path, timeout_s, body)
        except NotSentError as error:
            self._note_failure(owner.token)
            raise OwnerNotReachedError(str(error)) from error
        except NoAnswerError as error:
            self._note_failure(owner.token)
            raise OwnerUnclearError(str(error)) from error
        successor = _successor(reply, owner) if may_follow else None
        if successor is not None:
            self._successor = successor
            if until_s - time.monotonic() > _ANSWER_MARGIN_S:
                return self._call(successor, request, until_s, may_follow=False)
        return _receipt(reply)

    def _sender(self) -> Sender:
        peer = self._describe()
        return Sender(peer.incarnation, peer.cores, round(peer.store_age_s, 2), peer.zone)

    def _caller_for(self, address: str) -> HttpClient:
        with self._lock:
            if self._caller is None or self._caller.address != address:
                self._caller = HttpClient(address, _CONNECTIONS, _CONNECT_TIMEOUT_S)
            return self._caller

    def _note_failure(self, token: int) -> None:
        """Pause requests to this owner, and drop the connections to it."""
        with self._lock:
            self._failed_s = time.monotonic()
            self._failed_token = token
            caller, self._caller = self._caller, None
        if caller is not None:
            caller.close()


@singledispatch
def _encode(
    request: OwnerRequest, token: int, timeout_s: float, sender: Sender
) -> tuple[RelayPath, bytes]:
    """Return the path and the body for a request; ``timeout_s`` is the owner's time-out."""
    raise TypeError(type(request).__name__)


@_encode.register
def _(
    request: SubmissionRequest, token: int, timeout_s: float, sender: Sender
) -> tuple[RelayPath, bytes]:
    call = SubmissionCall(
        token, _timeout_ms(timeout_s), request.job, request.submission, request.read_offset, sender
    )
    return RelayPath.SUBMISSION, _encoder.encode(call)


@_encode.register
def _(
    request: CancelRequest, token: int, timeout_s: float, sender: Sender
) -> tuple[RelayPath, bytes]:
    call = CancelCall(token, _timeout_ms(timeout_s), request.job, sender)
    return RelayPath.CANCEL, _encoder.encode(call)


def _timeout_ms(timeout_s: float) -> int:
    return min(int(timeout_s * _MS), MAX_TIMEOUT_MS)


def _successor(reply: HttpReply, owner: OwnerReply) -> OwnerReply | None:
    """Return the later owner that a 409 reply names; None if it names none."""
    if reply.status != _CONFLICT:
        return None
    try:
        found = decode_with(_owner_decoder, reply.body)
    except CodecError:
        # Processes of the previous version send no successor.
        return None
    return found if found.token > owner.token and found.requests_address else None


def _receipt(reply: HttpReply) -> Receipt:
    """Return the receipt in a reply; an unexpected status is unclear, like a missing answer."""
    if reply.status in _NOT_TAKEN:
        raise OwnerNotReachedError(f"the owner's process rejected it with status {reply.status}")
    if reply.status != _OK:
        raise OwnerUnclearError(f"the owner's process answered with status {reply.status}")
    try:
        found = decode_with(_receipt_decoder, reply.body)
    except CodecError as error:
        raise OwnerUnclearError(f"reply of the owner is malformed: {error}") from error
    return Receipt(found.verdict, found.late_ms, found.retry_s)
