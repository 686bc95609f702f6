"""What became of a caller's request."""

from enum import StrEnum
from typing import NamedTuple, Protocol

__all__ = ["Receipt", "Verdict", "repeat_verdict"]


class Verdict(StrEnum):
    """What became of a caller's request."""

    DONE = "done"
    KNOWN = "known"
    FULL = "full"
    UNKNOWN_JOB = "unknown-job"
    CONFLICT = "conflict"
    NOT_STORED = "not-stored"
    UNCLEAR = "unclear"


class Receipt(NamedTuple):
    """A verdict and, where a job was refused, by how much it would have been late."""

    verdict: Verdict
    late_ms: float = 0.0


class _OfAccount(Protocol):
    """Something that belongs to a queue and a client account."""

    @property
    def queue(self) -> str: ...

    @property
    def account(self) -> str: ...


def repeat_verdict(asked: _OfAccount, stored: _OfAccount) -> Verdict:
    """Return what a caller hears who hands in an id that is stored already."""
    is_same = (asked.queue, asked.account) == (stored.queue, stored.account)
    return Verdict.KNOWN if is_same else Verdict.CONFLICT
