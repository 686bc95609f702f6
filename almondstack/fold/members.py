"""Fold functions of the membership records of entry incarnations."""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.permits_settlement import open_settlement
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.fold.tables import table_with
from almondstack.model import (
    EntryFenced,
    EntryJoined,
    EntryLeft,
    EntryPhase,
    EntryState,
    FleetState,
)

__all__: list[str] = []


@fold_body.register
def _(body: EntryJoined, state: FleetState, context: FoldContext) -> None:
    if body.incarnation in state.entries:
        raise RefusedError(Refusal.ENTRY_EXISTS, body.incarnation)
    if body.level < state.level:
        raise RefusedError(Refusal.LEVEL_NOT_SUPPORTED, f"level {state.level} is in force")
    entry = EntryState(
        incarnation=body.incarnation,
        name=body.name,
        zone=body.zone,
        region=body.region,
        address=body.address,
        peer_address=body.peer_address,
        level=body.level,
        version=context.offset,
    )
    state.entries = table_with(state.entries, body.incarnation, entry)


@fold_body.register
def _(body: EntryLeft, state: FleetState, context: FoldContext) -> None:
    _end_entry(state, body.incarnation, EntryPhase.LEFT, "left", context)


@fold_body.register
def _(body: EntryFenced, state: FleetState, context: FoldContext) -> None:
    _end_entry(state, body.incarnation, EntryPhase.FENCED, body.evidence, context)


def _end_entry(
    state: FleetState, incarnation: str, phase: EntryPhase, evidence: str, context: FoldContext
) -> None:
    entry = state.entries.get(incarnation)
    if entry is None:
        raise RefusedError(Refusal.NO_SUCH_ENTRY, incarnation)
    if not entry.is_live:
        raise RefusedError(Refusal.ENTRY_NOT_LIVE, entry.phase.value)
    state.entries[incarnation] = msgspec.structs.replace(
        entry, phase=phase, evidence=evidence, version=context.offset
    )
    open_settlement(state, incarnation, is_ended=phase is EntryPhase.LEFT)


@subject_of.register
def _(body: EntryJoined) -> str:
    return f"entry/{body.incarnation}"


@subject_of.register
def _(body: EntryLeft) -> str:
    return f"entry/{body.incarnation}"


@subject_of.register
def _(body: EntryFenced) -> str:
    return f"entry/{body.incarnation}"
