"""Fold functions of the records of permits.

Explanation
-----------
``unallocated = max(0, bound - drawn by all)``, with the bound taken from the
configuration in force, so no record is needed when an operator changes it.  If
more permits are drawn than the new bound allows, the difference is the debt:
no permit can be drawn, and holders return permits until the debt is zero.  Some
of the unallocated permits are reserved for zones that are below their floor.
"""

import msgspec

from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.permits_floors import available_count
from almondstack.fold.permits_settlement import add_drawn, release_ended
from almondstack.fold.refusals import Refusal, RefusedError
from almondstack.model import (
    EntryEnded,
    EntryState,
    FleetState,
    PermitAccount,
    PermitsDrawn,
    PermitsReturned,
    PermitsSettled,
)

__all__: list[str] = []


@fold_body.register
def _(body: PermitsDrawn, state: FleetState, context: FoldContext) -> None:
    author = _live_author(state, context)
    _check_counts(body)
    granted = 0
    for item in body.items:
        count = min(item.count, available_count(state, item.resource, author.zone))
        if count > 0:
            add_drawn(state, item.resource, author.incarnation, count)
            granted += count
    if not granted:
        raise RefusedError(Refusal.PERMITS_EXHAUSTED)


@fold_body.register
def _(body: PermitsReturned, state: FleetState, context: FoldContext) -> None:
    author = _live_author(state, context)
    _check_counts(body)
    for item in body.items:
        if item.count > state.permits.get(item.resource, PermitAccount()).total:
            raise RefusedError(Refusal.PERMITS_NOT_DRAWN, item.resource)
    for item in body.items:
        add_drawn(state, item.resource, author.incarnation, -item.count)


@fold_body.register
def _(body: PermitsSettled, state: FleetState, context: FoldContext) -> None:
    author = context.envelope.author
    settlement = state.settlements.get(body.incarnation)
    if settlement is None or author not in settlement.waiting:
        raise RefusedError(Refusal.NOTHING_TO_SETTLE, body.incarnation)
    for item in body.items:
        transferred = item.given - item.received
        add_drawn(state, item.resource, body.incarnation, transferred)
        add_drawn(state, item.resource, author, -transferred)
    waiting = tuple(name for name in settlement.waiting if name != author)
    state.settlements[body.incarnation] = msgspec.structs.replace(settlement, waiting=waiting)
    release_ended(state)


@fold_body.register
def _(body: EntryEnded, state: FleetState, context: FoldContext) -> None:
    settlement = state.settlements.get(body.incarnation)
    if settlement is None or settlement.is_ended:
        raise RefusedError(Refusal.NOTHING_TO_SETTLE, body.incarnation)
    state.settlements[body.incarnation] = msgspec.structs.replace(settlement, is_ended=True)
    release_ended(state)


def _live_author(state: FleetState, context: FoldContext) -> EntryState:
    entry = state.entries.get(context.envelope.author)
    if entry is None:
        raise RefusedError(Refusal.NO_SUCH_ENTRY, context.envelope.author)
    if not entry.is_live:
        raise RefusedError(Refusal.ENTRY_NOT_LIVE, entry.phase.value)
    return entry


def _check_counts(body: PermitsDrawn | PermitsReturned) -> None:
    names = {item.resource for item in body.items}
    if len(names) < len(body.items) or any(item.count < 1 for item in body.items):
        raise RefusedError(Refusal.MALFORMED)


@subject_of.register
def _(body: PermitsSettled) -> str:
    return f"entry/{body.incarnation}"


@subject_of.register
def _(body: EntryEnded) -> str:
    return f"entry/{body.incarnation}"
