"""Codes of the reasons for which a request is refused, ended or retried.

Explanation
-----------
A reason is part of the callers' interface: its code is sent in the
``Almondstack-Reason`` header and counted in its own metric.  ``docs/reasons.md``
lists the same table, and a test compares the two.

See Also
--------
almondstack.core.errors : the exceptions that carry a reason.
"""

from enum import StrEnum

import msgspec

__all__ = ["Outcome", "Reason", "ReasonInfo", "RetryReason", "reason_info"]


class Outcome(StrEnum):
    """Whether a request that has ended was run."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request was not answered by an upstream."""

    BAD_REQUEST = "bad-request"
    BAD_HEADER = "bad-header"
    BODY_TOO_LARGE = "body-too-large"
    BODY_INCOMPLETE = "body-incomplete"
    ID_MALFORMED = "id-malformed"
    ID_TOO_OLD = "id-too-old"
    ID_IN_FUTURE = "id-in-future"
    ID_CLAIMED = "id-claimed"
    ID_NOT_FOUND = "id-not-found"
    ALREADY_STARTED = "already-started"
    TICKET_FOREIGN = "ticket-foreign"
    TICKET_HOLDER_GONE = "ticket-holder-gone"
    TICKET_HOLDER_UNREACHABLE = "ticket-holder-unreachable"
    CLAIMS_UNAVAILABLE = "claims-unavailable"
    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_REVOKED = "key-revoked"
    TEAM_NOT_ALLOWED = "team-not-allowed"
    QUEUE_UNKNOWN = "queue-unknown"
    PATH_UNKNOWN = "path-unknown"
    RATE_LIMITED = "rate-limited"
    QUEUE_FULL = "queue-full"
    TEAM_QUEUE_FULL = "team-queue-full"
    CEILING_ZERO = "ceiling-zero"
    WAIT_EXCEEDS_DEADLINE = "wait-exceeds-deadline"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    CALLER_GONE = "caller-gone"
    NO_UPSTREAM = "no-upstream"
    UPSTREAMS_FAILING = "upstreams-failing"
    REQUEST_FAILING = "request-failing"
    UPSTREAM_OVERLOADED = "upstream-overloaded"
    UPSTREAM_BROKE = "upstream-broke"
    UPSTREAM_TIMEOUT = "upstream-timeout"
    UPSTREAM_GARBAGE = "upstream-garbage"
    RETRIES_EXHAUSTED = "retries-exhausted"
    CUT_OFF_STRICT = "cut-off-strict"
    NOT_READY = "not-ready"
    SHUTTING_DOWN = "shutting-down"
    FENCED = "fenced"
    TOO_MANY_CONNECTIONS = "too-many-connections"
    INTERNAL = "internal"


class RetryReason(StrEnum):
    """Why a request was sent to another upstream."""

    CONNECT_FAILED = "connect-failed"
    SEND_NOT_STARTED = "send-not-started"
    IDEMPOTENT_BROKE = "idempotent-broke"
    IDEMPOTENT_TIMEOUT = "idempotent-timeout"
    UPSTREAM_DRAINING = "upstream-draining"


class ReasonInfo(msgspec.Struct, frozen=True):
    """The response that a caller gets for one reason.

    Parameters
    ----------
    status : int
        HTTP status (RFC 9110).
    outcome : Outcome
        Default outcome; an error can carry a more exact one.
    title : str
        One short sentence for people.
    retry_after_s : int or None
        Value of ``Retry-After`` in seconds, where a retry can succeed.
    """

    status: int
    outcome: Outcome
    title: str
    retry_after_s: int | None = None


_NOT_RUN = Outcome.NOT_RUN
_UNKNOWN = Outcome.UNKNOWN

_INFO: dict[Reason, ReasonInfo] = {
    Reason.BAD_REQUEST: ReasonInfo(400, _NOT_RUN, "The request is malformed."),
    Reason.BAD_HEADER: ReasonInfo(400, _NOT_RUN, "A header has a value that is not allowed."),
    Reason.BODY_TOO_LARGE: ReasonInfo(413, _NOT_RUN, "The body is larger than the queue allows."),
    Reason.BODY_INCOMPLETE: ReasonInfo(400, _NOT_RUN, "The body ended before its declared length."),
    Reason.ID_MALFORMED: ReasonInfo(
        422, _NOT_RUN, "The idempotency key is no UUIDv7 and no ticket."
    ),
    Reason.ID_TOO_OLD: ReasonInfo(
        422, _NOT_RUN, "The idempotency key is older than remembered claims."
    ),
    Reason.ID_IN_FUTURE: ReasonInfo(422, _NOT_RUN, "The idempotency key lies in the future."),
    Reason.ID_CLAIMED: ReasonInfo(409, _UNKNOWN, "The idempotency key was claimed before."),
    Reason.ID_NOT_FOUND: ReasonInfo(404, _UNKNOWN, "No waiting request has this idempotency key."),
    Reason.ALREADY_STARTED: ReasonInfo(409, _UNKNOWN, "The request has started."),
    Reason.TICKET_FOREIGN: ReasonInfo(403, _NOT_RUN, "The ticket belongs to another team."),
    Reason.TICKET_HOLDER_GONE: ReasonInfo(
        502, _UNKNOWN, "The entry that issued the ticket is gone."
    ),
    Reason.TICKET_HOLDER_UNREACHABLE: ReasonInfo(
        502, _UNKNOWN, "The entry that issued the ticket did not answer.", 2
    ),
    Reason.CLAIMS_UNAVAILABLE: ReasonInfo(
        503, _NOT_RUN, "The log cannot take the claim; use a ticket.", 5
    ),
    Reason.KEY_MISSING: ReasonInfo(401, _NOT_RUN, "The queue needs a key."),
    Reason.KEY_UNKNOWN: ReasonInfo(401, _NOT_RUN, "The key is not known."),
    Reason.KEY_REVOKED: ReasonInfo(401, _NOT_RUN, "The key was revoked."),
    Reason.TEAM_NOT_ALLOWED: ReasonInfo(403, _NOT_RUN, "The team may not use this queue."),
    Reason.QUEUE_UNKNOWN: ReasonInfo(404, _NOT_RUN, "There is no such queue."),
    Reason.PATH_UNKNOWN: ReasonInfo(404, _NOT_RUN, "There is nothing at this path."),
    Reason.RATE_LIMITED: ReasonInfo(429, _NOT_RUN, "The team is above its rate limit.", 1),
    Reason.QUEUE_FULL: ReasonInfo(503, _NOT_RUN, "The queue is full.", 2),
    Reason.TEAM_QUEUE_FULL: ReasonInfo(429, _NOT_RUN, "The team has too many requests waiting.", 2),
    Reason.CEILING_ZERO: ReasonInfo(429, _NOT_RUN, "The team's ceiling admits no work.", 30),
    Reason.WAIT_EXCEEDS_DEADLINE: ReasonInfo(
        503, _NOT_RUN, "The expected wait is longer than the deadline.", 2
    ),
    Reason.DEADLINE_PASSED: ReasonInfo(504, _NOT_RUN, "The deadline passed before the start."),
    Reason.CANCELLED: ReasonInfo(409, _NOT_RUN, "The request was cancelled before its start."),
    Reason.CALLER_GONE: ReasonInfo(400, _NOT_RUN, "The caller hung up before the start."),
    Reason.NO_UPSTREAM: ReasonInfo(503, _NOT_RUN, "The pool has no upstream that takes work.", 2),
    Reason.UPSTREAMS_FAILING: ReasonInfo(
        503, _NOT_RUN, "Every upstream of the pool refuses connections.", 2
    ),
    Reason.REQUEST_FAILING: ReasonInfo(
        502, _UNKNOWN, "The request failed on several upstreams in different racks."
    ),
    Reason.UPSTREAM_OVERLOADED: ReasonInfo(503, _UNKNOWN, "The upstream is overloaded.", 5),
    Reason.UPSTREAM_BROKE: ReasonInfo(502, _UNKNOWN, "The upstream broke off after the send."),
    Reason.UPSTREAM_TIMEOUT: ReasonInfo(504, _UNKNOWN, "The upstream did not answer in time."),
    Reason.UPSTREAM_GARBAGE: ReasonInfo(502, _UNKNOWN, "The upstream's answer is malformed."),
    Reason.RETRIES_EXHAUSTED: ReasonInfo(503, _NOT_RUN, "The retry budget is spent.", 2),
    Reason.CUT_OFF_STRICT: ReasonInfo(
        503, _NOT_RUN, "The zone is cut off and the team or queue is strict.", 5
    ),
    Reason.NOT_READY: ReasonInfo(503, _NOT_RUN, "The entry has no configuration yet.", 1),
    Reason.SHUTTING_DOWN: ReasonInfo(503, _NOT_RUN, "The entry is shutting down.", 1),
    Reason.FENCED: ReasonInfo(503, _NOT_RUN, "The entry was fenced and joins again.", 1),
    Reason.TOO_MANY_CONNECTIONS: ReasonInfo(503, _NOT_RUN, "The entry has no free thread.", 1),
    Reason.INTERNAL: ReasonInfo(500, _UNKNOWN, "The entry failed."),
}


def reason_info(reason: Reason) -> ReasonInfo:
    """Return status, outcome and title of ``reason``.

    Examples
    --------
    >>> from almondstack.core import Reason, reason_info
    >>> reason_info(Reason.KEY_REVOKED).status
    401
    """
    return _INFO[reason]
