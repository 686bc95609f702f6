"""Whether a process keeps up with the store well enough to take callers."""

from typing import Protocol

__all__ = ["StoreFollower", "is_current"]

_MARGIN_S = 0.2
"""A process that is behind the store for so much longer than its reads are apart sends callers
elsewhere, in seconds; the balancer needs two seconds more to notice."""

_AFTER_FAILURE_S = 0.6
"""One whose last read of the store failed does so after this time, in seconds."""


class StoreFollower(Protocol):
    """What is asked of the follower of the store."""

    @property
    def has_failed(self) -> bool:
        """Whether the last read failed."""
        ...

    @property
    def lag_s(self) -> float:
        """Seconds since the process last knew all that the store held."""
        ...

    @property
    def read_gap_s(self) -> float:
        """How long it may be between two answers of a store that is well, in seconds."""
        ...


def is_current(follower: StoreFollower, answer_s: float) -> bool:
    """Whether a process hears the store and has caught up with it.

    Explanation
    -----------
    One that is turned away, cut off or far behind would refuse most callers, whom
    another process could serve.

    Parameters
    ----------
    follower : StoreFollower
        Follows the store.
    answer_s : float
        How long the slowest answer of the last seconds took; 0 unless the store is slow.
    """
    if follower.has_failed:
        return follower.lag_s < _AFTER_FAILURE_S + answer_s
    return follower.lag_s < follower.read_gap_s + _MARGIN_S
