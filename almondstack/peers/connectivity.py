"""Distinguishes an outage of the log service from a network partition of this entry.

Explanation
-----------
If the log service does not answer this entry, but a responsive peer reads the
log, that peer relays the records.  If no responsive peer reads the log and
every other zone has a responsive peer, the log service is down.  Otherwise this
entry may be cut off from the rest of the fleet and may miss records that the
other entries have accepted.
"""

from enum import StrEnum

from almondstack.log import Follower
from almondstack.model import EntryState
from almondstack.peers.digest_store import DigestStore
from almondstack.peers.roster import Roster
from almondstack.peers.settings import PeerSettings
from almondstack.permits import EscrowPermits

__all__ = ["Connectivity", "ConnectivityState"]


class ConnectivityState(StrEnum):
    """How this entry receives log records."""

    CONNECTED = "connected"
    RELAYED = "relayed"
    LOG_OUTAGE = "log-outage"
    CUT_OFF = "cut-off"


class Connectivity:
    """Determines whether this entry can reach the log service and the other zones.

    Parameters
    ----------
    settings : PeerSettings
        Time-outs after which the log service or a peer counts as silent.
    zone : str
        Zone of this entry.
    follower : Follower
        Measures the time since the log service last answered.
    roster : Roster
        Lists the live peers and which of them sent a frame recently.
    digest_store : DigestStore
        Holds the digests of peers, which state whether they reach the log.
    permits : EscrowPermits
        Forbids starts after a pause of this process.
    """

    __slots__ = ("_digest_store", "_follower", "_permits", "_roster", "_settings", "_zone")

    def __init__(
        self,
        settings: PeerSettings,
        zone: str,
        follower: Follower,
        roster: Roster,
        digest_store: DigestStore,
        permits: EscrowPermits,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._follower = follower
        self._roster = roster
        self._digest_store = digest_store
        self._permits = permits

    @property
    def is_log_silent(self) -> bool:
        """True if the log service has not answered this entry for ``log_silent_s`` seconds."""
        return self._follower.contact_age_s > self._settings.log_silent_s

    @property
    def is_cut_off(self) -> bool:
        """True if this entry may have missed records that other entries have accepted."""
        return self.state is ConnectivityState.CUT_OFF

    @property
    def is_start_allowed(self) -> bool:
        """False while shutting down, or while a record that fences this entry may be unread."""
        return self._permits.is_start_allowed

    @property
    def state(self) -> ConnectivityState:
        """How this entry receives log records."""
        if not self.is_log_silent:
            return ConnectivityState.CONNECTED
        peers = self._roster.live_peers()
        responsive = [peer for peer in peers if self._roster.has_recent_frame(peer.incarnation)]
        if any(self._reads_log(peer) for peer in responsive):
            return ConnectivityState.RELAYED
        zones = {peer.zone for peer in peers} - {self._zone}
        is_every_zone_up = zones <= {peer.zone for peer in responsive}
        return ConnectivityState.LOG_OUTAGE if is_every_zone_up else ConnectivityState.CUT_OFF

    def silent_zones(self) -> tuple[str, ...]:
        """Return the other zones from which no peer sent a frame recently, for the status page."""
        peers = self._roster.live_peers()
        responsive = {
            peer.zone for peer in peers if self._roster.has_recent_frame(peer.incarnation)
        }
        return tuple(sorted({peer.zone for peer in peers} - responsive - {self._zone}))

    def _reads_log(self, peer: EntryState) -> bool:
        digest = self._digest_store.digest_of(peer.incarnation)
        is_fresh = self._digest_store.update_age_s(peer.incarnation) <= self._settings.silent_s
        return digest is not None and digest.is_log_reachable and is_fresh
