"""HTTP API for callers: translates their requests into calls of :class:`JobService`."""

import json
import time

import msgspec
from cheroot.workers.threadpool import ThreadPool

from almondstack.core import CodecError, LocalMetrics, decode_with, parse_address
from almondstack.core.client_guard import ClientGuard
from almondstack.core.http_server import BodyGateway, PlatformHttpServer
from almondstack.core.request_bodies import BodyFault, RequestBody
from almondstack.intake import JobService, Verdict
from almondstack.jobs import JobState, Step, Submission
from almondstack.platform.configuration import Configuration, ConfigurationHolder, QueueRoute
from almondstack.platform.wire import JobWire, LimitsWire, StepWire

__all__ = ["JobApi", "JobApiServer", "Request", "Response"]

_THREADS = 24
"""Requests handled concurrently; while the store is slow most of them wait for the owner."""

_IDLE_TIMEOUT_S = 30
_FIRST_LIMITS = LimitsWire()
"""Limits before the first configuration, as in one that names none."""

_HEAD_FACTOR = 2
"""Longest head that is read, as a multiple of the longest header section: the limit of the
configuration leaves open how header sections are counted, and request lines come on top."""

_MIN_HEAD_BYTES = 32_768

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
_METHODS = frozenset(("DELETE", "GET", "POST"))
_OTHER_METHOD = "other"
"""Stands for all other methods in the names of metrics, which are kept for good."""

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
        return self._limits.max_body_bytes

    @property
    def max_head_bytes(self) -> int:
        """Longest request line and header section together that are read, in bytes."""
        return max(_MIN_HEAD_BYTES, self._limits.max_header_bytes * _HEAD_FACTOR)

    @property
    def _limits(self) -> LimitsWire:
        configuration = self._holder.configuration
        return configuration.limits if configuration is not None else _FIRST_LIMITS

    def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        started_s = time.monotonic()
        response = self._handle(request)
        self._record(request, response, started_s)
        return response

    def refuse_head(self, request: Request) -> Response | None:
        """Return the response to a request that is refused whatever its body is, else None."""
        started_s = time.monotonic()
        admission = self._admit(request)
        if not isinstance(admission, Response):
            return None
        self._record(request, admission, started_s)
        return admission

    def refuse_body(self, request: Request, fault: BodyFault) -> Response:
        """Return the response to a request whose body was not read to its end."""
        response = _BODY_REFUSALS[fault]
        self._record(request, response, time.monotonic())
        return response

    def _record(self, request: Request, response: Response, started_s: float) -> None:
        method = request.method if request.method in _METHODS else _OTHER_METHOD
        self._metrics.count(f"answer.{method}.{response.status}")
        self._metrics.timing_ms(f"answer.{method}", (time.monotonic() - started_s) * 1000.0)

    def _handle(self, request: Request) -> Response:
        admission = self._admit(request)
        if isinstance(admission, Response):
            return admission
        return self._handle_admitted(request, *admission)

    def _admit(self, request: Request) -> Response | tuple[Configuration, QueueRoute, str]:
        """Return configuration, route and account of a request, or its refusal."""
        configuration = self._holder.configuration
        if configuration is None:
            return _unavailable("no configuration yet; nothing was stored")
        route = configuration.route(request.host, request.path)
        if route is None:
            return Response(404, {"error": "no such queue"})
        account = configuration.account_of(request.key) if request.key else None
        if account is None and not route.is_public:
            return Response(401, {"error": "unknown key"})
        return configuration, route, account or ""

    def _handle_admitted(
        self, request: Request, configuration: Configuration, route: QueueRoute, account: str
    ) -> Response:
        rest = request.path[len(route.prefix) :]
        if not rest and request.method == "GET":
            return Response(200, {"pending": self._service.pending(route.policy.name)})
        if not _is_job_id(rest):
            return Response(404, {"error": "no such job"})
        return self._handle_job(request, configuration, route, account, rest)

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
            if request.body is None or len(request.body) > configuration.limits.max_body_bytes:
                return _BODY_REFUSALS[BodyFault.TOO_LARGE]
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
    guard : ClientGuard, optional
        Limits on the callers.

    Attributes
    ----------
    is_shutting_down : bool
        Whether each response closes its connection.
    """

    def __init__(
        self,
        address: str,
        api: JobApi,
        threads: int = _THREADS,
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__(parse_address(address), _JobApiGateway, guard)
        self.api = api
        self.timeout = _IDLE_TIMEOUT_S
        self.requests = ThreadPool(self, min=threads, max=threads)
        self.is_shutting_down = False

    @property
    def max_request_header_size(self) -> int:  # type: ignore[override]
        """Longest request line and header section together, in bytes; read by cheroot."""
        return self.api.max_head_bytes


class _JobApiGateway(BodyGateway):
    """Reads a request from cheroot and writes the response."""

    @property
    def max_body_bytes(self) -> int:
        """Longest body that is read, in bytes."""
        return self.req.server.api.max_body_bytes

    def refuse_head(self) -> bool:
        """Refuse an unknown key or queue before the body has come."""
        response = self.req.server.api.refuse_head(self._request(None))
        if response is None:
            return False
        self._write(response)
        return True

    def answer(self, body: RequestBody) -> None:
        """Handle one request."""
        api = self.req.server.api
        if body.fault in (None, BodyFault.TOO_LARGE):
            # Only a submission needs its body, so that other requests may have any.
            content = body.content if body.fault is None else None
            self._write(api.handle(self._request(content)))
            return
        self._write(api.refuse_body(self._request(None), body.fault))

    def _request(self, body: bytes | None) -> Request:
        req = self.req
        headers = req.inheaders
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
        headers = [(b"Content-Type", b"application/json")]
        if response.retry_after_s is not None:
            seconds = max(1, round(response.retry_after_s))
            headers.append((b"Retry-After", str(seconds).encode()))
        if req.server.is_shutting_down or response.status == _UNAVAILABLE:
            # The load balancer can send a retry over a new connection to another process.
            req.close_connection = True
        status = _STATUS_LINES[response.status].encode()
        self.send(status, headers, json.dumps(response.content).encode())


def _unavailable(error: str, retry_s: int = 0) -> Response:
    return Response(503, {"error": error}, retry_s or _RETRY_AFTER_OUTAGE_S)


_BODY_REFUSALS = {
    BodyFault.TOO_LARGE: Response(413, {"error": "the body is too large; nothing was stored"}),
    BodyFault.MALFORMED: Response(400, {"error": "the body is malformed; nothing was stored"}),
    BodyFault.NOT_HELD: _unavailable("too many bodies are being received; nothing was stored"),
}


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
