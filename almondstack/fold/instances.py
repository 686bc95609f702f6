"""Fold of the records of upstream instances.

Explanation
-----------
A planned step names the version of the instance it was planned from, and the
step out of serving is refused when the pool's availability budget would not
hold at that offset.  Failed, unseen, leaving, draining and returning instances
do not count as serving, so no other step can lower the count.

An instance that has stopped by plan has always been drained first: the only
way to rebooting, to another owner and out of the fleet leads over drained.
Every way back leads over returning, so that the platform has been told to give
the instance work before it counts as serving; none of them needs budget.
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

_UNPLANNED = frozenset({InstancePhase.FAILED, InstancePhase.UNSEEN, InstancePhase.LEAVING})
_REMOVABLE = _UNPLANNED | {InstancePhase.DRAINED}


@fold_body.register
def _(body: InstanceStepped, state: FleetState, context: FoldContext) -> None:
    known = _current(state, body.instance, body.version)
    _check_step(state, known, body)
    if body.phase is InstancePhase.SERVING:
        record_wave_return(state, known, context)
    is_drain = body.phase is InstancePhase.DRAINING
    state.instances[body.instance] = msgspec.structs.replace(
        known,
        phase=body.phase,
        version=context.offset,
        phase_offset=context.offset,
        stepped_by=context.envelope.author,
        wave=body.wave if is_drain else _wave_kept(known, body.phase),
        target_pool=_target_kept(known, body),
        reason=body.cause,
        stalls=_stalls(known, body),
        maintained_offset=_maintained_offset(known, body, context),
    )


def _check_step(state: FleetState, known: InstanceState, body: InstanceStepped) -> None:
    if body.phase not in NEXT_PHASES[known.phase]:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{known.phase} to {body.phase}")
    if body.phase is InstancePhase.REBOOTING:
        check_wave_reboot(state, known)
    if body.phase is not InstancePhase.DRAINING:
        return
    if known.is_serving:
        _check_budget(state, known)
    if body.wave is not None:
        check_wave_step(state, known, body.wave)
    if body.target_pool is not None:
        _check_target(state, known, body.target_pool)


@fold_body.register
def _(body: InstanceMoved, state: FleetState, context: FoldContext) -> None:
    known = _current(state, body.instance, body.version)
    if known.phase is not InstancePhase.DRAINED:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{known.phase} cannot change owner")
    if known.target_pool != body.pool:
        raise RefusedError(Refusal.NOT_THE_TARGET, f"the drain was for {known.target_pool}")
    _check_target(state, known, body.pool)
    state.instances[body.instance] = msgspec.structs.replace(
        known,
        pool=body.pool,
        version=context.offset,
        target_pool=None,
        lent_from=None if body.pool == known.spec.pool else known.spec.pool,
        reason=body.cause,
    )


@fold_body.register
def _(body: InstanceObserved, state: FleetState, context: FoldContext) -> None:
    known = _current(state, body.instance, body.version)
    if body.phase not in _UNPLANNED or body.phase is known.phase:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{body.phase} is not observed")
    record_wave_failure(state, known, body, context)
    state.instances[body.instance] = msgspec.structs.replace(
        known,
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
    known = _current(state, body.instance, body.version)
    if not known.is_withdrawn:
        raise RefusedError(Refusal.NOT_WITHDRAWN, body.instance)
    if known.phase not in _REMOVABLE:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{known.phase} cannot be removed")
    for wave in list(state.waves.values()):
        if body.instance in wave.waiting:
            set_aside(state, wave, body.instance, "withdrawn")
    state.instances = table_without(state.instances, [body.instance])


def _current(state: FleetState, instance: str, version: int) -> InstanceState:
    known = state.instances.get(instance)
    if known is None:
        raise RefusedError(Refusal.NO_SUCH_INSTANCE, instance)
    if known.version != version:
        raise RefusedError(Refusal.VERSION_CONFLICT, f"{instance} is at version {known.version}")
    return known


def _check_budget(state: FleetState, known: InstanceState) -> None:
    pool = state.pools.get(known.pool)
    if pool is None:
        return
    left = state.serving_count(known.pool) - 1
    if left < pool.min_serving:
        message = f"{known.pool} would serve with {left} of {pool.min_serving}"
        raise RefusedError(Refusal.BUDGET_BROKEN, message)


def _check_target(state: FleetState, known: InstanceState, target: str) -> None:
    pool = state.pools.get(target)
    if pool is None or target in state.leaving_pools:
        raise RefusedError(Refusal.NO_SUCH_POOL, target)
    if not is_fit(known, pool):
        raise RefusedError(Refusal.INSTANCE_UNFIT, f"{target} needs more accelerators")


def is_fit(known: InstanceState, pool: Pool) -> bool:
    """Return whether an instance has what a pool needs."""
    return known.spec.accelerators >= pool.needs_accelerators


def _target_kept(known: InstanceState, body: InstanceStepped) -> str | None:
    if body.phase is InstancePhase.DRAINING:
        return body.target_pool
    return None if body.phase is InstancePhase.RETURNING else known.target_pool


def _wave_kept(known: InstanceState, phase: InstancePhase) -> str | None:
    return None if phase is InstancePhase.SERVING else known.wave


def _stalls(known: InstanceState, body: InstanceStepped) -> int:
    if body.phase is InstancePhase.DRAINED:
        return 0
    is_given_up = known.phase is InstancePhase.DRAINING and body.is_stalled
    return known.stalls + is_given_up


def _maintained_offset(known: InstanceState, body: InstanceStepped, context: FoldContext) -> int:
    is_back = known.phase is InstancePhase.REBOOTING and body.phase is InstancePhase.RETURNING
    return context.offset if is_back else known.maintained_offset


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
