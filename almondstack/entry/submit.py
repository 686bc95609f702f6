"""Handler of ``POST /v1/queues/{queue}/requests``: admits, runs or forwards a request.

Explanation
-----------
A request with a ticket of another entry is forwarded to that entry, since only the
issuer of a ticket may start its request.  Any other request runs here, after its
request id, if it has one, is held so that it runs at most once.
"""

import uuid
from collections.abc import Iterator

from almondstack.at_most_once import Hold, is_ticket, parse_ticket
from almondstack.core import Outcome, Reason, RequestError
from almondstack.dispatch import Body, Call, UpstreamResponse, end_to_end_headers
from almondstack.entry.forwarding import FORWARDED_HEADER
from almondstack.entry.http import HttpReply, HttpRequest
from almondstack.entry.parts import EntryParts, Handler
from almondstack.entry.submission import Submission, parse_submission
from almondstack.model import Queue, Team

__all__ = ["SubmitHandler", "queue_of"]


def queue_of(parts: EntryParts, name: str) -> Queue:
    """Return the queue ``name``.

    Raises
    ------
    RequestError
        There is no such queue.
    """
    queue = parts.fold.state.queues.get(name)
    if queue is None:
        raise RequestError(Reason.QUEUE_UNKNOWN)
    return queue


class SubmitHandler(Handler):
    """Admits a request, runs it and streams the response."""

    def handle(self, request: HttpRequest, queue_name: str) -> HttpReply:
        """Return the response to a submission.

        Raises
        ------
        RequestError
            No upstream answered; the outcome says whether it may have run.
        """
        parts = self._parts
        parts.check_ready()
        queue = queue_of(parts, queue_name)
        authorization = request.header("authorization")
        team = parts.authenticator.authorize(queue, authorization)
        self._check_strict(queue, team)
        submission = parse_submission(request, queue)
        deadline_s = parts.clock.monotonic() + submission.deadline_ms / 1000
        body = self._load_body(request, queue, submission)
        issuer = self._other_issuer(submission)
        if issuer is not None:
            return self._forward(request, body, issuer, submission)
        call = self._make_call(request, queue, team, body, submission, deadline_s)
        hold = parts.once.hold(team.name, submission.request_id, submission.is_idempotent)
        return self._run(request, call, hold, submission)

    def _check_strict(self, queue: Queue, team: Team) -> None:
        """Refuse a request of a strict queue or team while this entry is cut off."""
        if (queue.is_strict or team.is_strict) and self._parts.connectivity.is_cut_off:
            raise RequestError(Reason.CUT_OFF_STRICT)

    def _load_body(self, request: HttpRequest, queue: Queue, submission: Submission) -> Body:
        limit_s = submission.deadline_ms / 1000
        with self._parts.reaper.time_limit(request.socket, limit_s):
            return request.body.load(queue.max_body_bytes)

    def _other_issuer(self, submission: Submission) -> str | None:
        """Return the incarnation that issued the ticket, or None if none or this one did."""
        if submission.request_id is None or not is_ticket(submission.request_id):
            return None
        incarnation = parse_ticket(submission.request_id).incarnation
        return None if incarnation == self._parts.incarnation else incarnation

    def _forward(
        self, request: HttpRequest, body: Body, issuer: str, submission: Submission
    ) -> HttpReply:
        """Forward a request to the issuer of its ticket; never forward it a second time."""
        entry = self._parts.fold.state.entries.get(issuer)
        if entry is None or not entry.is_live or request.header(FORWARDED_HEADER):
            raise RequestError(Reason.TICKET_HOLDER_GONE)
        self._parts.metrics.count("forwarded.ticket")
        timeout_s = submission.deadline_ms / 1000
        return self._parts.forwarder.forward(request, body, entry.address, timeout_s)

    def _make_call(
        self,
        request: HttpRequest,
        queue: Queue,
        team: Team,
        body: Body,
        submission: Submission,
        deadline_s: float,
    ) -> Call:
        authorization = request.header("authorization")
        return Call(
            call_id=str(uuid.uuid4()),
            team=team,
            queue=queue,
            body=body,
            deadline_s=deadline_s,
            headers=end_to_end_headers(request.headers),
            is_idempotent=submission.is_idempotent,
            is_urgent=submission.is_urgent,
            before_start=lambda: self._check_start(queue, authorization),
        )

    def _check_start(self, queue: Queue, authorization: str) -> None:
        """Check again, just before the start, what may have changed while the call waited."""
        if self._parts.is_fenced or not self._parts.connectivity.is_start_allowed:
            raise RequestError(Reason.FENCED)
        self._parts.authenticator.authorize(queue, authorization)

    def _run(
        self, request: HttpRequest, call: Call, hold: Hold, submission: Submission
    ) -> HttpReply:
        parts = self._parts
        with parts.calls.registered(call, submission.request_id):
            try:
                with parts.hangups.watching(request.socket, lambda: self._abandon(call)):
                    response = parts.dispatcher.submit(call)
            except RequestError as error:
                self._end_hold(hold, error.outcome)
                parts.calls.mark_ended()
                raise
            except BaseException:
                hold.finish()
                parts.calls.mark_ended()
                raise
        hold.finish()
        return self._reply(call, response)

    def _abandon(self, call: Call) -> None:
        call.caller_gone.set()
        self._parts.dispatcher.abandon(call)

    @staticmethod
    def _end_hold(hold: Hold, outcome: Outcome) -> None:
        """Release the request id if the request has not run; keep it claimed otherwise."""
        if outcome is Outcome.NOT_RUN:
            hold.release()
        else:
            hold.finish()

    def _reply(self, call: Call, response: UpstreamResponse) -> HttpReply:
        self._parts.metrics.count("outcome.answered")
        headers = [*response.headers, ("Almondstack-Outcome", Outcome.ANSWERED.value)]
        if response.length is not None:
            headers.append(("Content-Length", str(response.length)))
        return HttpReply(response.status, headers, _ResponseStream(self._parts, response))


class _ResponseStream:
    """Streams a response and releases its resources, even if the stream is aborted."""

    __slots__ = ("_chunks", "_is_closed", "_parts", "_response")

    def __init__(self, parts: EntryParts, response: UpstreamResponse) -> None:
        self._parts = parts
        self._response = response
        self._chunks = response.chunks()
        self._is_closed = False

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        """Close the response after its last byte was written or the stream was aborted."""
        if self._is_closed:
            return
        self._is_closed = True
        self._response.close()
        self._parts.calls.mark_ended()
