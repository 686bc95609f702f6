"""Callers' HTTP: the platform's calls, translated into what the product offers."""

import json
import threading
import time

import msgspec
from cheroot.server import Gateway
from cheroot.workers.threadpool import ThreadPool

from almondstack.core import NullMetrics, parse_address
from almondstack.core.http_server import QuietServer
from almondstack.intake import JobService, Verdict
from almondstack.jobs import JobState, Step, Submission
from almondstack.platform.configuration import Configuration, ConfigurationHolder, QueueRoute
from almondstack.platform.wire import JobWire, StepWire

__all__ = ["Answer", "FrontServer", "JobFront", "Request"]

_THREADS = 24
"""Requests answered at one time; in a slow store's time most of them wait for the owner."""

_IDLE_TIMEOUT_S = 30
_ID_DIGITS = 16
_BYTE_VALUES = 256
_HEX = frozenset("0123456789abcdefABCDEF")
_MOST_WAIT_S = 2.5
"""Longest time for storing a wish, when the caller names no deadline, in seconds."""

_ANSWER_MARGIN_S = 0.15
"""Time kept of a caller's deadline for the way back, in seconds."""

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
_jobs = msgspec.json.Decoder(JobWire)


class Request:
    """A caller's request."""

    __slots__ = ("body", "deadline_s", "host", "key", "method", "path")

    def __init__(
        self,
        method: str,
        host: str,
        path: str,
        key: str | None = None,
        deadline_s: float | None = None,
        body: bytes = b"",
    ) -> None:
        self.method = method
        self.host = host
        self.path = path
        self.key = key
        self.deadline_s = deadline_s
        self.body = body


class Answer:
    """Status, JSON content and, for refusals, when to come again in seconds."""

    __slots__ = ("content", "retry_after_s", "status")

    def __init__(
        self, status: int, content: dict[str, object], retry_after_s: float | None = None
    ) -> None:
        self.status = status
        self.content = content
        self.retry_after_s = retry_after_s


class JobFront:
    """Answers callers.

    Parameters
    ----------
    holder : ConfigurationHolder
        The newest configuration.
    service : JobService
        What the product offers.
    metrics : NullMetrics
        Counts and times answers.
    """

    __slots__ = ("_holder", "_metrics", "_service")

    def __init__(
        self, holder: ConfigurationHolder, service: JobService, metrics: NullMetrics
    ) -> None:
        self._holder = holder
        self._service = service
        self._metrics = metrics

    def answer(self, request: Request) -> Answer:
        """Answer one request."""
        began_s = time.monotonic()
        answer = self._answer(request)
        self._metrics.count(f"answer.{request.method}.{answer.status}")
        self._metrics.timing_ms(f"answer.{request.method}", (time.monotonic() - began_s) * 1000.0)
        return answer

    def _answer(self, request: Request) -> Answer:
        configuration = self._holder.configuration
        if configuration is None:
            return _outage("no configuration yet; nothing was stored")
        route = configuration.route(request.host, request.path)
        if route is None:
            return Answer(404, {"error": "no such queue"})
        account = configuration.account_of(request.key) if request.key else None
        if account is None and not route.is_public:
            return Answer(401, {"error": "unknown key"})
        rest = request.path[len(route.prefix) :]
        if not rest and request.method == "GET":
            return Answer(200, {"pending": self._service.pending(route.policy.name)})
        if not _is_job_id(rest):
            return Answer(404, {"error": "no such job"})
        return self._answer_job(request, configuration, route, account or "", rest)

    def _answer_job(
        self,
        request: Request,
        configuration: Configuration,
        route: QueueRoute,
        account: str,
        job: str,
    ) -> Answer:
        if request.method == "GET":
            return self._show(job, account)
        if request.method == "DELETE":
            return self._cancel(job, account, _timeout_s(request, route))
        if request.method == "POST":
            if len(request.body) > configuration.max_body_bytes:
                return Answer(413, {"error": "the body is too large; nothing was stored"})
            return self._submit(request, route, account, job)
        return Answer(405, {"error": "no such method"})

    def _show(self, job: str, account: str) -> Answer:
        state = self._service.state(job, account)
        if isinstance(state, JobState):
            return Answer(200, {"state": _STATE_NAMES[state]})
        if state is Verdict.UNKNOWN_JOB:
            return Answer(410, {"error": "no such job"})
        return _outage("the store does not answer")

    def _cancel(self, job: str, account: str, timeout_s: float) -> Answer:
        verdict = self._service.cancel(job, account, timeout_s)
        if verdict is Verdict.DONE:
            return Answer(200, {})
        if verdict is Verdict.UNKNOWN_JOB:
            return Answer(410, {"error": "no such job"})
        if verdict is Verdict.UNCLEAR:
            return Answer(504, {"error": "it is not known whether the cancel was stored"})
        return _outage("the cancel was not stored")

    def _submit(self, request: Request, route: QueueRoute, account: str, job: str) -> Answer:
        try:
            wire = _jobs.decode(request.body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return Answer(400, {"error": f"{error}; nothing was stored"})
        fault = _fault_of(wire)
        if fault:
            return Answer(400, {"error": f"{fault}; nothing was stored"})
        submission = _submission(wire, route, account)
        receipt = self._service.submit(job, submission, route.policy, _timeout_s(request, route))
        verdict = receipt.verdict
        if verdict in (Verdict.DONE, Verdict.KNOWN):
            return Answer(200, {})
        if verdict is Verdict.FULL:
            wait_s = receipt.late_ms / 1000.0 + _spread_s(job)
            return Answer(429, {"error": "the queue is full; the job was not stored"}, wait_s)
        if verdict is Verdict.UNCLEAR:
            return Answer(504, {"error": "it is not known whether the job was stored"})
        if verdict is Verdict.CONFLICT:
            return Answer(409, {"error": "another account has a job of that id"})
        return _outage("the job was not stored")


class FrontServer(QuietServer):
    """Listens for callers, on cheroot.

    Parameters
    ----------
    address : str
        Numeric address.
    front : JobFront
        Answers requests.
    threads : int
        Requests answered at one time.
    """

    def __init__(self, address: str, front: JobFront, threads: int = _THREADS) -> None:
        super().__init__(parse_address(address), _FrontGateway)
        self.front = front
        self.timeout = _IDLE_TIMEOUT_S
        self.requests = ThreadPool(self, min=threads, max=threads)
        self.is_leaving = False
        self._active = 0
        self._lock = threading.Lock()

    @property
    def active(self) -> int:
        """Requests that are being answered."""
        return self._active

    def enter(self, amount: int) -> None:
        """Count a request that begins (1) or has ended (-1)."""
        with self._lock:
            self._active += amount


class _FrontGateway(Gateway):
    """Reads a request from cheroot and writes the answer."""

    def respond(self) -> None:
        """Answer one request."""
        server = self.req.server
        server.enter(1)
        try:
            self._write(server.front.answer(self._request()))
        finally:
            server.enter(-1)

    def _request(self) -> Request:
        req = self.req
        headers = req.inheaders
        length = int(headers.get(b"Content-Length", 0) or 0)
        body = req.rfile.read() if req.chunked_read else req.rfile.read(length)
        return Request(
            req.method.decode("latin-1"),
            _host_name(headers.get(b"Host", b"")),
            req.path.decode("latin-1"),
            _bearer_key(headers.get(b"Authorization")),
            _deadline_s(headers.get(b"X-Request-Deadline")),
            body,
        )

    def _write(self, answer: Answer) -> None:
        req = self.req
        content = json.dumps(answer.content).encode()
        req.status = _STATUS_LINES[answer.status].encode()
        req.outheaders.append((b"Content-Type", b"application/json"))
        req.outheaders.append((b"Content-Length", str(len(content)).encode()))
        if answer.retry_after_s is not None:
            seconds = max(1, round(answer.retry_after_s))
            req.outheaders.append((b"Retry-After", str(seconds).encode()))
        if req.server.is_leaving or answer.status == _UNAVAILABLE:
            # Over a new connection the balancer can send the next try elsewhere.
            req.close_connection = True
        req.ensure_headers_sent()
        req.write(content)


def _outage(error: str) -> Answer:
    return Answer(503, {"error": error}, _RETRY_AFTER_OUTAGE_S)


def _spread_s(job: str) -> float:
    """Return up to a second by which refused callers come back one after another."""
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


def _timeout_s(request: Request, route: QueueRoute) -> float:
    bounds = [_MOST_WAIT_S, route.timeout_s - _ANSWER_MARGIN_S]
    if request.deadline_s is not None:
        bounds.append(request.deadline_s - _ANSWER_MARGIN_S)
    return max(min(bounds), _ANSWER_MARGIN_S)


def _fault_of(wire: JobWire) -> str:
    """Return what is wrong with the steps, or an empty text."""
    for number, step in enumerate(wire.steps):
        if any(earlier >= number for earlier in step.after):
            return f"step {number} comes after a step that is not before it"
    return ""


def _submission(wire: JobWire, route: QueueRoute, account: str) -> Submission:
    return Submission(
        queue=route.policy.name,
        account=account,
        spec=wire.spec,
        steps=tuple(map(_step, wire.steps)),
        occurrences=wire.occurrences,
        first_due_ms=wire.first_due_ms,
        interval_ms=wire.interval_ms,
        accepted_ms=int(time.time() * 1000),
        pool=route.policy.pool,
        max_attempts=route.policy.max_attempts,
    )


def _step(wire: StepWire) -> Step:
    return Step(*msgspec.structs.astuple(wire))
