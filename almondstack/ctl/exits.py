"""Exit codes of ``almondctl``; docs/operators.md lists them."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """What one run of ``almondctl`` came to."""

    OK = 0
    FAULTS = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_CONFIRMED = 5
    NOT_FOUND = 6
