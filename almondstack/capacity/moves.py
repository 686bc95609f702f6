"""Which instances go to which pool."""

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
        The instance.
    size_millis : int
        Its capacity in thousandths of a core.
    used_millis : int
        What runs on it.
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
    """A pool with its instances and what it is asked for.

    Parameters
    ----------
    name : str
        The pool.
    need : PoolNeed
        What it is asked for.
    candidates : list of Candidate
        Its instances that are up and not spoken for.
    coming : int
        Instances on their way to it.
    excess_since_s : float or None
        Since when it has had more than it wants, in monotonic seconds.
    large_excess_since_s : float or None
        Since when it has had far more than it wants, in monotonic seconds.
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
        """Instances that it has or will have shortly."""
        return len(self.candidates) + self.coming


class Move:
    """An instance that should go to a pool."""

    __slots__ = ("instance", "source", "target")

    def __init__(self, instance: str, source: str, target: str) -> None:
        self.instance = instance
        self.source = source
        self.target = target


HEADROOM = 1.15
"""Room beyond the demand, since tasks don't fill instances evenly."""

MIN_INSTANCES = 2
"""What a pool keeps without demand: it serves the first second of a burst and survives one loss."""

EXCESS_HOLD_S = 2.5
"""A pool gives instances away only after having too many for so long; two moves cost as
much as about two seconds of an instance."""


LARGE_EXCESS_FACTOR = 1.5
"""A pool that has more than so many times what it wants has far too much."""

LARGE_EXCESS_HOLD_S = 0.8
"""It gives what lies beyond that away after so long, in seconds: a need that came back would
hardly be that large."""


def large_excess_limit(wanted: int) -> int:
    """Return beyond how many instances a pool that wants ``wanted`` has far too much.

    Examples
    --------
    >>> large_excess_limit(2), large_excess_limit(40)
    (3, 60)
    """
    return math.ceil(LARGE_EXCESS_FACTOR * wanted)


def wanted_instances(state: PoolState, size_millis: int) -> int:
    """Return how many instances of a size in thousandths of a core a pool should have.

    Examples
    --------
    >>> wanted_instances(PoolState("a", PoolNeed(2_000, 60_000, 20_000), []), 16_000)
    6
    >>> wanted_instances(PoolState("a", PoolNeed(), []), 16_000)
    2
    """
    millis = HEADROOM * state.need.total_millis
    least = max(MIN_INSTANCES, state.need.min_instances)
    return max(least, math.ceil(millis / max(1, size_millis)))


def plan_moves(
    pools: list[PoolState],
    spares: list[Candidate],
    spare_pool: str,
    size_millis: int,
    now_s: float,
    max_to_spare: int = 1_000,
) -> list[Move]:
    """Return the moves that bring pools nearer to what they should have.

    Explanation
    -----------
    Pools that lack instances are served from the spare pool first, since
    nothing runs there, then from pools that have more than they should.  What
    nobody lacks goes to the spare pool once its pool has had too much for a
    while; late work keeps instances from that, but gets none moved in for it.
    An instance with lasting tasks stays.
    """
    targets = _targets(pools, len(spares), size_millis)
    moves: list[Move] = []
    givers = _givers(pools, targets)
    for pool in sorted(pools, key=lambda pool: pool.size - targets[pool.name]):
        for _ in range(targets[pool.name] - pool.size):
            move = _take(spares, spare_pool, pool.name) or _take_from(givers, pool.name)
            if move is not None:
                moves.append(move)
    if spare_pool:
        to_spares = _to_spares(pools, givers, size_millis, spare_pool, now_s)
        moves.extend(to_spares[: max(0, max_to_spare)])
    return moves


def _targets(pools: list[PoolState], spare: int, size_millis: int) -> dict[str, int]:
    """Return what each pool should have; if there is too little, all get a like share."""
    wanted = {pool.name: wanted_instances(pool, size_millis) for pool in pools}
    total = spare + sum(pool.size for pool in pools)
    beyond = sum(wanted.values()) - MIN_INSTANCES * len(pools)
    left = total - MIN_INSTANCES * len(pools)
    if beyond <= left or left <= 0:
        return wanted
    return {
        name: MIN_INSTANCES + math.floor((count - MIN_INSTANCES) * left / beyond)
        for name, count in wanted.items()
    }


def _givers(pools: list[PoolState], targets: dict[str, int]) -> list[tuple[str, Candidate]]:
    """Return the instances that pools can do without, emptiest first."""
    givers: list[tuple[str, Candidate]] = []
    for pool in pools:
        excess = pool.size - targets[pool.name]
        free = [candidate for candidate in pool.candidates if not candidate.long_running_tasks]
        free.sort(key=lambda candidate: candidate.used_millis)
        givers.extend((pool.name, candidate) for candidate in free[: max(0, excess)])
    givers.sort(key=lambda giver: giver[1].used_millis)
    return givers


def _to_spares(
    pools: list[PoolState],
    givers: list[tuple[str, Candidate]],
    size_millis: int,
    spare_pool: str,
    now_s: float,
) -> list[Move]:
    late = {pool.name: math.ceil(pool.need.late_millis / size_millis) for pool in pools}
    moves = []
    for pool in pools:
        own = [candidate for source, candidate in givers if source == pool.name]
        spared = min(len(own) - late[pool.name], _releasable(pool, size_millis, now_s))
        for candidate in own[: max(0, spared)]:
            moves.append(Move(candidate.name, pool.name, spare_pool))
    return moves


def _releasable(pool: PoolState, size_millis: int, now_s: float) -> int:
    """Return how many instances a pool has had too many for long enough."""
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


def _take_from(givers: list[tuple[str, Candidate]], target: str) -> Move | None:
    if not givers:
        return None
    source, candidate = givers.pop(0)
    return Move(candidate.name, source, target)
