"""Decides which instances move to another pool.

Explanation
-----------
During a move, from the drain to the return, the instance serves no requests.  So
a lost instance is replaced only after ``replace_after_s``, or at once if the pool
is below its budget.  A lent instance is not moved back as such; a pool with more
instances than its size gives one up when another pool needs it.  A pool whose
slots are all in use gets an instance only once that has lasted longer than a move
takes to pay off (``pressure_after_s``).
"""

from almondstack.fleet.view import FleetView
from almondstack.model import InstancePhase, InstanceState, InstanceStepped, Pool

__all__ = ["break_even_s", "next_moves"]

_MAX_BACKOFF_DOUBLINGS = 6


def break_even_s(move_s: float, gain_share: float) -> float:
    """Return how many seconds a shortage must last for a move to pay off.

    Explanation
    -----------
    The moved instance serves nothing for ``move_s`` seconds and then adds
    ``gain_share`` of an instance's work for the rest of the shortage.  For a
    shortage of ``T`` seconds the gain is ``gain_share * (T - move_s)`` and the
    cost ``(1 - gain_share) * move_s``, the work it would have done meanwhile.

    Examples
    --------
    >>> from almondstack.fleet import break_even_s
    >>> break_even_s(30.0, 0.5)
    60.0
    """
    return move_s + (1 - gain_share) / gain_share * move_s


def next_moves(view: FleetView) -> list[InstanceStepped]:
    """Return the drains that begin a move, at most one per instance."""
    drains = [_drain_to_declared_pool(item) for item in _misplaced(view)]
    taken = {drain.instance for drain in drains}
    for name in sorted(view.state.pools):
        pool = view.state.pools[name]
        if pool.is_spare or name in view.state.leaving_pools:
            continue
        for _ in range(_wanted_count(view, pool)):
            donor = _choose_donor(view, pool, taken)
            if donor is None:
                break
            taken.add(donor.name)
            cause = f"{name} lacks an instance"
            drains.append(_drain_to(donor, name, cause))
    return drains


def _misplaced(view: FleetView) -> list[InstanceState]:
    found = []
    for name in sorted(view.state.instances):
        item = view.state.instances[name]
        is_pool_gone = item.pool not in view.state.pools
        is_declared_pool_present = item.spec.pool in view.state.pools
        needs_move = item.is_misplaced or is_pool_gone
        is_free = item.is_serving and not item.is_withdrawn and not _is_backing_off(view, item)
        if is_free and is_declared_pool_present and needs_move:
            found.append(item)
    return found


def _is_backing_off(view: FleetView, item: InstanceState) -> bool:
    """Return whether an instance whose drains stalled backs off, exponentially longer each time."""
    if not item.stalls:
        return False
    backoff_s = view.settings.loss_pause_s * 2 ** min(item.stalls - 1, _MAX_BACKOFF_DOUBLINGS)
    return view.observations.phase_age_s(item.name) < backoff_s


def _drain_to_declared_pool(item: InstanceState) -> InstanceStepped:
    return _drain_to(item, item.spec.pool, "declared for another pool")


def _drain_to(item: InstanceState, pool: str, cause: str) -> InstanceStepped:
    drain = InstancePhase.DRAINING
    return InstanceStepped(item.name, item.version, drain, cause, target_pool=pool)


def _wanted_count(view: FleetView, pool: Pool) -> int:
    owned = [item for item in view.owned(pool.name) if not _is_leaving_pool(item)]
    inbound = view.inbound(pool.name)
    lost = [item for item in owned if item.is_lost]
    available = len(owned) - len(lost) + inbound
    if view.missing(pool):
        waiting = sum(item.is_planned_out for item in owned)
        missing = pool.min_serving - len(view.serving(pool.name)) - waiting - inbound
        return max(missing, _replacement_count(view, pool, lost, available), 0)
    if lost or available < pool.size:
        return _replacement_count(view, pool, lost, available)
    if _blocks_wave(view, pool) and available <= pool.size:
        return 1
    is_full = view.observations.full_for_s(pool.name) >= view.settings.pressure_after_s
    return 1 if is_full and available <= pool.size else 0


def _replacement_count(
    view: FleetView, pool: Pool, lost: list[InstanceState], available: int
) -> int:
    bound_s = view.settings.replace_after_s
    recent = sum(view.observations.phase_age_s(item.name) < bound_s for item in lost)
    return max(pool.size - available - recent, 0)


def _blocks_wave(view: FleetView, pool: Pool) -> bool:
    """Return whether a wave waits for this pool, which has no instance above its budget."""
    if len(view.serving(pool.name)) > pool.min_serving or view.lost(pool.name):
        return False
    if any(item.is_planned_out for item in view.owned(pool.name)):
        return False
    waves = [wave for wave in view.state.waves.values() if wave.is_running]
    names = {item.name for item in view.owned(pool.name)}
    return any(names.intersection(wave.waiting) for wave in waves)


def _is_leaving_pool(item: InstanceState) -> bool:
    return item.is_withdrawn or item.target_pool not in (None, item.pool)


def _choose_donor(view: FleetView, pool: Pool, taken: set[str]) -> InstanceState | None:
    for source in _donor_sources(view, pool, taken):
        donors = [item for item in source if _is_donor(view, item, pool, taken)]
        if donors:
            return min(donors, key=lambda item: _placement_preference(view, item, pool.name))
    return None


def _donor_sources(view: FleetView, pool: Pool, taken: set[str]) -> list[list[InstanceState]]:
    sources = []
    for spare in view.spare_pools():
        serving = [item for item in view.serving(spare.name) if item.name not in taken]
        if len(serving) > spare.min_serving:
            sources.append(serving)
    for name in sorted(view.state.pools):
        other = view.state.pools[name]
        if other.is_spare or name == pool.name:
            continue
        serving = [item for item in view.serving(name) if item.name not in taken]
        if len(serving) > max(other.size, other.min_serving):
            sources.append(serving)
    return sources


def _is_donor(view: FleetView, item: InstanceState, pool: Pool, taken: set[str]) -> bool:
    is_free = item.name not in taken and not item.is_withdrawn and not item.is_misplaced
    is_free = is_free and not _is_backing_off(view, item)
    has_accelerators = item.spec.accelerators >= pool.needs_accelerators
    return is_free and has_accelerators and view.is_confirmed_healthy(item)


def _placement_preference(
    view: FleetView, item: InstanceState, pool: str
) -> tuple[int, int, int, str]:
    """Sort key of donors: fewest in the same rack, then zone; fewest accelerators; by name."""
    owned = [other for other in view.owned(pool) if not other.is_lost]
    in_rack = sum(other.spec.rack == item.spec.rack for other in owned)
    in_zone = sum(other.spec.zone == item.spec.zone for other in owned)
    return in_rack, in_zone, item.spec.accelerators, item.name
