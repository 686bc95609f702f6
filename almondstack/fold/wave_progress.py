"""What a step of an instance means for the wave that it belongs to."""

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


def check_wave_step(state: FleetState, known: InstanceState, name: str) -> None:
    """Refuse a drain for a wave that does not run or does not wait for the instance.

    Raises
    ------
    RefusedError
        The wave or its member is in another phase.
    """
    wave = state.waves.get(name)
    if wave is None:
        raise RefusedError(Refusal.NO_SUCH_WAVE, name)
    if not wave.is_running:
        raise RefusedError(Refusal.WAVE_NOT_OPEN, f"{name} is {wave.phase}")
    is_rebooted = known.maintained_offset > wave.started_offset
    if is_rebooted or known.name not in wave.waiting:
        raise RefusedError(Refusal.NOT_WAITING_IN_WAVE, known.name)


def check_wave_reboot(state: FleetState, known: InstanceState) -> None:
    """Refuse a reboot that no open wave asks for.

    Raises
    ------
    RefusedError
        The instance is in no wave, or its wave stopped or was aborted.
    """
    wave = state.waves.get(known.wave or "")
    if wave is None:
        raise RefusedError(Refusal.NO_SUCH_WAVE, f"{known.name} is in no wave")
    if not wave.is_open:
        raise RefusedError(Refusal.WAVE_NOT_OPEN, f"{wave.name} is {wave.phase}")
    if known.name not in wave.waiting:
        raise RefusedError(Refusal.NOT_WAITING_IN_WAVE, known.name)


def record_wave_return(state: FleetState, known: InstanceState, context: FoldContext) -> None:
    """Count an instance that serves again after its reboot as done.

    Explanation
    -----------
    The instance need not be in the hands of the wave any more: a drain for
    another purpose may have come between its reboot and serving again.
    """
    for wave in list(state.waves.values()):
        is_rebooted = known.maintained_offset > wave.started_offset
        if is_rebooted and known.name in wave.waiting:
            done = {**wave.done, known.name: context.offset}
            state.waves[wave.name] = msgspec.structs.replace(wave, done=done)


def record_wave_failure(
    state: FleetState, known: InstanceState, body: InstanceObserved, context: FoldContext
) -> None:
    """Set aside an instance that broke in a wave, and stop the wave at its threshold."""
    wave = state.waves.get(known.wave or "")
    if wave is None or known.name not in wave.waiting:
        return
    set_aside(state, wave, known.name, f"{body.phase} while {known.phase}: {body.evidence}")
    if known.phase is InstancePhase.REBOOTING or _is_back_from_reboot(wave, known):
        _count_return_failure(state, wave.name, context)


def _is_back_from_reboot(wave: WaveState, known: InstanceState) -> bool:
    is_rebooted = known.maintained_offset > wave.started_offset
    return known.phase is InstancePhase.RETURNING and is_rebooted


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
    """Give up one instance of a wave."""
    given_up = {**wave.set_aside, instance: reason}
    state.waves[wave.name] = msgspec.structs.replace(wave, set_aside=given_up)
