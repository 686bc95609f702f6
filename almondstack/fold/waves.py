"""Fold functions of the records that start or change a wave or exclude an instance from it."""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.fold.tables import table_with
from almondstack.fold.wave_progress import set_aside
from almondstack.model import (
    FleetState,
    InstancePhase,
    WaveChanged,
    WavePhase,
    WaveSetAside,
    WaveSpec,
    WaveStarted,
    WaveState,
)

__all__ = ["wave_members"]

_NEXT_PHASES: dict[WavePhase, frozenset[WavePhase]] = {
    WavePhase.RUNNING: frozenset({WavePhase.PAUSED, WavePhase.ABORTED, WavePhase.ENDED}),
    WavePhase.PAUSED: frozenset({WavePhase.RUNNING, WavePhase.ABORTED}),
    WavePhase.STOPPED: frozenset({WavePhase.RUNNING, WavePhase.ABORTED}),
    WavePhase.ABORTED: frozenset(),
    WavePhase.ENDED: frozenset(),
}


@fold_body.register
def _(body: WaveStarted, state: FleetState, context: FoldContext) -> None:
    spec = body.spec
    if spec.name in state.waves:
        raise RefusedError(Refusal.WAVE_EXISTS, spec.name)
    for pool in spec.pools:
        if pool not in state.pools:
            raise RefusedError(Refusal.NO_SUCH_POOL, pool)
    members = wave_members(state, spec)
    if not members:
        raise RefusedError(Refusal.WAVE_EMPTY, spec.name)
    _check_overlap(state, members)
    wave = WaveState(
        spec=spec,
        members=members,
        version=context.offset,
        started_offset=context.offset,
        reason=f"started by {body.operator}" if body.operator else "started",
    )
    state.waves = table_with(state.waves, spec.name, wave)


def wave_members(state: FleetState, spec: WaveSpec) -> tuple[str, ...]:
    """Return the names of the instances that a wave started now would include, sorted."""
    names = (
        item.name
        for item in state.instances.values()
        if not item.is_withdrawn and (not spec.pools or item.pool in spec.pools)
    )
    return tuple(sorted(names))


def _check_overlap(state: FleetState, members: tuple[str, ...]) -> None:
    for other in state.waves.values():
        is_closed = other.phase in (WavePhase.ABORTED, WavePhase.ENDED)
        if not is_closed and set(members).intersection(other.waiting):
            raise RefusedError(Refusal.WAVE_OVERLAPS, other.name)


@fold_body.register
def _(body: WaveChanged, state: FleetState, context: FoldContext) -> None:
    wave = state.waves.get(body.wave)
    if wave is None:
        raise RefusedError(Refusal.NO_SUCH_WAVE, body.wave)
    if wave.version != body.version:
        raise RefusedError(Refusal.VERSION_CONFLICT, f"{wave.name} is at version {wave.version}")
    if body.phase not in _NEXT_PHASES[wave.phase]:
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{wave.phase} to {body.phase}")
    if body.phase is WavePhase.ENDED and wave.waiting:
        raise RefusedError(Refusal.WAVE_NOT_FINISHED, f"{len(wave.waiting)} instances wait")
    is_restarted = wave.phase is WavePhase.STOPPED and body.phase is WavePhase.RUNNING
    state.waves[wave.name] = msgspec.structs.replace(
        wave,
        phase=body.phase,
        version=context.offset,
        reason=body.reason,
        return_failures=0 if is_restarted else wave.return_failures,
    )


@fold_body.register
def _(body: WaveSetAside, state: FleetState, context: FoldContext) -> None:
    wave = state.waves.get(body.wave)
    if wave is None:
        raise RefusedError(Refusal.NO_SUCH_WAVE, body.wave)
    if body.instance not in wave.waiting:
        raise RefusedError(Refusal.NOT_WAITING_IN_WAVE, body.instance)
    current = state.instances.get(body.instance)
    if current is not None and current.phase in (InstancePhase.REBOOTING, InstancePhase.RETURNING):
        raise RefusedError(Refusal.PHASE_NOT_REACHABLE, f"{current.phase} goes on")
    set_aside(state, wave, body.instance, body.reason)


@subject_of.register
def _(body: WaveStarted) -> str:
    return f"wave/{body.spec.name}"


@subject_of.register
def _(body: WaveChanged) -> str:
    return f"wave/{body.wave}"


@subject_of.register
def _(body: WaveSetAside) -> str:
    return f"wave/{body.wave}"
