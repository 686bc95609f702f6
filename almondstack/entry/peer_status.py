"""What ``/statusz`` tells of peers and permits."""

import msgspec

from almondstack.fold import Fold
from almondstack.peers import PeerNode
from almondstack.permits import ceiling_resource

__all__ = ["HeldPermits", "PeerStatus", "peer_status_of"]


class HeldPermits(msgspec.Struct, frozen=True):
    """Permits of one resource that an entry holds, and those not in use."""

    resource: str
    held: int
    free: int


class PeerStatus(msgspec.Struct, frozen=True):
    """What an entry says of its peers and of its part of the ceilings.

    Parameters
    ----------
    reach : str
        How it learns what the log says: connected, relayed, log-outage, cut-off.
    heard : tuple of str
        Incarnations that it heard of late.
    silent_zones : tuple of str
        Zones of which it hears nobody.
    ceilings : tuple of HeldPermits
        Permits of the teams' ceilings.
    """

    reach: str = "connected"
    heard: tuple[str, ...] = ()
    silent_zones: tuple[str, ...] = ()
    ceilings: tuple[HeldPermits, ...] = ()


def peer_status_of(peers: PeerNode, fold: Fold) -> PeerStatus:
    """Return what an entry knows of its peers and holds of each ceiling."""
    heard = [
        entry.incarnation
        for entry in peers.roster.others()
        if peers.roster.is_heard(entry.incarnation)
    ]
    names = [ceiling_resource(team) for team in sorted(fold.state.teams)]
    ceilings = [
        HeldPermits(name, peers.permits.held_count(name), peers.permits.free_count(name))
        for name in names
    ]
    return PeerStatus(
        reach=peers.connectivity.reach.value,
        heard=tuple(heard),
        silent_zones=peers.connectivity.silent_zones(),
        ceilings=tuple(ceilings),
    )
