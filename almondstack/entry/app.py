"""The callers' interface as a WSGI application (PEP 3333)."""

import uuid
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

from almondstack.core import (
    Clock,
    NullMetrics,
    Outcome,
    PartLogger,
    Reason,
    RequestError,
    encode_json,
)
from almondstack.dispatch import BufferedBody, Call, UpstreamAnswer, end_to_end_headers
from almondstack.entry.authentication import authorize
from almondstack.entry.problems import problem_body, problem_headers, status_line
from almondstack.entry.submission import parse_submission
from almondstack.fold import Fold
from almondstack.model import Queue

__all__ = ["Dispatching", "EntryApp"]

StartResponse = Callable[..., Any]

_log = PartLogger("entry")


class Dispatching(Protocol):
    """Runs admitted calls."""

    def submit(self, call: Call) -> UpstreamAnswer:
        """Run ``call`` on an upstream, or raise RequestError."""
        ...


class EntryApp:
    """Serves callers.

    Parameters
    ----------
    fold : Fold
        Knows the configuration.
    dispatching : Dispatching
        Runs admitted calls.
    clock : Clock
        Measures deadlines.
    metrics : NullMetrics
        Counts every outcome and every refusal reason.
    """

    __slots__ = ("_clock", "_dispatching", "_fold", "_is_ready", "_metrics")

    def __init__(
        self, fold: Fold, dispatching: Dispatching, clock: Clock, metrics: NullMetrics
    ) -> None:
        self._fold = fold
        self._dispatching = dispatching
        self._clock = clock
        self._metrics = metrics
        self._is_ready = True

    def stop_taking(self) -> None:
        """Refuse new work; what runs goes on."""
        self._is_ready = False

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        try:
            return self._route(environ, start_response)
        except RequestError as error:
            return self._refuse(error, start_response)

    def _route(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        parts = environ["PATH_INFO"].strip("/").split("/")
        if parts == ["livez"]:
            return _send_json(start_response, {"live": True})
        if parts == ["readyz"]:
            self._check_ready()
            return _send_json(start_response, {"ready": True})
        if parts == ["statusz"]:
            return _send_json(start_response, self._status())
        if method == "POST" and parts[:2] == ["v1", "queues"] and parts[3:] == ["requests"]:
            return self._submit(parts[2], environ, start_response)
        raise RequestError(Reason.PATH_UNKNOWN)

    def _check_ready(self) -> None:
        if not self._is_ready:
            raise RequestError(Reason.SHUTTING_DOWN)
        if self._fold.state.revision == 0:
            raise RequestError(Reason.NOT_READY)

    def _status(self) -> dict[str, Any]:
        state = self._fold.state
        return {
            "next_offset": self._fold.next_offset,
            "revision": state.revision,
            "counters": self._metrics.totals(),
        }

    def _submit(
        self, queue_name: str, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        self._check_ready()
        call = self._admit(queue_name, environ)
        answer = self._dispatching.submit(call)
        headers = [*answer.headers, ("Almondstack-Outcome", Outcome.ANSWERED.value)]
        start_response(status_line(answer.status), headers)
        self._metrics.count("outcome.answered")
        return _stream(answer)

    def _admit(self, queue_name: str, environ: dict[str, Any]) -> Call:
        state = self._fold.state
        queue = state.queues.get(queue_name)
        if queue is None:
            raise RequestError(Reason.QUEUE_UNKNOWN)
        headers = _request_headers(environ)
        by_name = {name.lower(): value for name, value in headers}
        team = authorize(state, queue, by_name.get("authorization", ""))
        submission = parse_submission(by_name, queue)
        return Call(
            call_id=submission.request_id or str(uuid.uuid4()),
            team=team,
            queue=queue,
            body=_read_body(environ, queue),
            deadline_s=self._clock.monotonic() + submission.deadline_ms / 1000,
            headers=end_to_end_headers(headers),
            is_idempotent=submission.is_idempotent,
            is_urgent=submission.is_urgent,
        )

    def _refuse(self, error: RequestError, start_response: StartResponse) -> Iterable[bytes]:
        self._metrics.count(f"refused.{error.reason.value}")
        self._metrics.count(f"outcome.{error.outcome.value}")
        body = problem_body(error)
        start_response(status_line(error.status), problem_headers(error, body))
        return [body]


def _request_headers(environ: dict[str, Any]) -> list[tuple[str, str]]:
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return headers


def _read_body(environ: dict[str, Any], queue: Queue) -> BufferedBody:
    data = environ["wsgi.input"].read(queue.max_body_bytes + 1)
    if len(data) > queue.max_body_bytes:
        raise RequestError(Reason.BODY_TOO_LARGE)
    return BufferedBody(data)


def _stream(answer: UpstreamAnswer) -> Iterator[bytes]:
    try:
        yield from answer.chunks()
    finally:
        answer.close()


def _send_json(start_response: StartResponse, value: Any) -> Iterable[bytes]:
    body = encode_json(value)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status_line(200), headers)
    return [body]
