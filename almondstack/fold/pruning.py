"""What the fold forgets, by distance in the log and never by a clock.

Explanation
-----------
Every reader prunes at the same offsets, so that the states stay equal.  An
author is forgotten once no record that it wrote earlier can be taken any more
(see ``base`` in :class:`~almondstack.model.Envelope`); that of an entry stays
as long as the entry is remembered.
"""

from typing import Protocol, TypeVar

from almondstack.fold.tables import table_without
from almondstack.model import REPEAT_WINDOW_RECORDS, FleetState

__all__ = ["PRUNE_EVERY_RECORDS", "prune", "settle_pools"]

PRUNE_EVERY_RECORDS = 256


class _Marked(Protocol):
    """A value that remembers the offset of its last change."""

    @property
    def offset(self) -> int: ...


M = TypeVar("M", bound=_Marked)


def prune(state: FleetState, offset: int) -> None:
    """Forget what lies more than the repeat window before ``offset``."""
    if offset % PRUNE_EVERY_RECORDS != 0:
        return
    oldest = offset - REPEAT_WINDOW_RECORDS
    state.entries = {
        name: entry
        for name, entry in state.entries.items()
        if entry.is_live or entry.version >= oldest or name in state.settlements
    }
    state.authors = {
        name: mark
        for name, mark in state.authors.items()
        if mark.offset >= oldest or name in state.entries
    }
    state.leaving_teams = _since(state.leaving_teams, oldest)
    state.leaving_queues = _since(state.leaving_queues, oldest)


def settle_pools(state: FleetState) -> None:
    """Remove withdrawn pools that own no instance any more."""
    if not state.leaving_pools:
        return
    owners = {item.pool for item in state.instances.values()}
    empty = [name for name in state.leaving_pools if name not in owners]
    state.leaving_pools = table_without(state.leaving_pools, empty)
    state.pools = table_without(state.pools, empty)


def _since(table: dict[str, M], oldest: int) -> dict[str, M]:
    return {name: mark for name, mark in table.items() if mark.offset >= oldest}
