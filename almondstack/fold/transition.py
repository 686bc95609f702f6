"""Transition function of the replicated state machine: applies one record.

Explanation
-----------
The result depends only on the state, the record and its offset, never on a
clock or a random source, so that all replicas agree.  The order of the checks
is part of the record format.
"""

from typing import Any

import msgspec

from almondstack.core import CodecError
from almondstack.fold.apply import FoldContext, fold_body, subject_of
from almondstack.fold.pruning import prune, remove_empty_pools
from almondstack.fold.refusals import Refusal, RefusedError, Verdict
from almondstack.fold.tables import table_with
from almondstack.model import (
    REPEAT_WINDOW_RECORDS,
    AuthorPosition,
    Envelope,
    FleetState,
    RecordRegistry,
    decode_envelope,
)

__all__ = ["Transition", "apply_record"]

# These errors follow from the state and the record alone, so every replica refuses the record
# with the same verdict.  Any other error propagates.
_DETERMINISTIC_ERRORS = (LookupError, ValueError, TypeError, AttributeError, ArithmeticError)


class Transition(msgspec.Struct, frozen=True):
    """Verdict on a record, and its body if it was decoded."""

    verdict: Verdict
    body: Any = None


def apply_record(
    state: FleetState, registry: RecordRegistry, offset: int, data: bytes
) -> Transition:
    """Apply one record to ``state`` in place, then prune the state.

    A record whose envelope is valid advances its author's position even if its body
    is refused.
    """
    transition = _apply_envelope(state, registry, offset, data)
    remove_empty_pools(state)
    prune(state, offset)
    return transition


def _apply_envelope(
    state: FleetState, registry: RecordRegistry, offset: int, data: bytes
) -> Transition:
    try:
        envelope = decode_envelope(data)
    except CodecError as error:
        return Transition(Verdict(offset, "", 0, "", Refusal.MALFORMED, error.detail))
    refusal = _check_envelope(state, offset, envelope)
    if refusal is not None:
        return Transition(_verdict(offset, envelope, refusal))
    position = AuthorPosition(envelope.sequence, offset)
    state.authors = table_with(state.authors, envelope.author, position)
    return _apply_body(state, registry, offset, envelope)


def _check_envelope(state: FleetState, offset: int, envelope: Envelope) -> Refusal | None:
    if envelope.sequence <= state.last_sequence(envelope.author):
        return Refusal.REPEATED
    if not 0 <= envelope.base <= offset:
        return Refusal.MALFORMED
    if offset - envelope.base > REPEAT_WINDOW_RECORDS:
        return Refusal.TOO_OLD
    return None


def _apply_body(
    state: FleetState, registry: RecordRegistry, offset: int, envelope: Envelope
) -> Transition:
    if envelope.level > state.level:
        return Transition(_verdict(offset, envelope, Refusal.LEVEL_TOO_HIGH))
    try:
        body = registry.decode_body(envelope)
    except CodecError as error:
        return Transition(_verdict(offset, envelope, Refusal.MALFORMED, error.detail))
    if body is None:
        return Transition(_verdict(offset, envelope, Refusal.UNKNOWN_KIND, envelope.kind))
    if envelope.level != registry.level_of(envelope.kind):
        return Transition(_verdict(offset, envelope, Refusal.MALFORMED, "wrong level"), body)
    return Transition(_fold(state, offset, envelope, body), body)


def _fold(state: FleetState, offset: int, envelope: Envelope, body: Any) -> Verdict:
    subject = subject_of(body)
    try:
        fold_body(body, state, FoldContext(offset, envelope))
    except RefusedError as error:
        return _verdict(offset, envelope, error.refusal, error.detail, subject)
    except _DETERMINISTIC_ERRORS as error:
        return _verdict(offset, envelope, Refusal.FAULT, type(error).__name__, subject)
    return _verdict(offset, envelope, None, "", subject)


def _verdict(
    offset: int,
    envelope: Envelope,
    refusal: Refusal | None,
    detail: str = "",
    subject: str = "",
) -> Verdict:
    return Verdict(
        offset, envelope.author, envelope.sequence, envelope.kind, refusal, detail, subject
    )
