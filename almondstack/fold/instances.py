"""Fold functions of the records of upstream instances.

Explanation
-----------
A planned step names the version of the instance that it was planned from.  The
step from serving to draining is refused if it would violate the availability
budget of the pool at that offset.  Failed, unseen, leaving, draining and
returning instances do not count as serving, so no other planned step lowers
the count.

A planned stop always drains the instance first: a reboot and a move to another
pool are possible from drained only, and so is the removal of an instance that
is not failed, unseen or leaving.  Serving is reachable from returning only, so
that the platform has been instructed to send work to the instance before it
counts as serving.  The steps back to serving need no budget.
"""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.fold.tables import table_without
from almondstack.fold.wave_progress import (
    check_wave_reboot,
    check_wave_step,
    record_wave_failure,
    record_wave_return,
    set_aside,
)
from almondstack.model import (
    FleetState,
    InstanceMoved,
    InstanceObserved,
    InstancePhase,
    InstanceRemoved,
    InstanceState,
    InstanceStepped,
    Pool,
)

__all__ = ["NEXT_PHASES", "is_fit"]

NEXT_PHASES: dict[InstancePhase, frozenset[InstancePhase]] = {
    InstancePhase.SERVING: frozenset({InstancePhase.DRAINING}),
    InstancePhase.DRAINING: frozenset({InstancePhase.DRAINED, InstancePhase.RETURNING}),
    InstancePhase.DRAINED: frozenset({InstancePhase.REBOOTING, InstancePhase.RETURNING}),
    InstancePhase.REBOOTING: frozenset({InstancePhase.RETURNING}),
    InstancePhase.RETURNING: frozenset({InstancePhase.SERVING, InstancePhase.DRAINING}),
    InstancePhase.FAILED: frozenset({InstancePhase.RETURNING}),
    InstancePhase.UNSEEN: frozenset({InstancePhase.RETURNING}),
    InstancePhase.LEAVING: frozenset({InstancePhase.RETURNING}),
}

_UNPLANNED_PHASES = frozenset({InstancePhase.FAILED, InstancePhase.UNSEEN, InstancePhase.LEAVING})
_REMOVABLE_PHASES = _UNPLANNED_PHASES | {InstancePhase.DRAINED}


@fold_body.register
def _(body: InstanceStepped, state: FleetState, context: FoldContext) -> None:
    current = _find_current(state, body.instance, body.version)
    _check_step(state, current, body)
    if body.phase is InstancePhase.SERVING:
        record_wave_return(state, current, context)
    is_drain = body.phase is InstancePhase.DRAINING
    state.instances[body.instance] = msgspec.structs.replace(
        current,
        phase=body.phase,
        version=context.offset,
        phase_offset=context.offset,
        stepped_by=context.envelope.author,
        wave=body.wave if is_drain else _next_wave(current, body.phase),
        target_pool=_next_target(current, body),
        reason=body.cause,
        stalls=_stall_count(current, body),
        maintained_offset=_maintained_offset(current, body, context),
    )


def _check_step(state: FleetState, current: InstanceState, body: InstanceStepped) -> None:
    if body.phase not in NEXT_PHASES[current.phase]:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{current.phase} to {body.phase}")
    if body.phase is InstancePhase.REBOOTING:
        check_wave_reboot(state, current)
    if body.phase is not InstancePhase.DRAINING:
        return
    if current.is_serving:
        _check_budget(state, current)
    if body.wave is not None:
        check_wave_step(state, current, body.wave)
    if body.target_pool is not None:
        _check_target(state, current, body.target_pool)


@fold_body.register
def _(body: InstanceMoved, state: FleetState, context: FoldContext) -> None:
    current = _find_current(state, body.instance, body.version)
    if current.phase is not InstancePhase.DRAINED:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{current.phase} cannot change owner")
    if current.target_pool != body.pool:
        raise RefusedError(Refusal.NOT_THE_TARGET, f"the drain was for {current.target_pool}")
    _check_target(state, current, body.pool)
    state.instances[body.instance] = msgspec.structs.replace(
        current,
        pool=body.pool,
        version=context.offset,
        target_pool=None,
        lent_from=None if body.pool == current.spec.pool else current.spec.pool,
        reason=body.cause,
    )


@fold_body.register
def _(body: InstanceObserved, state: FleetState, context: FoldContext) -> None:
    current = _find_current(state, body.instance, body.version)
    if body.phase not in _UNPLANNED_PHASES or body.phase is current.phase:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{body.phase} is not observed")
    record_wave_failure(state, current, body, context)
    state.instances[body.instance] = msgspec.structs.replace(
        current,
        phase=body.phase,
        version=context.offset,
        phase_offset=context.offset,
        stepped_by=context.envelope.author,
        wave=None,
        target_pool=None,
        reason=body.evidence,
    )


@fold_body.register
def _(body: InstanceRemoved, state: FleetState, context: FoldContext) -> None:
    current = _find_current(state, body.instance, body.version)
    if not current.is_withdrawn:
        raise RefusedError(Refusal.NOT_WITHDRAWN, body.instance)
    if current.phase not in _REMOVABLE_PHASES:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{current.phase} cannot be removed")
    for wave in list(state.waves.values()):
        if body.instance in wave.waiting:
            set_aside(state, wave, body.instance, "withdrawn")
    state.instances = table_without(state.instances, [body.instance])


def _find_current(state: FleetState, instance: str, version: int) -> InstanceState:
    current = state.instances.get(instance)
    if current is None:
        raise RefusedError(Refusal.NO_SUCH_INSTANCE, instance)
    if current.version != version:
        raise RefusedError(Refusal.VERSION_CONFLICT, f"{instance} is at version {current.version}")
    return current


def _check_budget(state: FleetState, current: InstanceState) -> None:
    pool = state.pools.get(current.pool)
    if pool is None:
        return
    remaining = state.serving_count(current.pool) - 1
    if remaining < pool.min_serving:
        message = f"{current.pool} would serve with {remaining} of {pool.min_serving}"
        raise RefusedError(Refusal.BUDGET_BROKEN, message)


def _check_target(state: FleetState, current: InstanceState, target: str) -> None:
    pool = state.pools.get(target)
    if pool is None or target in state.leaving_pools:
        raise RefusedError(Refusal.NO_SUCH_POOL, target)
    if not is_fit(current, pool):
        raise RefusedError(Refusal.INSTANCE_UNFIT, f"{target} needs more accelerators")


def is_fit(instance: InstanceState, pool: Pool) -> bool:
    """Return whether an instance has as many accelerators as a pool needs."""
    return instance.spec.accelerators >= pool.needs_accelerators


def _next_target(current: InstanceState, body: InstanceStepped) -> str | None:
    if body.phase is InstancePhase.DRAINING:
        return body.target_pool
    return None if body.phase is InstancePhase.RETURNING else current.target_pool


def _next_wave(current: InstanceState, phase: InstancePhase) -> str | None:
    return None if phase is InstancePhase.SERVING else current.wave


def _stall_count(current: InstanceState, body: InstanceStepped) -> int:
    if body.phase is InstancePhase.DRAINED:
        return 0
    is_cancelled = current.phase is InstancePhase.DRAINING and body.is_stalled
    return current.stalls + is_cancelled


def _maintained_offset(current: InstanceState, body: InstanceStepped, context: FoldContext) -> int:
    is_rebooted = current.phase is InstancePhase.REBOOTING and body.phase is InstancePhase.RETURNING
    return context.offset if is_rebooted else current.maintained_offset


@subject_of.register
def _(body: InstanceStepped) -> str:
    return f"instance/{body.instance}"


@subject_of.register
def _(body: InstanceMoved) -> str:
    return f"instance/{body.instance}"


@subject_of.register
def _(body: InstanceObserved) -> str:
    return f"instance/{body.instance}"


@subject_of.register
def _(body: InstanceRemoved) -> str:
    return f"instance/{body.instance}"
