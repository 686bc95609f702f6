"""Parses the product's headers of a submitted request."""

import msgspec

from almondstack.core import Reason, RequestError
from almondstack.entry.http import HttpRequest
from almondstack.model import Queue

__all__ = ["Submission", "parse_submission"]

_MAX_DEADLINE_MS = 86_400_000
_MAX_ID_CHARACTERS = 512


class Submission(msgspec.Struct, frozen=True):
    """Options of a submitted request.

    Parameters
    ----------
    request_id : str or None
        Value of ``Idempotency-Key``: a UUIDv7 or a ticket.
    is_idempotent, is_urgent : bool
        Values of ``Almondstack-Idempotent`` and ``Almondstack-Urgent``.
    deadline_ms : int
        Deadline in milliseconds from the receipt.
    """

    request_id: str | None
    is_idempotent: bool
    is_urgent: bool
    deadline_ms: int


def parse_submission(request: HttpRequest, queue: Queue) -> Submission:
    """Parse the headers of a submission to ``queue``.

    Raises
    ------
    RequestError
        A header has a value that is not allowed.
    """
    request_id = request.header("idempotency-key").strip()
    if len(request_id) > _MAX_ID_CHARACTERS:
        raise RequestError(Reason.ID_MALFORMED)
    return Submission(
        request_id=request_id or None,
        is_idempotent=_flag(request, "almondstack-idempotent"),
        is_urgent=_flag(request, "almondstack-urgent"),
        deadline_ms=_deadline_ms(request, queue),
    )


def _flag(request: HttpRequest, name: str) -> bool:
    value = request.header(name, "no").lower()
    if value not in ("yes", "no"):
        raise RequestError(Reason.BAD_HEADER, f"{name} must be yes or no")
    return value == "yes"


def _deadline_ms(request: HttpRequest, queue: Queue) -> int:
    name = "almondstack-deadline-ms"
    value = request.header(name)
    if not value:
        return queue.default_deadline_ms
    if not (value.isascii() and value.isdigit()) or not 0 < int(value[:10]) <= _MAX_DEADLINE_MS:
        raise RequestError(Reason.BAD_HEADER, f"{name} must be from 1 to {_MAX_DEADLINE_MS}")
    return int(value[:10])
