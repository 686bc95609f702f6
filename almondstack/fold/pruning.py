"""Pruning of the folded state, by distance in the log and never by a clock.

Explanation
-----------
Every replica prunes at the same offsets, so that the states stay equal.  An
author is removed once every record that it wrote earlier would be refused as
too old (see ``base`` in :class:`~almondstack.model.Envelope`); the author of an
entry's records stays as long as the entry is in the state.
"""

from typing import Protocol, TypeVar

from almondstack.fold.tables import table_without
from almondstack.model import REPEAT_WINDOW_RECORDS, FleetState

__all__ = ["PRUNE_EVERY_RECORDS", "prune", "remove_empty_pools"]

PRUNE_EVERY_RECORDS = 256


class _HasOffset(Protocol):
    """A value that holds the offset of its last change."""

    @property
    def offset(self) -> int: ...


M = TypeVar("M", bound=_HasOffset)


def prune(state: FleetState, offset: int) -> None:
    """Remove values last changed more than the repeat window before ``offset``.

    Explanation
    -----------
    Live entries, entries with an open settlement and the authors of both are
    kept.  Does nothing unless ``offset`` is a multiple of
    ``PRUNE_EVERY_RECORDS``.
    """
    if offset % PRUNE_EVERY_RECORDS != 0:
        return
    oldest = offset - REPEAT_WINDOW_RECORDS
    state.entries = {
        name: entry
        for name, entry in state.entries.items()
        if entry.is_live or entry.version >= oldest or name in state.settlements
    }
    state.authors = {
        name: position
        for name, position in state.authors.items()
        if position.offset >= oldest or name in state.entries
    }
    state.leaving_teams = _changed_since(state.leaving_teams, oldest)
    state.leaving_queues = _changed_since(state.leaving_queues, oldest)


def remove_empty_pools(state: FleetState) -> None:
    """Remove withdrawn pools that no longer own an instance."""
    if not state.leaving_pools:
        return
    owners = {item.pool for item in state.instances.values()}
    empty = [name for name in state.leaving_pools if name not in owners]
    state.leaving_pools = table_without(state.leaving_pools, empty)
    state.pools = table_without(state.pools, empty)


def _changed_since(table: dict[str, M], oldest: int) -> dict[str, M]:
    return {name: value for name, value in table.items() if value.offset >= oldest}
