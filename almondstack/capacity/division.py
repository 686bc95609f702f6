"""Sizes the pools of a short fleet by what its client accounts are entitled to."""

import math

from almondstack.capacity.demand import PoolNeed
from almondstack.capacity.pool_state import (
    MIN_INSTANCES,
    Candidate,
    PoolState,
    wanted_instances,
)
from almondstack.capacity.target_hold import HeldNeed

__all__ = ["divided_targets", "held_need", "is_short", "shortage_donors"]

_SETTLED_SHARE = 0.05
"""A pool that has more than its target by no more than this share of it gives no instance."""

_LARGE_DIFFERENCE = 1.25
"""Instances whose runs last longer than a move are drained only down to this multiple of the
target: until they are empty, they serve neither pool."""

_MAX_MOVING_SHARE = 0.4
"""Share of all instances that may be draining or moving in a shortage at one time."""


def is_short(pools: list[PoolState]) -> bool:
    """Return whether the fleet is short, so that pools get what their accounts are entitled to."""
    return any(pool.need.entitled is not None for pool in pools)


def divided_targets(pools: list[PoolState], total: int, size_millis: int) -> dict[str, int]:
    """Return the target size of each pool of a short fleet.

    Explanation
    -----------
    Each pool is owed the instances for the part of each account's demand there that the
    account is entitled to and that can't wait.  What is left stays where it is, as far as it
    is wanted there, and then goes to the pools by the rest of their demand.  If less is there
    than is owed, all pools get less in equal proportion, but not below ``MIN_INSTANCES`` and
    what long-running tasks need.

    Parameters
    ----------
    pools : list of PoolState
        All pools that are paid for.
    total : int
        Instances of these pools and of the spare pool.
    size_millis : int
        Capacity of an instance in thousandths of a core.
    """
    wanted = {pool.name: wanted_instances(pool, size_millis) for pool in pools}
    if sum(wanted.values()) <= total:
        return wanted
    floors = {pool.name: _min_size(pool, size_millis) for pool in pools}
    owed = {
        pool.name: min(wanted[pool.name], max(floors[pool.name], _owed(pool, size_millis)))
        for pool in pools
    }
    left = total - sum(owed.values())
    if left >= 0:
        kept = {
            pool.name: max(owed[pool.name], min(wanted[pool.name], pool.size)) for pool in pools
        }
        targets = _with_divided(owed, kept, left)
        return _with_divided(targets, wanted, total - sum(targets.values()))
    left = total - sum(floors.values())
    return owed if left <= 0 else _with_divided(floors, owed, left)


def shortage_donors(
    pools: list[PoolState], targets: dict[str, int], move_s: float
) -> list[tuple[str, Candidate]]:
    """Return the instances that pools give to others in a shortage, with their pools.

    Explanation
    -----------
    Instances that are being drained go on; then come those whose runs end first.  Those whose
    runs last longer than a move are given only by a pool that has far more than its target.
    An instance with long-running tasks is not moved.

    Parameters
    ----------
    pools : list of PoolState
        All pools that are paid for.
    targets : dict of str to int
        Target size of each pool.
    move_s : float
        How long a move takes, in seconds.
    """
    donors = [donor for pool in pools for donor in _donors_of(pool, targets[pool.name], move_s)]
    donors.sort(key=lambda donor: _drain_order(donor[1]))
    total = sum(pool.size for pool in pools)
    moving = sum(pool.coming for pool in pools)
    return donors[: max(1, math.floor(_MAX_MOVING_SHARE * total) - moving)]


def held_need(need: PoolNeed, size_millis: int) -> HeldNeed:
    """Return the instances that a pool needs now for its accounts' entitlements, not yet held."""
    kept = _instances(need.entitled or need, size_millis)
    return HeldNeed(kept, kept)


def _owed(pool: PoolState, size_millis: int) -> int:
    """Return the instances that a pool is owed, where a need of a moment brings no more of them."""
    held = pool.held or held_need(pool.need, size_millis)
    return min(held.kept, max(pool.size, held.reached))


def _instances(need: PoolNeed, size_millis: int) -> int:
    return wanted_instances(PoolState("", need, []), size_millis)


def _min_size(pool: PoolState, size_millis: int) -> int:
    """Return the instances that a pool keeps whatever others are owed."""
    lasting = math.ceil(pool.need.lasting_millis / max(1, size_millis))
    filled = math.ceil(pool.need.lasting_filled_instances)
    return max(MIN_INSTANCES, pool.need.min_instances, lasting, filled)


def _with_divided(least: dict[str, int], most: dict[str, int], left: int) -> dict[str, int]:
    """Return ``least`` with ``left`` instances divided in proportion to what lacks to ``most``."""
    lacking = sum(most.values()) - sum(least.values())
    part = min(1.0, left / max(1, lacking))
    return {
        name: count + max(0, math.floor((most[name] - count) * part))
        for name, count in least.items()
    }


def _donors_of(pool: PoolState, target: int, move_s: float) -> list[tuple[str, Candidate]]:
    """Return the instances that a pool gives, those to be drained first at the beginning."""
    free = [candidate for candidate in pool.candidates if not candidate.long_running_tasks]
    free.sort(key=_drain_order)
    given: list[tuple[str, Candidate]] = []
    for candidate in free:
        if len(given) >= _max_donors(pool, candidate, target, move_s):
            break
        given.append((pool.name, candidate))
    return given


def _max_donors(pool: PoolState, candidate: Candidate, target: int, move_s: float) -> int:
    """Return how many instances a pool may give if that one is among them."""
    excess = pool.size - target
    if candidate.is_draining:
        return excess
    settled = math.floor(_SETTLED_SHARE * target)
    if candidate.ends_in_s <= move_s:
        return excess - settled
    return pool.size - math.ceil(_LARGE_DIFFERENCE * target)


def _drain_order(candidate: Candidate) -> tuple[bool, float, int]:
    return not candidate.is_draining, candidate.ends_in_s, candidate.used_millis
