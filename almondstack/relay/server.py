"""HTTP server that accepts requests of other processes for the owner in this process."""

from collections.abc import Callable

import msgspec
from cheroot.workers.threadpool import ThreadPool

from almondstack.core import CodecError, decode_with, parse_address
from almondstack.core.byte_budget import ByteBudget
from almondstack.core.client_guard import ClientGuard
from almondstack.core.http_server import BodyGateway, PlatformHttpServer
from almondstack.core.request_bodies import BodyFault, RequestBody
from almondstack.intake import (
    CancelRequest,
    OwnerNotReachedError,
    OwnerRequest,
    OwnerRequests,
    OwnerUnclearError,
    Peer,
    Receipt,
    SubmissionRequest,
    Verdict,
)
from almondstack.jobs import OwnerNotice
from almondstack.relay.messages import (
    CancelCall,
    OwnerReply,
    ReceiptReply,
    RelayPath,
    SubmissionCall,
)

__all__ = ["RelayServer"]

_MIN_THREADS = 2
_MAX_THREADS = 48
"""Thread limits.  A request occupies a thread until the owner's next append is answered, so that
an owner needs many and other processes few."""

_IDLE_TIMEOUT_S = 60
"""Connections between processes are closed after this time without a request."""

_MAX_CALL_BYTES = 1_048_576
"""Longest call that is read, unless callers may send longer jobs."""

_CALL_FACTOR = 4
"""Bytes of a call for each byte of the job in it, at most: a call names each field of a step."""

_encoder = msgspec.msgpack.Encoder()
_submissions = msgspec.msgpack.Decoder(SubmissionCall)
_cancels = msgspec.msgpack.Decoder(CancelCall)


class RelayServer(PlatformHttpServer):
    """Serves calls of other processes to the owner.

    Explanation
    -----------
    The statuses 400, 404, 409 and 503 mean that the request was not accepted, and will not be;
    the body of a 409 names the current owner.

    Parameters
    ----------
    address : str
        Numeric address.
    requests : OwnerRequests
        Accepts requests while this process owns the jobs.
    notice : callable
        Returns the newest notice of an owner that this process has read.
    guard : ClientGuard, optional
        Limits on the clients.
    max_job_bytes : callable, optional
        Returns the length of the longest job that callers may send, in bytes.
    """

    def __init__(
        self,
        address: str,
        requests: OwnerRequests,
        notice: Callable[[], OwnerNotice | None],
        guard: ClientGuard | None = None,
        max_job_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        super().__init__(parse_address(address), _RelayGateway, guard)
        # Bodies of callers must not keep calls of other processes out.
        self.budget = ByteBudget(self.guard.limits.max_held_bytes)
        self.max_job_bytes = max_job_bytes
        self.timeout = _IDLE_TIMEOUT_S
        self.owner_requests = requests
        self.notice = notice
        self.requests = ThreadPool(self, min=_MIN_THREADS, max=_MAX_THREADS)

    def resize_thread_pool(self, *, is_owner: bool) -> None:
        """Grow the thread pool for an owner, or shrink it again."""
        if is_owner:
            self.requests.grow(_MAX_THREADS - _MIN_THREADS)
        else:
            self.requests.shrink(_MAX_THREADS - _MIN_THREADS)


class _RelayGateway(BodyGateway):
    """Reads a call from a cheroot connection and writes the reply."""

    @property
    def max_body_bytes(self) -> int:
        """Longest call that is read, in bytes."""
        return max(_MAX_CALL_BYTES, self.req.server.max_job_bytes() * _CALL_FACTOR)

    def answer(self, body: RequestBody) -> None:
        """Answer one call; a call that was not read to its end is not accepted."""
        status, content = b"400 Bad Request", b""
        if body.fault is BodyFault.NOT_HELD:
            status = b"503 Service Unavailable"
        elif body.fault is None:
            status, content = self._answer(self.req.path.decode("latin-1"), body.content)
        self.send(status, [(b"Content-Type", b"application/msgpack")], content)

    def _answer(self, path: str, body: bytes) -> tuple[bytes, bytes]:
        try:
            receipt = self._receipt(path, body)
        except CodecError:
            return b"400 Bad Request", b""
        except OwnerNotReachedError:
            return b"409 Conflict", _encoder.encode(self._owner())
        except OwnerUnclearError:
            receipt = Receipt(Verdict.UNCLEAR)
        if receipt is None:
            return b"404 Not Found", b""
        return b"200 OK", _encoder.encode(ReceiptReply(*receipt))

    def _owner(self) -> OwnerReply:
        notice = self.req.server.notice()
        if notice is None or not notice.owner:
            return OwnerReply()
        return OwnerReply(notice.token, notice.requests_address)

    def _receipt(self, path: str, body: bytes) -> Receipt | None:
        """Return the owner's receipt; None if the path is unknown."""
        if path == RelayPath.SUBMISSION:
            submission = decode_with(_submissions, body)
            request = SubmissionRequest(
                submission.job, submission.submission, submission.read_offset
            )
            return self._ask(request, submission)
        if path == RelayPath.CANCEL:
            cancel = decode_with(_cancels, body)
            return self._ask(CancelRequest(cancel.job), cancel)
        return None

    def _ask(self, request: OwnerRequest, call: SubmissionCall | CancelCall) -> Receipt:
        requests = self.req.server.owner_requests
        sender = call.sender
        requests.note_peer(Peer(sender.incarnation, sender.cores, sender.store_age_s, sender.zone))
        return requests.ask(request, call.timeout_ms / 1000.0, call.token)
