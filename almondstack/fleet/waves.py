"""Decides which instances a wave takes next, and when it has ended.

Explanation
-----------
A batch is as large as the budget of the pool and a reserve allow.  The reserve
is what the loss of one rack could take from what is left.  A pool that can't
hold the reserve is taken one instance at a time, and not at all for a while
after a loss.  Instances whose report is too old count as not serving, so a
zone that nobody hears from is left alone.
"""

from almondstack.fleet.schedule import due_times
from almondstack.fleet.view import FleetView
from almondstack.model import (
    InstancePhase,
    InstanceState,
    InstanceStepped,
    Pool,
    WaveChanged,
    WavePhase,
    WaveSetAside,
    WaveState,
)

__all__ = ["batch_room", "next_wave_changes", "next_wave_drains", "wave_hold_reason"]


def next_wave_drains(view: FleetView, wave: WaveState) -> list[InstanceStepped]:
    """Return the drains that a running wave may begin now."""
    if not wave.is_running or view.seen.view_age_s > view.settings.view_bound_s:
        return []
    due = due_times(view.state, wave)
    ready: dict[str, list[InstanceState]] = {}
    for name in wave.waiting:
        item = view.state.instances.get(name)
        is_due = item is not None and due[name] <= view.seen.unix_s
        if item is not None and is_due and item.is_serving and view.is_surely_well(item):
            ready.setdefault(item.pool, []).append(item)
    drains = []
    for pool in sorted(ready):
        drains.extend(_batch(view, wave, pool, ready[pool], due))
    return drains


def _batch(
    view: FleetView,
    wave: WaveState,
    pool_name: str,
    ready: list[InstanceState],
    due: dict[str, float],
) -> list[InstanceStepped]:
    pool = view.state.pools.get(pool_name)
    racks_out = _racks_out(view, pool_name)
    ready.sort(key=lambda item: (item.spec.rack not in racks_out, due[item.name], item.name))
    cause = f"wave {wave.name}"
    steps = []
    serving = view.surely_serving(pool_name)
    for item in ready:
        left = [other for other in serving if other.name != item.name]
        if pool is not None and not _may_lose(view, pool, left):
            break
        serving = left
        drain = InstancePhase.DRAINING
        steps.append(InstanceStepped(item.name, item.version, drain, cause, wave.name))
    return steps


def _may_lose(view: FleetView, pool: Pool, left: list[InstanceState]) -> bool:
    if len(left) < pool.min_serving:
        return False
    if len(left) - view.rack_reserve(left) >= pool.min_serving:
        return True
    owned = view.owned(pool.name)
    is_alone = len(left) + len(view.lost(pool.name)) + 1 >= len(owned)
    return is_alone and not _has_young_loss(view, pool.name)


def _has_young_loss(view: FleetView, pool: str) -> bool:
    pause_s = view.settings.loss_pause_s
    return any(view.seen.phase_age_s(item.name) < pause_s for item in view.lost(pool))


def batch_room(view: FleetView, pool: Pool) -> int:
    """Return how many instances the reserve of a pool lets go at once, at least 1."""
    serving = view.serving(pool.name)
    room = len(serving) - view.rack_reserve(serving) - pool.min_serving
    return max(room, 1)


def _racks_out(view: FleetView, pool: str) -> set[str]:
    return {item.spec.rack for item in view.owned(pool) if item.is_planned_out}


def next_wave_changes(view: FleetView, wave: WaveState) -> list[WaveChanged | WaveSetAside]:
    """Return what ends a wave or gives up members that can't be done any more."""
    if not wave.is_running:
        return []
    if not wave.waiting:
        summary = f"{len(wave.done)} done, {len(wave.set_aside)} set aside"
        return [WaveChanged(wave.name, wave.version, WavePhase.ENDED, summary)]
    window_end_s = wave.spec.started_s + wave.spec.window_s + view.settings.loss_pause_s
    if view.seen.unix_s < window_end_s:
        return []
    return [
        WaveSetAside(wave.name, name, f"{view.state.instances[name].phase} at the window's end")
        for name in wave.waiting
        if name in view.state.instances and _is_long_lost(view, name)
    ]


def _is_long_lost(view: FleetView, name: str) -> bool:
    is_old = view.seen.phase_age_s(name) >= view.settings.loss_pause_s
    return view.state.instances[name].is_lost and is_old


def wave_hold_reason(view: FleetView, wave: WaveState) -> str:
    """Return why a wave takes nothing now; empty if it goes on or has ended."""
    if not wave.is_running:
        return "" if wave.phase is WavePhase.ENDED else f"{wave.phase}: {wave.reason}"
    if any(
        view.state.instances[name].wave for name in wave.waiting if name in view.state.instances
    ):
        return ""
    if view.seen.view_age_s > view.settings.view_bound_s:
        return "the log does not answer"
    if not next_wave_drains(view, wave) and wave.waiting:
        return _pool_reasons(view, wave)
    return ""


def _pool_reasons(view: FleetView, wave: WaveState) -> str:
    due = due_times(view.state, wave)
    if all(due.get(name, 0.0) > view.seen.unix_s for name in wave.waiting):
        return "no instance is due"
    pools = {view.state.instances[name].pool for name in wave.waiting if name in due}
    parts = []
    for name in sorted(pools):
        pool = view.state.pools.get(name)
        least = pool.min_serving if pool else 0
        known = len(view.surely_serving(name))
        parts.append(
            f"{name} surely serves with {known} of {least} and lost {len(view.lost(name))}"
        )
    return "; ".join(parts)
