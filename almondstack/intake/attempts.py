"""Keeps track of submission attempts that may still be stored."""

import threading

__all__ = ["UnresolvedAttempts"]

_MAX_JOBS = 4_096
"""Limit on the jobs whose attempts are tracked; the oldest are evicted first."""


class UnresolvedAttempts:
    """Counts the attempts of this process, by job, that are under way or got no answer.

    Examples
    --------
    >>> attempts = UnresolvedAttempts()
    >>> attempts.begin("j")
    >>> attempts.may_be_stored("j")
    True
    >>> attempts.discard("j")
    >>> attempts.may_be_stored("j")
    False
    """

    __slots__ = ("_counts", "_lock")

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._lock = threading.Lock()

    def begin(self, job: str) -> None:
        """Add an attempt, which may be stored from now on."""
        with self._lock:
            self._counts[job] = self._counts.pop(job, 0) + 1
            if len(self._counts) > _MAX_JOBS:
                del self._counts[next(iter(self._counts))]

    def discard(self, job: str) -> None:
        """Remove one attempt, which is known not to be stored now or later."""
        with self._lock:
            left = self._counts.get(job, 0) - 1
            if left > 0:
                self._counts[job] = left
            else:
                self._counts.pop(job, None)

    def clear(self, job: str) -> None:
        """Remove all attempts of a job, because it is stored or they are fenced."""
        with self._lock:
            self._counts.pop(job, None)

    def may_be_stored(self, job: str) -> bool:
        """Whether some attempt of the job may be stored already, or may be later."""
        with self._lock:
            return job in self._counts
