"""Decides which instances a maintenance wave drains next, and when the wave ends.

Explanation
-----------
A batch is as large as the budget of the pool and the spares allow: if a rack were
lost now, the spares outside it must replace the shortfall of all pools.  If they
don't, one instance of the pool is drained at a time, and none for
``loss_pause_s`` after a loss.  Instances whose report is too old count as not
serving, so a zone without reports is not drained.
"""

from almondstack.fleet.reserve import LossReserve
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

__all__ = ["max_batch_size", "next_wave_changes", "next_wave_drains", "wave_hold_reason"]


def next_wave_drains(view: FleetView, wave: WaveState) -> list[InstanceStepped]:
    """Return the drains that a running wave may start now."""
    if not wave.is_running or view.observations.view_age_s > view.settings.view_bound_s:
        return []
    due = due_times(view.state, wave)
    ready: dict[str, list[InstanceState]] = {}
    for name in wave.waiting:
        item = view.state.instances.get(name)
        is_due = item is not None and due[name] <= view.observations.unix_s
        if item is not None and is_due and item.is_serving and view.is_confirmed_healthy(item):
            ready.setdefault(item.pool, []).append(item)
    drains = []
    reserve = LossReserve(view)
    for pool in sorted(ready):
        drains.extend(_batch(view, wave, ready[pool], due, reserve))
    return drains


def _batch(
    view: FleetView,
    wave: WaveState,
    ready: list[InstanceState],
    due: dict[str, float],
    reserve: LossReserve,
) -> list[InstanceStepped]:
    pool_name = ready[0].pool
    pool = view.state.pools.get(pool_name)
    racks_out = _racks_out(view, pool_name)
    ready.sort(key=lambda item: (item.spec.rack not in racks_out, due[item.name], item.name))
    steps: list[InstanceStepped] = []
    serving_after = len(view.confirmed_serving(pool_name))
    for item in ready:
        serving_after -= 1
        if pool is not None and not _may_drain(view, pool, item, serving_after, reserve):
            break
        reserve.remove(item)
        steps.append(_drain(wave, item))
    return steps


def _drain(wave: WaveState, item: InstanceState) -> InstanceStepped:
    cause = f"wave {wave.name}"
    return InstanceStepped(item.name, item.version, InstancePhase.DRAINING, cause, wave.name)


def _may_drain(
    view: FleetView, pool: Pool, item: InstanceState, serving_after: int, reserve: LossReserve
) -> bool:
    if serving_after < pool.min_serving:
        return False
    policy = view.settings.wave_policy
    if policy == "budget" or (policy == "spares" and reserve.may_remove(item)):
        return True
    return _is_only_one_out(view, item, reserve) and not _has_recent_loss(view, pool.name)


def _is_only_one_out(view: FleetView, item: InstanceState, reserve: LossReserve) -> bool:
    """Return whether every other instance of the pool is confirmed serving or lost.

    Withdrawn instances are ignored: their drain may never end, and must not block
    the wave.
    """
    others = (other for other in view.owned(item.pool) if other.name != item.name)
    return all(
        other.is_lost or _keeps_serving(view, other, reserve)
        for other in others
        if not other.is_withdrawn
    )


def _keeps_serving(view: FleetView, item: InstanceState, reserve: LossReserve) -> bool:
    return item.is_serving and view.is_confirmed_healthy(item) and not reserve.is_removed(item)


def _has_recent_loss(view: FleetView, pool: str) -> bool:
    pause_s = view.settings.loss_pause_s
    return any(view.observations.phase_age_s(item.name) < pause_s for item in view.lost(pool))


def max_batch_size(view: FleetView, pool: Pool) -> int:
    """Return how many instances of a pool a wave may drain at once by its budget, at least 1."""
    room = len(view.serving(pool.name)) - pool.min_serving
    return 1 if view.settings.wave_policy == "alone" else max(room, 1)


def _racks_out(view: FleetView, pool: str) -> set[str]:
    return {item.spec.rack for item in view.owned(pool) if item.is_planned_out}


def next_wave_changes(view: FleetView, wave: WaveState) -> list[WaveChanged | WaveSetAside]:
    """Return the records that end a wave or set aside members it can no longer maintain."""
    if not wave.is_running:
        return []
    if not wave.waiting:
        summary = f"{len(wave.done)} done, {len(wave.set_aside)} set aside"
        return [WaveChanged(wave.name, wave.version, WavePhase.ENDED, summary)]
    withdrawn = _set_aside_withdrawn(view, wave)
    if withdrawn:
        return withdrawn
    window_end_s = wave.spec.started_s + wave.spec.window_s + view.settings.loss_pause_s
    if view.observations.unix_s < window_end_s:
        return []
    return [
        WaveSetAside(wave.name, name, f"{view.state.instances[name].phase} at the window's end")
        for name in wave.waiting
        if name in view.state.instances and _is_long_lost(view, name)
    ]


def _set_aside_withdrawn(view: FleetView, wave: WaveState) -> list[WaveChanged | WaveSetAside]:
    past_drain_phases = (InstancePhase.REBOOTING, InstancePhase.RETURNING)
    found: list[WaveChanged | WaveSetAside] = []
    for name in wave.waiting:
        item = view.state.instances.get(name)
        if item is not None and item.is_withdrawn and item.phase not in past_drain_phases:
            found.append(WaveSetAside(wave.name, name, "withdrawn"))
    return found


def _is_long_lost(view: FleetView, name: str) -> bool:
    is_long_enough = view.observations.phase_age_s(name) >= view.settings.loss_pause_s
    return view.state.instances[name].is_lost and is_long_enough


def wave_hold_reason(view: FleetView, wave: WaveState) -> str:
    """Return why a wave drains nothing now; empty if it makes progress or has ended."""
    if not wave.is_running:
        return "" if wave.phase is WavePhase.ENDED else f"{wave.phase}: {wave.reason}"
    if any(
        view.state.instances[name].wave for name in wave.waiting if name in view.state.instances
    ):
        return ""
    if view.observations.view_age_s > view.settings.view_bound_s:
        return "the log does not answer"
    if not next_wave_drains(view, wave) and wave.waiting:
        return _pool_reasons(view, wave)
    return ""


def _pool_reasons(view: FleetView, wave: WaveState) -> str:
    due = due_times(view.state, wave)
    if all(due.get(name, 0.0) > view.observations.unix_s for name in wave.waiting):
        return "no instance is due"
    pools = {view.state.instances[name].pool for name in wave.waiting if name in due}
    parts = []
    for name in sorted(pools):
        pool = view.state.pools.get(name)
        budget = pool.min_serving if pool else 0
        confirmed = len(view.confirmed_serving(name))
        parts.append(
            f"{name} surely serves with {confirmed} of {budget} and lost {len(view.lost(name))}"
        )
    return "; ".join(parts)
