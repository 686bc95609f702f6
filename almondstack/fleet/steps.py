"""Computes the next records of an instance that is, or should be, out of service.

Explanation
-----------
The result depends only on the folded state, the observations, the settings and
the drain estimates; keepers for which these are equal compute the same record.
"""

from typing import Any

from almondstack.fleet.estimates import DrainEstimates
from almondstack.fleet.view import FleetView
from almondstack.model import (
    InstanceMoved,
    InstanceObserved,
    InstancePhase,
    InstanceRemoved,
    InstanceState,
    InstanceStepped,
    WaveSetAside,
)
from almondstack.provider import ActStatus, act_id

__all__ = ["next_observation", "next_records"]


def next_observation(view: FleetView, item: InstanceState) -> InstanceObserved | None:
    """Return the record of an unplanned phase change that list or reports show, None if none."""
    observations, settings, name = view.observations, view.settings, item.name
    if name in observations.leaving and item.phase is not InstancePhase.LEAVING:
        return _observed(item, InstancePhase.LEAVING, "the list shows it as leaving")
    if item.is_lost:
        return None
    is_rebooting = item.phase is InstancePhase.REBOOTING
    if not is_rebooting and observations.absent_for_s(name) >= settings.unseen_after_s:
        return _observed(item, InstancePhase.UNSEEN, "neither list nor reports show it")
    if is_rebooting:
        return _reboot_failure(view, item)
    if item.phase is InstancePhase.RETURNING:
        return _return_failure(view, item)
    if min(observations.bad_for_s(name), observations.phase_age_s(name)) >= settings.fail_after_s:
        return _observed(item, InstancePhase.FAILED, "its reports are bad")
    return None


def _reboot_failure(view: FleetView, item: InstanceState) -> InstanceObserved | None:
    act = _act_of(view, item)
    if act is not None and act.is_failed:
        return _observed(item, InstancePhase.FAILED, "the reboot failed")
    if (
        act is not None
        and view.observations.phase_age_s(item.name) > view.settings.reboot_timeout_s
    ):
        return _observed(item, InstancePhase.FAILED, "the reboot is not over")
    return None


def _return_failure(view: FleetView, item: InstanceState) -> InstanceObserved | None:
    act = _act_of(view, item)
    report = view.observations.reports.get(item.name)
    if act is None or report is None:
        return None
    age_s = view.observations.phase_age_s(item.name)
    is_bad = report.as_of_s > act.at_s and not report.is_healthy
    if is_bad and min(view.observations.bad_for_s(item.name), age_s) >= view.settings.fail_after_s:
        return _observed(item, InstancePhase.FAILED, "its reports are bad on return")
    if age_s > view.settings.return_timeout_s and not view.is_confirmed_healthy(item):
        return _observed(item, InstancePhase.FAILED, "no good report since its return")
    return None


def next_records(view: FleetView, item: InstanceState, estimates: DrainEstimates) -> list[Any]:
    """Return the records that move an instance to its next planned phase."""
    match item.phase:
        case InstancePhase.DRAINING:
            return _after_draining(view, item, estimates)
        case InstancePhase.DRAINED:
            return _after_drained(view, item)
        case InstancePhase.REBOOTING:
            return _after_reboot(view, item)
        case InstancePhase.RETURNING:
            return _after_return(view, item)
        case InstancePhase.FAILED | InstancePhase.UNSEEN | InstancePhase.LEAVING:
            return _after_loss(view, item)
    return []


def _after_draining(view: FleetView, item: InstanceState, estimates: DrainEstimates) -> list[Any]:
    if _is_needed_by_budget(view, item):
        return [_step(item, InstancePhase.RETURNING, "the budget needs it")]
    if not _is_drain_needed(view, item):
        return [_step(item, InstancePhase.RETURNING, "the drain has no purpose any more")]
    if _is_empty(view, item):
        return [_step(item, InstancePhase.DRAINED, "nothing runs there")]
    pool = view.state.pools.get(item.pool)
    bound_s = estimates.stall_s(pool, view.settings) if pool else float("inf")
    if item.is_withdrawn or view.observations.phase_age_s(item.name) <= bound_s:
        return []
    return_step = InstanceStepped(
        item.name,
        item.version,
        InstancePhase.RETURNING,
        f"not empty after {bound_s:.0f} s",
        is_stalled=True,
    )
    if item.wave is None:
        return [return_step]
    return [WaveSetAside(item.wave, item.name, f"stalled: {return_step.cause}"), return_step]


def _after_drained(view: FleetView, item: InstanceState) -> list[Any]:
    if item.is_withdrawn:
        act = _act_of(view, item)
        is_released = act is not None and act.is_done
        return [InstanceRemoved(item.name, item.version, "withdrawn")] if is_released else []
    if item.target_pool is not None and item.target_pool in view.state.pools:
        return [InstanceMoved(item.name, item.version, item.target_pool, item.reason)]
    if _is_needed_by_budget(view, item) or not _is_wave_open(view, item):
        return [_step(item, InstancePhase.RETURNING, "no reboot is asked for")]
    report = view.observations.reports.get(item.name)
    if report is None or report.running or not report.is_draining:
        return []
    return [_step(item, InstancePhase.REBOOTING, f"wave {item.wave}")]


def _after_reboot(view: FleetView, item: InstanceState) -> list[Any]:
    act = _act_of(view, item)
    if act is None or not act.is_done:
        return []
    return [_step(item, InstancePhase.RETURNING, "rebooted")]


def _after_return(view: FleetView, item: InstanceState) -> list[Any]:
    if item.is_withdrawn:
        return [_step(item, InstancePhase.DRAINING, "withdrawn")]
    act = _act_of(view, item)
    report = view.observations.reports.get(item.name)
    if act is None or not act.is_done or report is None:
        return []
    is_ready = report.is_healthy and not report.is_draining and report.as_of_s > act.at_s
    has_ramped_up = view.observations.phase_age_s(item.name) >= view.settings.return_bound_s
    return (
        [_step(item, InstancePhase.SERVING, "took up load")] if is_ready and has_ramped_up else []
    )


def _after_loss(view: FleetView, item: InstanceState) -> list[Any]:
    if item.is_withdrawn:
        return [InstanceRemoved(item.name, item.version, "withdrawn and gone")]
    has_recovered = view.observations.good_for_s(item.name) >= view.settings.recover_after_s
    is_lost_long_enough = view.observations.phase_age_s(item.name) >= view.settings.recover_after_s
    is_leaving = item.name in view.observations.leaving
    if has_recovered and is_lost_long_enough and not is_leaving and view.is_confirmed_healthy(item):
        return [_step(item, InstancePhase.RETURNING, "its reports are good again")]
    return []


def _is_needed_by_budget(view: FleetView, item: InstanceState) -> bool:
    """Return whether ``item`` is among the first by name that the pool needs for its budget."""
    pool = view.state.pools.get(item.pool)
    if pool is None:
        return False
    missing = view.missing(pool)
    missing -= sum(other.phase is InstancePhase.RETURNING for other in view.owned(pool.name))
    phases = (InstancePhase.DRAINING, InstancePhase.DRAINED)
    out = [other.name for other in view.owned(pool.name) if other.phase in phases]
    return missing > 0 and item.name in out[:missing]


def _is_drain_needed(view: FleetView, item: InstanceState) -> bool:
    if item.is_withdrawn:
        return True
    if item.target_pool is not None:
        return item.target_pool in view.state.pools
    return _is_wave_open(view, item)


def _is_wave_open(view: FleetView, item: InstanceState) -> bool:
    wave = view.state.waves.get(item.wave or "")
    return wave is not None and wave.is_open and item.name in wave.waiting


def _is_empty(view: FleetView, item: InstanceState) -> bool:
    act = _act_of(view, item)
    return act is not None and view.observations.is_empty_since(item.name, act)


def _act_of(view: FleetView, item: InstanceState) -> ActStatus | None:
    return view.observations.acts.get(act_id(item.name, item.phase_offset))


def _step(item: InstanceState, phase: InstancePhase, cause: str) -> InstanceStepped:
    return InstanceStepped(item.name, item.version, phase, cause)


def _observed(item: InstanceState, phase: InstancePhase, evidence: str) -> InstanceObserved:
    return InstanceObserved(item.name, item.version, phase, evidence)
