"""Checks and updates of the maintenance wave to which a stepped instance belongs."""

import msgspec

from almondstack.fold.apply import FoldContext
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.model import (
    FleetState,
    InstanceObserved,
    InstancePhase,
    InstanceState,
    WavePhase,
    WaveState,
)

__all__ = [
    "check_wave_reboot",
    "check_wave_step",
    "record_wave_failure",
    "record_wave_return",
    "set_aside",
]


def check_wave_step(state: FleetState, current: InstanceState, name: str) -> None:
    """Refuse a drain for a wave that is not running or not waiting for the instance.

    Raises
    ------
    RefusedError
        The wave does not exist or is not running, or the instance is no member
        that still waits for its reboot.
    """
    wave = state.waves.get(name)
    if wave is None:
        raise RefusedError(Refusal.NO_SUCH_WAVE, name)
    if not wave.is_running:
        raise RefusedError(Refusal.WAVE_NOT_OPEN, f"{name} is {wave.phase}")
    is_rebooted = current.maintained_offset > wave.started_offset
    if is_rebooted or current.name not in wave.waiting:
        raise RefusedError(Refusal.NOT_WAITING_IN_WAVE, current.name)


def check_wave_reboot(state: FleetState, current: InstanceState) -> None:
    """Refuse a reboot that no open wave requires.

    Raises
    ------
    RefusedError
        The instance is in no wave or is not waiting in it, or the wave is
        not open.
    """
    wave = state.waves.get(current.wave or "")
    if wave is None:
        raise RefusedError(Refusal.NO_SUCH_WAVE, f"{current.name} is in no wave")
    if not wave.is_open:
        raise RefusedError(Refusal.WAVE_NOT_OPEN, f"{wave.name} is {wave.phase}")
    if current.name not in wave.waiting:
        raise RefusedError(Refusal.NOT_WAITING_IN_WAVE, current.name)


def record_wave_return(state: FleetState, current: InstanceState, context: FoldContext) -> None:
    """Mark an instance that serves again after its reboot as done.

    Explanation
    -----------
    All waves are checked rather than ``current.wave`` alone: a drain for
    another purpose between the reboot and serving replaces that field.
    """
    for wave in list(state.waves.values()):
        is_rebooted = current.maintained_offset > wave.started_offset
        if is_rebooted and current.name in wave.waiting:
            done = {**wave.done, current.name: context.offset}
            state.waves[wave.name] = msgspec.structs.replace(wave, done=done)


def record_wave_failure(
    state: FleetState, current: InstanceState, body: InstanceObserved, context: FoldContext
) -> None:
    """Set aside an instance that failed during a wave; stop the wave at its failure threshold."""
    wave = state.waves.get(current.wave or "")
    if wave is None or current.name not in wave.waiting:
        return
    set_aside(state, wave, current.name, f"{body.phase} while {current.phase}: {body.evidence}")
    if current.phase is InstancePhase.REBOOTING or _is_returning_from_reboot(wave, current):
        _count_return_failure(state, wave.name, context)


def _is_returning_from_reboot(wave: WaveState, current: InstanceState) -> bool:
    is_rebooted = current.maintained_offset > wave.started_offset
    return current.phase is InstancePhase.RETURNING and is_rebooted


def _count_return_failure(state: FleetState, name: str, context: FoldContext) -> None:
    wave = state.waves[name]
    failures = wave.return_failures + 1
    if not wave.is_open or failures < wave.spec.failure_threshold:
        state.waves[name] = msgspec.structs.replace(wave, return_failures=failures)
        return
    state.waves[name] = msgspec.structs.replace(
        wave,
        return_failures=failures,
        phase=WavePhase.STOPPED,
        version=context.offset,
        reason=f"{failures} instances failed on return",
    )


def set_aside(state: FleetState, wave: WaveState, instance: str, reason: str) -> None:
    """Exclude one instance from a wave and record the reason."""
    excluded = {**wave.set_aside, instance: reason}
    state.waves[wave.name] = msgspec.structs.replace(wave, set_aside=excluded)
