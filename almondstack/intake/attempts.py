"""Attempts to hand jobs in: which of them may still be stored."""

import threading

__all__ = ["UnsettledAttempts"]

_MOST_JOBS = 4_096
"""Jobs of which unsettled attempts are kept; the oldest are forgotten first."""


class UnsettledAttempts:
    """Counts the attempts of this process that are under way or ended without an answer.

    Examples
    --------
    >>> attempts = UnsettledAttempts()
    >>> attempts.begin("j")
    >>> attempts.is_open("j")
    True
    >>> attempts.settle("j")
    >>> attempts.is_open("j")
    False
    """

    __slots__ = ("_counts", "_lock")

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def begin(self, job: str) -> None:
        """Count an attempt that may be stored from now on."""
        with self._lock:
            self._counts[job] = self._counts.pop(job, 0) + 1
            if len(self._counts) > _MOST_JOBS:
                del self._counts[next(iter(self._counts))]

    def settle(self, job: str) -> None:
        """Take back one attempt, which is known not to be stored."""
        with self._lock:
            left = self._counts.get(job, 0) - 1
            if left > 0:
                self._counts[job] = left
            else:
                self._counts.pop(job, None)

    def close(self, job: str) -> None:
        """Forget all attempts of a job: it is stored, or they are fenced."""
        with self._lock:
            self._counts.pop(job, None)

    def is_open(self, job: str) -> bool:
        """Whether some attempt of the job may be stored, now or later."""
        with self._lock:
            return job in self._counts
