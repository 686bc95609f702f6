"""The section of ``/statusz`` on peers and held permits."""

import msgspec

from almondstack.fold import Fold
from almondstack.peers import PeerNode
from almondstack.permits import ceiling_resource

__all__ = ["HeldPermits", "PeerStatus", "peer_status_of"]


class HeldPermits(msgspec.Struct, frozen=True):
    """Number of permits of one resource that an entry holds, and of those not in use."""

    resource: str
    held: int
    free: int


class PeerStatus(msgspec.Struct, frozen=True):
    """State of an entry's links to its peers, and its share of the ceilings.

    Parameters
    ----------
    reach : str
        How the entry receives log records: connected, relayed, log-outage, cut-off.
    heard : tuple of str
        Incarnations of which messages were received recently.
    silent_zones : tuple of str
        Zones of which no entry was heard recently.
    ceilings : tuple of HeldPermits
        Held permits of each team's ceiling.
    """

    reach: str = "connected"
    heard: tuple[str, ...] = ()
    silent_zones: tuple[str, ...] = ()
    ceilings: tuple[HeldPermits, ...] = ()


def peer_status_of(peers: PeerNode, fold: Fold) -> PeerStatus:
    """Return the state of the peers and the permits that the entry holds of each ceiling."""
    heard = [
        entry.incarnation
        for entry in peers.roster.live_peers()
        if peers.roster.has_recent_frame(entry.incarnation)
    ]
    names = [ceiling_resource(team) for team in sorted(fold.state.teams)]
    ceilings = [
        HeldPermits(name, peers.permits.held_count(name), peers.permits.free_count(name))
        for name in names
    ]
    return PeerStatus(
        reach=peers.connectivity.state.value,
        heard=tuple(heard),
        silent_zones=peers.connectivity.silent_zones(),
        ceilings=tuple(ceilings),
    )
