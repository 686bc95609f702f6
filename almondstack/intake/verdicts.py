"""What became of a caller's wish."""

from enum import StrEnum

__all__ = ["Verdict"]


class Verdict(StrEnum):
    """What became of a caller's wish."""

    DONE = "done"
    KNOWN = "known"
    FULL = "full"
    UNKNOWN_JOB = "unknown-job"
    CONFLICT = "conflict"
    NOT_STORED = "not-stored"
    UNCLEAR = "unclear"
