"""Plans moves of instances between pools."""

import math

from almondstack.capacity.demand import PoolNeed

__all__ = [
    "Candidate",
    "Move",
    "PoolState",
    "large_excess_limit",
    "plan_moves",
    "wanted_instances",
]


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
    """

    __slots__ = ("long_running_tasks", "name", "size_millis", "used_millis")

    def __init__(
        self, name: str, size_millis: int, used_millis: int = 0, long_running_tasks: int = 0
    ) -> None:
        self.name = name
        self.size_millis = size_millis
        self.used_millis = used_millis
        self.long_running_tasks = long_running_tasks


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
    """

    __slots__ = ("candidates", "coming", "excess_since_s", "large_excess_since_s", "name", "need")

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

    @property
    def size(self) -> int:
        """Number of its instances, including ``coming``."""
        return len(self.candidates) + self.coming


class Move:
    """A planned move of an instance from one pool to another."""

    __slots__ = ("instance", "source", "target")

    def __init__(self, instance: str, source: str, target: str) -> None:
        self.instance = instance
        self.source = source
        self.target = target


HEADROOM = 1.15
"""Factor of capacity over demand, since tasks don't fill instances evenly."""

MIN_INSTANCES = 2
"""Instances of a pool without demand: they serve the first second of a burst and one may fail."""

EXCESS_HOLD_S = 2.5
"""Time for which a pool must have an excess before it gives instances to the spare pool: moving
an instance away and back costs about as much as two seconds of the instance."""

LARGE_EXCESS_FACTOR = 1.5
"""A pool has a large excess if it has more than this multiple of the instances it wants."""

LARGE_EXCESS_HOLD_S = 0.8
"""Time after which a pool gives away its instances beyond the large-excess limit; shorter than
``EXCESS_HOLD_S`` because demand is unlikely to return to that size."""


_SHARE_ROUNDING = 1e-6
"""Shares of instances are fractions such as a third, whose sum may exceed a whole number a bit."""


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


def plan_moves(
    pools: list[PoolState],
    spares: list[Candidate],
    spare_pool: str,
    size_millis: int,
    now_s: float,
    max_to_spare: int = 1_000,
) -> list[Move]:
    """Return the moves that bring pools closer to their target sizes.

    Explanation
    -----------
    Pools that lack instances get them from the spare pool first, since nothing runs
    there, then at once from pools with an excess.  Instances that no pool lacks go to
    the spare pool once their pool has had an excess for ``EXCESS_HOLD_S``; those beyond
    :func:`large_excess_limit` already after ``LARGE_EXCESS_HOLD_S``.  Late work holds
    instances back from the spare pool, but no instances are moved in for it.
    Instances with long-running tasks are not moved.

    Parameters
    ----------
    pools : list of PoolState
        All pools that are paid for; the spare pool is not among them.
    spares : list of Candidate
        Instances of the spare pool; those that are moved are removed from the list.
    spare_pool : str
        Name of the spare pool, or empty if there is none.
    size_millis : int
        Capacity of an instance in thousandths of a core.
    now_s : float
        Monotonic time in seconds.
    max_to_spare : int
        Bound on the moves to the spare pool.
    """
    targets = _targets(pools, len(spares), size_millis)
    moves: list[Move] = []
    donors = _donors(pools, targets)
    for pool in sorted(pools, key=lambda pool: pool.size - targets[pool.name]):
        for _ in range(targets[pool.name] - pool.size):
            move = _take(spares, spare_pool, pool.name) or _take_from(donors, pool.name)
            if move is not None:
                moves.append(move)
    if spare_pool:
        to_spares = _to_spares(pools, donors, size_millis, spare_pool, now_s)
        moves.extend(to_spares[: max(0, max_to_spare)])
    return moves


def _targets(pools: list[PoolState], spare: int, size_millis: int) -> dict[str, int]:
    """Return the target size of each pool.

    Explanation
    -----------
    In a shortage, each pool gets ``MIN_INSTANCES`` and an equal proportion of its demand
    beyond that.  If there are too few instances even for the minimum, nothing is reduced.
    """
    wanted = {pool.name: wanted_instances(pool, size_millis) for pool in pools}
    total = spare + sum(pool.size for pool in pools)
    wanted_above_min = sum(wanted.values()) - MIN_INSTANCES * len(pools)
    left = total - MIN_INSTANCES * len(pools)
    if wanted_above_min <= left or left <= 0:
        return wanted
    return {
        name: MIN_INSTANCES + math.floor((count - MIN_INSTANCES) * left / wanted_above_min)
        for name, count in wanted.items()
    }


def _donors(pools: list[PoolState], targets: dict[str, int]) -> list[tuple[str, Candidate]]:
    """Return the movable excess instances with the names of their pools, emptiest first."""
    donors: list[tuple[str, Candidate]] = []
    for pool in pools:
        excess = pool.size - targets[pool.name]
        free = [candidate for candidate in pool.candidates if not candidate.long_running_tasks]
        free.sort(key=lambda candidate: candidate.used_millis)
        donors.extend((pool.name, candidate) for candidate in free[: max(0, excess)])
    donors.sort(key=lambda donor: donor[1].used_millis)
    return donors


def _to_spares(
    pools: list[PoolState],
    donors: list[tuple[str, Candidate]],
    size_millis: int,
    spare_pool: str,
    now_s: float,
) -> list[Move]:
    late = {pool.name: math.ceil(pool.need.late_millis / size_millis) for pool in pools}
    moves = []
    for pool in pools:
        own = [candidate for source, candidate in donors if source == pool.name]
        spared = min(len(own) - late[pool.name], _releasable(pool, size_millis, now_s))
        for candidate in own[: max(0, spared)]:
            moves.append(Move(candidate.name, pool.name, spare_pool))
    return moves


def _releasable(pool: PoolState, size_millis: int, now_s: float) -> int:
    """Return the maximum number of instances that a pool may give to the spare pool now."""
    if pool.excess_since_s is not None and now_s - pool.excess_since_s >= EXCESS_HOLD_S:
        return pool.size
    if (
        pool.large_excess_since_s is not None
        and now_s - pool.large_excess_since_s >= LARGE_EXCESS_HOLD_S
    ):
        return pool.size - large_excess_limit(wanted_instances(pool, size_millis))
    return 0


def _take(spares: list[Candidate], source: str, target: str) -> Move | None:
    return Move(spares.pop(0).name, source, target) if spares else None


def _take_from(donors: list[tuple[str, Candidate]], target: str) -> Move | None:
    if not donors:
        return None
    source, candidate = donors.pop(0)
    return Move(candidate.name, source, target)
