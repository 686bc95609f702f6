"""Decides whether a process reads the store promptly enough to accept callers' requests."""

from typing import Protocol

__all__ = ["StoreFollower", "is_current"]

_MAX_EXTRA_LAG_S = 0.2
"""A process whose lag behind the store exceeds its read interval by this much reports that it is
not ready, in seconds.  The load balancer takes two more seconds to notice."""

_MAX_LAG_AFTER_FAILURE_S = 0.6
"""Longest lag of a ready process whose last read of the store failed, in seconds."""


class StoreFollower(Protocol):
    """The state of the store's follower that readiness depends on."""

    @property
    def has_failed(self) -> bool:
        """Whether the last read failed."""
        ...

    @property
    def lag_s(self) -> float:
        """Seconds since the process last had read all records of the store."""
        ...

    @property
    def read_gap_s(self) -> float:
        """Longest time between two answers of a healthy store, in seconds."""
        ...


def is_current(follower: StoreFollower, answer_s: float) -> bool:
    """Return whether a process reaches the store and has caught up with it.

    Explanation
    -----------
    A process that is rate-limited by the store, cut off from it or far behind would
    reject most requests, which another process could serve.

    Parameters
    ----------
    follower : StoreFollower
        Follower of the store.
    answer_s : float
        Duration of the store's slowest recent answer, in seconds; 0 unless the store is slow.
    """
    if follower.has_failed:
        return follower.lag_s < _MAX_LAG_AFTER_FAILURE_S + answer_s
    return follower.lag_s < follower.read_gap_s + _MAX_EXTRA_LAG_S
