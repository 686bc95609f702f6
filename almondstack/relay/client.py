"""Asks the owner of the jobs, in this process or over HTTP."""

import threading
import time
from collections.abc import Callable
from functools import singledispatch

import msgspec

from almondstack.core.http_client import HttpCaller, HttpReply, NoAnswerError, NotSentError
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
_NOT_TAKEN = frozenset({400, 404, _CONFLICT})
"""Statuses by which the server says that the owner has not taken a request, and won't."""

_CONNECTIONS = 4
_CONNECT_TIMEOUT_S = 0.15
"""All processes are within milliseconds of each other."""

_ANSWER_MARGIN_S = 0.1
"""The owner is asked to answer so much earlier than it is given up, in seconds."""

_PAUSE_S = 1.0
"""An owner that could not be asked is not asked again for so long, in seconds; there is another
way, which a caller should not come to late."""

_SILENT_S = 1.0
"""An owner of which the store brought nothing for longer is not asked, in seconds; it writes
several times a second, and reads may be this far apart unless they are spread."""

_MOST_LAG_S = 3.0
"""A process that has not heard the store for longer hands nothing in, in seconds: it may not know
of a key that was revoked."""

_MS = 1000.0

_encoder = msgspec.msgpack.Encoder()
_replies = msgspec.msgpack.Decoder(ReceiptReply)
_owners = msgspec.msgpack.Decoder(OwnerReply)


class OwnerClient:
    """Asks whichever process owns the jobs; an ``OwnerPort``.

    Parameters
    ----------
    book : JobIndex
        Says who owns the jobs.
    requests : OwnerRequests
        Takes requests while this process owns them.
    describe : callable
        Returns how this process is and hears the store now.
    spread : callable
        Returns by what factor the store's answers may be further apart than usual.
    lag_s : callable
        Returns how far this process is behind the store, in seconds.
    """

    __slots__ = (
        "_book",
        "_caller",
        "_describe",
        "_failed_s",
        "_failed_token",
        "_lag_s",
        "_lock",
        "_requests",
        "_spread",
        "_successor",
    )

    def __init__(
        self,
        book: JobIndex,
        requests: OwnerRequests,
        describe: Callable[[], Peer],
        spread: Callable[[], float],
        lag_s: Callable[[], float],
    ) -> None:
        self._book = book
        self._requests = requests
        self._spread = spread
        self._lag_s = lag_s
        self._describe = describe
        self._lock = threading.Lock()
        self._caller: HttpCaller | None = None
        self._failed_s = 0.0
        self._failed_token: int | None = None
        self._successor: OwnerReply | None = None

    def ask(self, request: OwnerRequest, timeout_s: float) -> Receipt:
        """Return the owner's receipt; see ``OwnerPort``."""
        if self._requests.is_open:
            return self._requests.ask(request, timeout_s)
        notice = self._book.notice
        if notice is None or not notice.owner or not notice.requests_address:
            raise OwnerNotReachedError("nobody owns the jobs")
        if self._lag_s() > _MOST_LAG_S:
            raise OwnerNotReachedError("this process has not heard the store for too long")
        owner = self._newest_owner(notice)
        if self._is_doubtful(owner):
            raise OwnerNotReachedError("the owner is silent, or could not be asked a moment ago")
        until_s = time.monotonic() + timeout_s
        return self._call(owner, request, until_s, may_follow=True)

    def _newest_owner(self, notice: OwnerNotice) -> OwnerReply:
        """Return the owner of the newest notice, or a later one that another process has named."""
        owner = OwnerReply(notice.token, notice.requests_address)
        successor = self._successor
        return successor if successor is not None and successor.token > owner.token else owner

    def _is_doubtful(self, owner: OwnerReply) -> bool:
        """Whether this owner is silent, has failed lately, or was not heard since it did."""
        silence_s = time.monotonic() - self._book.owner_record_s
        most_silence_s = _SILENT_S * self._spread()
        # Where the store itself is silent, nothing was to be heard of a living owner either.
        if silence_s > most_silence_s and self._lag_s() <= most_silence_s:
            return True
        if owner.token != self._failed_token:
            return False
        is_recent = time.monotonic() - self._failed_s < _PAUSE_S
        return is_recent or self._book.owner_record_s < self._failed_s

    def _call(
        self, owner: OwnerReply, request: OwnerRequest, until_s: float, *, may_follow: bool
    ) -> Receipt:
        """Ask an owner; follow once, if time is left, to the one that owns the jobs after it."""
        timeout_s = until_s - time.monotonic()
        owner_s = max(0.0, timeout_s - _ANSWER_MARGIN_S)
        path, body = _encode(request, owner.token, owner_s, self._sender())
        caller = self._caller_of(owner.requests_address)
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

    def _caller_of(self, address: str) -> HttpCaller:
        with self._lock:
            if self._caller is None or self._caller.address != address:
                self._caller = HttpCaller(address, _CONNECTIONS, _CONNECT_TIMEOUT_S)
            return self._caller

    def _note_failure(self, token: int) -> None:
        """Ask this owner no more for a while, and over new connections then."""
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
    """Return where a request goes, and its body."""
    raise TypeError(type(request).__name__)


@_encode.register
def _(
    request: SubmissionRequest, token: int, timeout_s: float, sender: Sender
) -> tuple[RelayPath, bytes]:
    timeout_ms = int(timeout_s * _MS)
    call = SubmissionCall(
        token, timeout_ms, request.job, request.submission, request.read_offset, sender
    )
    return RelayPath.SUBMISSION, _encoder.encode(call)


@_encode.register
def _(
    request: CancelRequest, token: int, timeout_s: float, sender: Sender
) -> tuple[RelayPath, bytes]:
    call = CancelCall(token, int(timeout_s * _MS), request.job, sender)
    return RelayPath.CANCEL, _encoder.encode(call)


def _successor(reply: HttpReply, owner: OwnerReply) -> OwnerReply | None:
    """Return the later owner that a process names which does not own the jobs, if it knows one."""
    if reply.status != _CONFLICT:
        return None
    try:
        found = _owners.decode(reply.body)
    except msgspec.MsgspecError:
        # A process of the version before names none.
        return None
    return found if found.token > owner.token and found.requests_address else None


def _receipt(reply: HttpReply) -> Receipt:
    """Return what a reply says; an unforeseen status leaves it open whether it was taken."""
    if reply.status in _NOT_TAKEN:
        raise OwnerNotReachedError(f"status {reply.status}")
    if reply.status != _OK:
        raise OwnerUnclearError(f"status {reply.status}")
    try:
        found = _replies.decode(reply.body)
    except msgspec.MsgspecError as error:
        raise OwnerUnclearError(f"the reply does not decode: {error}") from error
    return Receipt(found.verdict, found.late_ms)
