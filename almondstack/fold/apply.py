"""Generic functions that are dispatched on the type of a record's body.

Explanation
-----------
Each kind of record registers its own implementation of :func:`fold_body`.  An
implementation must not read a clock, a random source or process-local state,
and must check every condition before it writes.  It raises
:class:`~almondstack.fold.refusals.RefusedError` to refuse a record.
"""

from functools import singledispatch

import msgspec

from almondstack.model import Envelope, FleetState

__all__ = ["FoldContext", "fold_body", "subject_of"]


class FoldContext(msgspec.Struct, frozen=True):
    """Offset and envelope of the record that a fold function applies."""

    offset: int
    envelope: Envelope


@singledispatch
def fold_body(body: object, state: FleetState, context: FoldContext) -> None:
    """Apply the body of one record to the state.

    Parameters
    ----------
    body : object
        Decoded body; its type selects the implementation.
    state : FleetState
        Updated in place; its values are replaced, never mutated.
    context : FoldContext
        Offset and envelope of the record.

    Raises
    ------
    RefusedError
        A precondition of the record does not hold; the state is unchanged.
    """
    raise TypeError(f"no fold function is registered for {type(body).__name__}")


@singledispatch
def subject_of(body: object) -> str:
    """Return the object that a record changes, as ``kind/name``; empty if it names none."""
    return ""
