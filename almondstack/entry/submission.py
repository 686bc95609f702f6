"""Reads a submission from its headers."""

import msgspec

from almondstack.core import Reason, RequestError
from almondstack.model import Queue

__all__ = ["Submission", "parse_submission"]

_MOST_DEADLINE_MS = 86_400_000


class Submission(msgspec.Struct, frozen=True):
    """What the caller asked for besides the work itself.

    Parameters
    ----------
    request_id : str or None
        Value of ``Idempotency-Key``.
    is_idempotent, is_urgent : bool
        Values of ``Almondstack-Idempotent`` and ``Almondstack-Urgent``.
    deadline_ms : int
        Milliseconds from the receipt.
    """

    request_id: str | None
    is_idempotent: bool
    is_urgent: bool
    deadline_ms: int


def parse_submission(headers: dict[str, str], queue: Queue) -> Submission:
    """Read the product's headers; names are in lower case.

    Raises
    ------
    RequestError
        A header has a value that is not allowed.
    """
    return Submission(
        request_id=headers.get("idempotency-key") or None,
        is_idempotent=_flag(headers, "almondstack-idempotent"),
        is_urgent=_flag(headers, "almondstack-urgent"),
        deadline_ms=_deadline_ms(headers, queue),
    )


def _flag(headers: dict[str, str], name: str) -> bool:
    value = headers.get(name, "no").strip().lower()
    if value not in ("yes", "no"):
        raise RequestError(Reason.BAD_HEADER, f"{name} must be yes or no")
    return value == "yes"


def _deadline_ms(headers: dict[str, str], queue: Queue) -> int:
    name = "almondstack-deadline-ms"
    value = headers.get(name)
    if value is None:
        return queue.default_deadline_ms
    if not (value.isascii() and value.isdigit()) or not 0 < int(value) <= _MOST_DEADLINE_MS:
        raise RequestError(Reason.BAD_HEADER, f"{name} must be from 1 to {_MOST_DEADLINE_MS}")
    return int(value)
