"""Verdicts and receipts for callers' requests."""

from enum import StrEnum
from typing import NamedTuple, Protocol

__all__ = ["Receipt", "Verdict", "repeat_verdict"]


class Verdict(StrEnum):
    """Outcome of a caller's request."""

    DONE = "done"
    KNOWN = "known"
    FULL = "full"
    UNKNOWN_JOB = "unknown-job"
    CONFLICT = "conflict"
    NOT_STORED = "not-stored"
    UNCLEAR = "unclear"


class Receipt(NamedTuple):
    """A verdict and, for a refused job, what its caller is told.

    Parameters
    ----------
    verdict : Verdict
        Outcome of the request.
    late_ms : float
        By how much the job would have ended too late, in milliseconds.
    retry_s : int
        Seconds after which the caller should return; 0 if the owner has set no time.
    """

    verdict: Verdict
    late_ms: float = 0.0
    retry_s: int = 0


class _HasAccount(Protocol):
    """A job or submission, with its queue and client account."""

    @property
    def queue(self) -> str: ...

    @property
    def account(self) -> str: ...


def repeat_verdict(asked: _HasAccount, stored: _HasAccount) -> Verdict:
    """Return the verdict for a submission whose job id is stored already."""
    is_same = (asked.queue, asked.account) == (stored.queue, stored.account)
    return Verdict.KNOWN if is_same else Verdict.CONFLICT
