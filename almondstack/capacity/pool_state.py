"""Pools with their instances and their demand, and how many instances they want."""

import math

from almondstack.capacity.demand import PoolNeed
from almondstack.capacity.target_hold import HeldNeed

__all__ = [
    "HEADROOM",
    "MIN_INSTANCES",
    "Candidate",
    "PoolState",
    "large_excess_limit",
    "wanted_instances",
]

HEADROOM = 1.15
"""Factor of capacity over demand, since tasks don't fill instances evenly."""

MIN_INSTANCES = 2
"""Instances of a pool without demand: they serve the first second of a burst and one may fail."""

LARGE_EXCESS_FACTOR = 1.5
"""A pool has a large excess if it has more than this multiple of the instances it wants."""

_SHARE_ROUNDING = 1e-6
"""Shares of instances are fractions such as a third, whose sum may exceed a whole number a bit."""


class Candidate:
    """An instance that may be moved.

    Parameters
    ----------
    name : str
        Name of the instance.
    size_millis : int
        Its capacity in thousandths of a core.
    used_millis : int
        Demand of the tasks on it, in thousandths of a core.
    long_running_tasks : int
        Tasks on it that run until they are cancelled.
    ends_in_s : float
        Time until the last of its other runs should have ended, in seconds; known only while
        the fleet is short.
    is_draining : bool
        It gets no new tasks, as an earlier round has planned a move of it.
    """

    __slots__ = (
        "ends_in_s",
        "is_draining",
        "long_running_tasks",
        "name",
        "size_millis",
        "used_millis",
    )

    def __init__(
        self,
        name: str,
        size_millis: int,
        used_millis: int = 0,
        long_running_tasks: int = 0,
        ends_in_s: float = 0.0,
        is_draining: bool = False,
    ) -> None:
        self.name = name
        self.size_millis = size_millis
        self.used_millis = used_millis
        self.long_running_tasks = long_running_tasks
        self.ends_in_s = ends_in_s
        self.is_draining = is_draining


class PoolState:
    """A pool with its instances and its demand.

    Parameters
    ----------
    name : str
        Name of the pool.
    need : PoolNeed
        Its present demand.
    candidates : list of Candidate
        Its usable instances without a planned move or maintenance.
    coming : int
        Instances that are being moved to it, or whose worker has yet to register.
    excess_since_s : float or None
        Monotonic time in seconds since which it has had more instances than it
        wants; None if it does not.
    large_excess_since_s : float or None
        Monotonic time in seconds since which it has had more instances than
        :func:`large_excess_limit`; None if it does not.

    Attributes
    ----------
    held : HeldNeed or None
        Instances that it has needed for a moment while the fleet is short.
    """

    __slots__ = (
        "candidates",
        "coming",
        "excess_since_s",
        "held",
        "large_excess_since_s",
        "name",
        "need",
    )

    def __init__(
        self,
        name: str,
        need: PoolNeed,
        candidates: list[Candidate],
        coming: int = 0,
        excess_since_s: float | None = None,
        large_excess_since_s: float | None = None,
    ) -> None:
        self.name = name
        self.need = need
        self.candidates = candidates
        self.coming = coming
        self.excess_since_s = excess_since_s
        self.large_excess_since_s = large_excess_since_s
        self.held: HeldNeed | None = None

    @property
    def size(self) -> int:
        """Number of its instances, including ``coming``."""
        return len(self.candidates) + self.coming


def large_excess_limit(wanted: int) -> int:
    """Return the number of instances beyond which a pool that wants ``wanted`` has a large excess.

    Examples
    --------
    >>> large_excess_limit(2), large_excess_limit(40)
    (3, 60)
    """
    return math.ceil(LARGE_EXCESS_FACTOR * wanted)


def wanted_instances(state: PoolState, size_millis: int) -> int:
    """Return how many instances a pool should have, each of ``size_millis`` thousandths of a core.

    Explanation
    -----------
    The scarcest resource decides: processor time with some headroom, or whole instances for
    the memory and the accelerators of the present tasks.

    Examples
    --------
    >>> wanted_instances(PoolState("a", PoolNeed(2_000, 60_000, 20_000), []), 16_000)
    6
    >>> wanted_instances(PoolState("a", PoolNeed(), []), 16_000)
    2
    >>> wanted_instances(PoolState("a", PoolNeed(filled_instances=4.5), []), 16_000)
    5
    """
    millis = HEADROOM * state.need.total_millis
    filled = math.ceil(state.need.filled_instances - _SHARE_ROUNDING)
    least = max(MIN_INSTANCES, state.need.min_instances, filled)
    return max(least, math.ceil(millis / max(1, size_millis)))
