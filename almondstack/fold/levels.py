"""Fold function of the record that raises the format level."""

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.model import FleetState, LevelRaised

__all__: list[str] = []


@fold_body.register
def _(body: LevelRaised, state: FleetState, context: FoldContext) -> None:
    if body.level <= state.level:
        raise RefusedError(Refusal.LEVEL_IN_FORCE, f"level {state.level} is in force")
    if body.level > state.level + 1:
        raise RefusedError(Refusal.LEVEL_NOT_SUPPORTED, f"level {state.level + 1} comes first")
    lagging = [entry.incarnation for entry in state.live_entries() if entry.level < body.level]
    if lagging:
        raise RefusedError(Refusal.LEVEL_NOT_SUPPORTED, f"{lagging[0]} does not support it")
    state.level = body.level


@subject_of.register
def _(body: LevelRaised) -> str:
    return "config/level"
