"""State of an entry, served by ``GET /statusz``."""

from almondstack.entry.parts import EntryParts
from almondstack.entry.peer_status import PeerStatus
from almondstack.model import EntryStatus

__all__ = ["StatusPage", "status_of"]


class StatusPage(EntryStatus, frozen=True, kw_only=True):
    """State of one entry, as JSON.

    Parameters
    ----------
    region : str
        Region of the entry.
    is_fenced, is_stopping : bool
        Whether the entry refuses all requests, being fenced or shutting down.
    under_way : int
        Number of requests that wait, run or are being answered.
    counters : dict of str to int
        Counters of all outcomes, refusals and retry reasons.
    peers : PeerStatus
        State of peers and permits.
    """

    region: str
    is_fenced: bool
    is_stopping: bool
    under_way: int
    counters: dict[str, int]
    peers: PeerStatus


def status_of(parts: EntryParts) -> StatusPage:
    """Return the current state of an entry."""
    return StatusPage(
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
        peers=parts.peer_status(),
    )
