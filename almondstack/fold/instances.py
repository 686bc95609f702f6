"""Fold of the records of upstream instances.

Explanation
-----------
A planned step names the version of the instance it was planned from, and the
step out of serving is refused when the pool's availability budget would not
hold at that offset.  Failed, unseen, leaving and moving instances do not count
as serving.
"""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.model import (
    FleetState,
    InstanceMoved,
    InstanceObserved,
    InstancePhase,
    InstanceState,
    InstanceStepped,
)

__all__ = ["NEXT_PHASES"]

NEXT_PHASES: dict[InstancePhase, frozenset[InstancePhase]] = {
    InstancePhase.SERVING: frozenset({InstancePhase.DRAINING}),
    InstancePhase.DRAINING: frozenset({InstancePhase.DRAINED, InstancePhase.SERVING}),
    InstancePhase.DRAINED: frozenset({InstancePhase.REBOOTING, InstancePhase.RETURNING}),
    InstancePhase.REBOOTING: frozenset({InstancePhase.RETURNING}),
    InstancePhase.RETURNING: frozenset({InstancePhase.SERVING, InstancePhase.DRAINING}),
    InstancePhase.FAILED: frozenset({InstancePhase.REBOOTING, InstancePhase.RETURNING}),
    InstancePhase.UNSEEN: frozenset({InstancePhase.RETURNING}),
    InstancePhase.LEAVING: frozenset(),
}

_UNPLANNED = frozenset({InstancePhase.FAILED, InstancePhase.UNSEEN, InstancePhase.LEAVING})


@fold_body.register
def _(body: InstanceStepped, state: FleetState, context: FoldContext) -> None:
    known = _current(state, body.instance, body.version)
    if body.phase not in NEXT_PHASES[known.phase]:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{known.phase} to {body.phase}")
    if known.is_serving:
        _check_budget(state, known)
    if body.target_pool is not None and body.target_pool not in state.pools:
        raise RefusedError(Refusal.NO_SUCH_POOL, body.target_pool)
    if body.phase is InstancePhase.DRAINED and known.is_withdrawn:
        del state.instances[body.instance]
        return
    state.instances[body.instance] = msgspec.structs.replace(
        known,
        phase=body.phase,
        version=context.offset,
        wave=body.wave,
        target_pool=body.target_pool,
        reason=body.cause,
        maintained_offset=_maintained_offset(known, body, context),
    )


@fold_body.register
def _(body: InstanceMoved, state: FleetState, context: FoldContext) -> None:
    known = _current(state, body.instance, body.version)
    if known.phase is not InstancePhase.DRAINED:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{known.phase} cannot change owner")
    if body.pool not in state.pools:
        raise RefusedError(Refusal.NO_SUCH_POOL, body.pool)
    state.instances[body.instance] = msgspec.structs.replace(
        known, pool=body.pool, version=context.offset, target_pool=None, reason=body.cause
    )


@fold_body.register
def _(body: InstanceObserved, state: FleetState, context: FoldContext) -> None:
    known = _current(state, body.instance, body.version)
    if body.phase not in _UNPLANNED:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{body.phase} is not observed")
    state.instances[body.instance] = msgspec.structs.replace(
        known, phase=body.phase, version=context.offset, reason=body.evidence
    )


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
