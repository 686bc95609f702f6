"""``GET /statusz``: what an entry knows about itself."""

import msgspec

from almondstack.entry.parts import EntryParts

__all__ = ["EntryStatus", "status_of"]


class EntryStatus(msgspec.Struct, frozen=True):
    """State of one entry, as JSON.

    Parameters
    ----------
    incarnation, zone, region : str
        Who it is.
    next_offset : int
        Offset of the next record that it will fold.
    revision : int
        Configuration in force.
    is_cut_off : bool
        True if it hears neither the log nor another zone.
    is_fenced, is_stopping : bool
        Why it may refuse everything.
    under_way : int
        Requests that wait, run or are being answered.
    counters : dict of str to int
        Every outcome, refusal and retry reason.
    """

    incarnation: str
    zone: str
    region: str
    next_offset: int
    revision: int
    is_cut_off: bool
    is_fenced: bool
    is_stopping: bool
    under_way: int
    counters: dict[str, int]


def status_of(parts: EntryParts) -> EntryStatus:
    """Return the state of an entry."""
    return EntryStatus(
        incarnation=parts.incarnation,
        zone=parts.settings.node.zone,
        region=parts.settings.node.region,
        next_offset=parts.fold.next_offset,
        revision=parts.fold.state.revision,
        is_cut_off=parts.connectivity.is_cut_off,
        is_fenced=parts.is_fenced,
        is_stopping=parts.is_stopping,
        under_way=parts.calls.count,
        counters=parts.metrics.totals(),
    )
