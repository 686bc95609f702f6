"""The generic fold function; each kind of record registers its own.

Explanation
-----------
:func:`fold_body` must not read a clock, a random source or local state, and
must check every condition before it writes.  It raises
:class:`~almondstack.fold.refusals.RefusedError` to refuse a record.
"""

from functools import singledispatch

import msgspec

from almondstack.model import Envelope, FleetState

__all__ = ["FoldContext", "fold_body", "subject_of"]


class FoldContext(msgspec.Struct, frozen=True):
    """Where a record stands: all that a fold function may know besides the state."""

    offset: int
    envelope: Envelope


@singledispatch
def fold_body(body: object, state: FleetState, context: FoldContext) -> None:
    """Apply one record's body to the state.

    Parameters
    ----------
    body : object
        The decoded body; its type selects the implementation.
    state : FleetState
        Changed in place by replacing values.
    context : FoldContext
        Offset and envelope of the record.

    Raises
    ------
    RefusedError
        A condition of the record does not hold; the state is unchanged.
    """
    raise TypeError(f"no fold for {type(body).__name__}")


@singledispatch
def subject_of(body: object) -> str:
    """Return what a record is about, as ``kind/name``; empty if nothing."""
    return ""
