"""HTTP API for callers: translates their requests into calls of :class:`JobService`."""

import json
import threading
import time

import msgspec
from cheroot.server import Gateway
from cheroot.workers.threadpool import ThreadPool

from almondstack.core import CodecError, LocalMetrics, decode_with, parse_address
from almondstack.core.http_server import PlatformHttpServer
from almondstack.intake import JobService, Verdict
from almondstack.jobs import JobState, Step, Submission
from almondstack.platform.configuration import Configuration, ConfigurationHolder, QueueRoute
from almondstack.platform.request_body import read_body
from almondstack.platform.wire import JobWire, StepWire

__all__ = ["JobApi", "JobApiServer", "Request", "Response"]

_THREADS = 24
"""Requests handled concurrently; while the store is slow most of them wait for the owner."""

_IDLE_TIMEOUT_S = 30
_FIRST_MAX_BODY_BYTES = 262_144
"""Longest body that is read before the first configuration, as in one that names no limit."""

_ID_DIGITS = 16
_BYTE_VALUES = 256
_HEX = frozenset("0123456789abcdefABCDEF")
_MAX_STORE_WAIT_S = 2.5
"""Upper limit of the time to store a submission or a cancel, in seconds.  The route's timeout
and the caller's deadline may lower it."""

_RESPONSE_MARGIN_S = 0.15
"""Part of a caller's deadline reserved for sending the response, in seconds."""

_RETRY_AFTER_OUTAGE_S = 1
_UNAVAILABLE = 503

_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}
_STATE_NAMES = {
    JobState.QUEUED: "queued",
    JobState.RUNNING: "running",
    JobState.COMPLETED: "completed",
    JobState.FAILED: "failed",
    JobState.CANCELLED: "cancelled",
}
_job_decoder = msgspec.json.Decoder(JobWire)


class Request:
    """A caller's request; ``key`` is its API key, ``deadline_s`` its timeout in seconds.

    ``body`` is None if it was over the limit and has not been kept.
    """

    __slots__ = ("body", "deadline_s", "host", "key", "method", "path")

    def __init__(
        self,
        method: str,
        host: str,
        path: str,
        key: str | None = None,
        deadline_s: float | None = None,
        body: bytes | None = b"",
    ) -> None:
        self.method = method
        self.host = host
        self.path = path
        self.key = key
        self.deadline_s = deadline_s
        self.body = body


class Response:
    """Status, JSON content and, for rejections, the time until a retry in seconds."""

    __slots__ = ("content", "retry_after_s", "status")

    def __init__(
        self, status: int, content: dict[str, object], retry_after_s: float | None = None
    ) -> None:
        self.status = status
        self.content = content
        self.retry_after_s = retry_after_s


class JobApi:
    """Routes and handles callers' requests.

    Parameters
    ----------
    holder : ConfigurationHolder
        Holds the newest configuration.
    service : JobService
        Accepts, cancels and shows jobs.
    metrics : LocalMetrics
        Receives counts and durations of responses.
    """

    __slots__ = ("_holder", "_metrics", "_service")

    def __init__(
        self, holder: ConfigurationHolder, service: JobService, metrics: LocalMetrics
    ) -> None:
        self._holder = holder
        self._service = service
        self._metrics = metrics

    @property
    def max_body_bytes(self) -> int:
        """Longest body that is accepted, in bytes."""
        configuration = self._holder.configuration
        return configuration.max_body_bytes if configuration is not None else _FIRST_MAX_BODY_BYTES

    def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        started_s = time.monotonic()
        response = self._handle(request)
        self._metrics.count(f"answer.{request.method}.{response.status}")
        self._metrics.timing_ms(f"answer.{request.method}", (time.monotonic() - started_s) * 1000.0)
        return response

    def _handle(self, request: Request) -> Response:
        configuration = self._holder.configuration
        if configuration is None:
            return _unavailable("no configuration yet; nothing was stored")
        route = configuration.route(request.host, request.path)
        if route is None:
            return Response(404, {"error": "no such queue"})
        account = configuration.account_of(request.key) if request.key else None
        if account is None and not route.is_public:
            return Response(401, {"error": "unknown key"})
        rest = request.path[len(route.prefix) :]
        if not rest and request.method == "GET":
            return Response(200, {"pending": self._service.pending(route.policy.name)})
        if not _is_job_id(rest):
            return Response(404, {"error": "no such job"})
        return self._handle_job(request, configuration, route, account or "", rest)

    def _handle_job(
        self,
        request: Request,
        configuration: Configuration,
        route: QueueRoute,
        account: str,
        job: str,
    ) -> Response:
        if request.method == "GET":
            return self._job_state(job, account)
        if request.method == "DELETE":
            return self._cancel(job, account, _store_timeout_s(request, route))
        if request.method == "POST":
            if request.body is None or len(request.body) > configuration.max_body_bytes:
                return Response(413, {"error": "the body is too large; nothing was stored"})
            return self._submit(request, request.body, route, account, job)
        return Response(405, {"error": "no such method"})

    def _job_state(self, job: str, account: str) -> Response:
        state = self._service.state(job, account)
        if isinstance(state, JobState):
            return Response(200, {"state": _STATE_NAMES[state]})
        if state is Verdict.UNKNOWN_JOB:
            return Response(410, {"error": "no such job"})
        return _unavailable("the store does not answer")

    def _cancel(self, job: str, account: str, timeout_s: float) -> Response:
        verdict = self._service.cancel(job, account, timeout_s)
        if verdict is Verdict.DONE:
            return Response(200, {})
        if verdict is Verdict.UNKNOWN_JOB:
            return Response(410, {"error": "no such job"})
        if verdict is Verdict.UNCLEAR:
            return Response(504, {"error": "it is not known whether the cancel was stored"})
        return _unavailable("the cancel was not stored")

    def _submit(
        self, request: Request, body: bytes, route: QueueRoute, account: str, job: str
    ) -> Response:
        try:
            wire = decode_with(_job_decoder, body)
        except CodecError as error:
            return Response(400, {"error": f"{error}; nothing was stored"})
        fault = _step_order_error(wire)
        if fault:
            return Response(400, {"error": f"{fault}; nothing was stored"})
        submission = _to_submission(wire, route, account)
        receipt = self._service.submit(
            job, submission, route.policy, _store_timeout_s(request, route)
        )
        verdict = receipt.verdict
        if verdict in (Verdict.DONE, Verdict.KNOWN):
            return Response(200, {})
        if verdict is Verdict.FULL:
            wait_s = receipt.retry_s or receipt.late_ms / 1000.0 + _retry_jitter_s(job)
            return Response(429, {"error": "the queue is full; the job was not stored"}, wait_s)
        if verdict is Verdict.UNCLEAR:
            return Response(504, {"error": "it is not known whether the job was stored"})
        if verdict is Verdict.CONFLICT:
            return Response(409, {"error": "another account has a job of that id"})
        return _unavailable("the job was not stored", receipt.retry_s)


class JobApiServer(PlatformHttpServer):
    """HTTP server for callers, based on cheroot.

    Parameters
    ----------
    address : str
        Address to listen on, as ``IP:PORT``.
    api : JobApi
        Handles the requests.
    threads : int
        Requests handled concurrently.

    Attributes
    ----------
    is_shutting_down : bool
        Whether each response closes its connection.
    """

    def __init__(self, address: str, api: JobApi, threads: int = _THREADS) -> None:
        super().__init__(parse_address(address), _JobApiGateway)
        self.api = api
        self.timeout = _IDLE_TIMEOUT_S
        self.requests = ThreadPool(self, min=threads, max=threads)
        self.is_shutting_down = False
        self._active = 0
        self._lock = threading.Lock()

    @property
    def active(self) -> int:
        """Number of requests being handled."""
        return self._active

    def count_active(self, change: int) -> None:
        """Add 1 for a request that starts, or -1 for one that has ended."""
        with self._lock:
            self._active += change


class _JobApiGateway(Gateway):
    """Reads a request from cheroot and writes the response."""

    def respond(self) -> None:
        """Handle one request."""
        server = self.req.server
        server.count_active(1)
        try:
            self._write(server.api.handle(self._request()))
        finally:
            server.count_active(-1)

    def _request(self) -> Request:
        req = self.req
        headers = req.inheaders
        body = read_body(req, req.server.api.max_body_bytes)
        return Request(
            req.method.decode("latin-1"),
            _host_name(headers.get(b"Host", b"")),
            req.path.decode("latin-1"),
            _bearer_key(headers.get(b"Authorization")),
            _deadline_s(headers.get(b"X-Request-Deadline")),
            body,
        )

    def _write(self, response: Response) -> None:
        req = self.req
        content = json.dumps(response.content).encode()
        req.status = _STATUS_LINES[response.status].encode()
        req.outheaders.append((b"Content-Type", b"application/json"))
        req.outheaders.append((b"Content-Length", str(len(content)).encode()))
        if response.retry_after_s is not None:
            seconds = max(1, round(response.retry_after_s))
            req.outheaders.append((b"Retry-After", str(seconds).encode()))
        if req.server.is_shutting_down or response.status == _UNAVAILABLE:
            # The load balancer can send a retry over a new connection to another process.
            req.close_connection = True
        req.ensure_headers_sent()
        req.write(content)


def _unavailable(error: str, retry_s: int = 0) -> Response:
    return Response(503, {"error": error}, retry_s or _RETRY_AFTER_OUTAGE_S)


def _retry_jitter_s(job: str) -> float:
    """Return a delay below 1 s, derived from the job's id, that spreads callers' retries."""
    return int(job[-2:], 16) / _BYTE_VALUES


def _is_job_id(text: str) -> bool:
    return len(text) == _ID_DIGITS and _HEX.issuperset(text)


def _host_name(value: bytes) -> str:
    return value.decode("latin-1").partition(":")[0].lower()


def _bearer_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").decode("latin-1").partition(" ")
    return key.strip() if scheme.lower() == "bearer" and key else None


def _deadline_s(value: bytes | None) -> float | None:
    try:
        return float(value) / 1000.0 if value else None
    except ValueError:
        return None


def _store_timeout_s(request: Request, route: QueueRoute) -> float:
    bounds = [_MAX_STORE_WAIT_S, route.timeout_s - _RESPONSE_MARGIN_S]
    if request.deadline_s is not None:
        bounds.append(request.deadline_s - _RESPONSE_MARGIN_S)
    return max(min(bounds), _RESPONSE_MARGIN_S)


def _step_order_error(wire: JobWire) -> str:
    """Return what is wrong with the order of the steps, or ""."""
    for number, step in enumerate(wire.steps):
        if any(earlier >= number for earlier in step.after):
            return f"step {number} comes after a step that is not before it"
    return ""


def _to_submission(wire: JobWire, route: QueueRoute, account: str) -> Submission:
    return Submission(
        queue=route.policy.name,
        account=account,
        spec=wire.spec,
        steps=tuple(map(_to_step, wire.steps)),
        occurrences=wire.occurrences,
        first_due_ms=wire.first_due_ms,
        interval_ms=wire.interval_ms,
        accepted_ms=int(time.time() * 1000),
        pool=route.policy.pool,
        max_attempts=route.policy.max_attempts,
    )


def _to_step(wire: StepWire) -> Step:
    return Step(*msgspec.structs.astuple(wire))
