"""Plans moves of instances between pools."""

import functools
import math

from almondstack.capacity.division import divided_targets, is_short, shortage_donors
from almondstack.capacity.pool_state import (
    MIN_INSTANCES,
    Candidate,
    PoolState,
    large_excess_limit,
    wanted_instances,
)

__all__ = ["Move", "plan_moves", "target_sizes"]

MOVE_S = 1.5
"""How long a move of an instance takes unless stated otherwise, in seconds."""


class Move:
    """A planned move of an instance from one pool to another."""

    __slots__ = ("instance", "source", "target")

    def __init__(self, instance: str, source: str, target: str) -> None:
        self.instance = instance
        self.source = source
        self.target = target


EXCESS_HOLD_S = 2.5
"""Time for which a pool must have an excess before it gives instances to the spare pool: moving
an instance away and back costs about as much as two seconds of the instance."""

LARGE_EXCESS_HOLD_S = 0.8
"""Time after which a pool gives away its instances beyond the large-excess limit; shorter than
``EXCESS_HOLD_S`` because demand is unlikely to return to that size."""


def plan_moves(
    pools: list[PoolState],
    spares: list[Candidate],
    spare_pool: str,
    size_millis: int,
    now_s: float,
    max_to_spare: int = 1_000,
    move_s: float = MOVE_S,
) -> list[Move]:
    """Return the moves that bring pools closer to their target sizes.

    Explanation
    -----------
    Pools that lack instances get them from the spare pool first, since nothing runs
    there, then at once from pools with an excess.  Instances that no pool lacks go to
    the spare pool once their pool has had an excess for ``EXCESS_HOLD_S``; those beyond
    :func:`large_excess_limit` already after ``LARGE_EXCESS_HOLD_S``.  Late work holds
    instances back from the spare pool, but no instances are moved in for it.
    Instances with long-running tasks are not moved.  While client accounts compete for a
    short fleet, targets and the instances that are given follow
    :mod:`almondstack.capacity.division`.

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
    move_s : float
        How long a move takes, in seconds.
    """
    targets = target_sizes(pools, len(spares), size_millis)
    moves: list[Move] = []
    choose = functools.partial(shortage_donors, move_s=move_s) if is_short(pools) else _donors
    donors = choose(pools, targets)
    for pool in sorted(pools, key=lambda pool: pool.size - targets[pool.name]):
        for _ in range(targets[pool.name] - pool.size):
            move = _take(spares, spare_pool, pool.name) or _take_from(donors, pool.name)
            if move is not None:
                moves.append(move)
    if spare_pool:
        to_spares = _to_spares(pools, donors, size_millis, spare_pool, now_s)
        moves.extend(to_spares[: max(0, max_to_spare)])
    return moves


def target_sizes(pools: list[PoolState], spare: int, size_millis: int) -> dict[str, int]:
    """Return the target size of each pool.

    Explanation
    -----------
    In a shortage, each pool gets ``MIN_INSTANCES`` and an equal proportion of its demand
    beyond that, unless accounts compete for the fleet.  If there are too few instances even
    for the minimum, nothing is reduced.

    Parameters
    ----------
    pools : list of PoolState
        All pools that are paid for.
    spare : int
        Instances of the spare pool that can be moved.
    size_millis : int
        Capacity of an instance in thousandths of a core.
    """
    if is_short(pools):
        total = spare + sum(pool.size for pool in pools)
        return divided_targets(pools, total, size_millis)
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
