"""Tells an outage of the log from being cut off.

Explanation
-----------
If the log is silent but a peer that is heard reads it, this entry is current
through that peer.  If nobody heard reads it and every zone is still heard, the
log is out.  Otherwise this entry may be cut off, and news that the rest of the
fleet has accepted may never have reached it.
"""

from enum import StrEnum

from almondstack.log import Follower
from almondstack.model import EntryState
from almondstack.peers.board import DigestBoard
from almondstack.peers.roster import Roster
from almondstack.peers.settings import PeerSettings
from almondstack.permits import EscrowPermits

__all__ = ["Connectivity", "Reach"]


class Reach(StrEnum):
    """How this entry learns what the log says."""

    CONNECTED = "connected"
    RELAYED = "relayed"
    LOG_OUTAGE = "log-outage"
    CUT_OFF = "cut-off"


class Connectivity:
    """Whether this entry hears the log and the other zones.

    Parameters
    ----------
    settings : PeerSettings
        Time bounds.
    zone : str
        Zone of this entry.
    follower : Follower
        Knows how long the log has been silent.
    roster : Roster
        Knows which peers are heard.
    board : DigestBoard
        Knows which peers read the log.
    permits : EscrowPermits
        Knows whether this process was paused.
    """

    __slots__ = ("_board", "_follower", "_permits", "_roster", "_settings", "_zone")

    def __init__(
        self,
        settings: PeerSettings,
        zone: str,
        follower: Follower,
        roster: Roster,
        board: DigestBoard,
        permits: EscrowPermits,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._follower = follower
        self._roster = roster
        self._board = board
        self._permits = permits

    @property
    def is_log_silent(self) -> bool:
        """True if the log service has not answered this entry for long."""
        return self._follower.contact_age_s > self._settings.log_silent_s

    @property
    def is_cut_off(self) -> bool:
        """True if this entry may have missed what others have accepted."""
        return self.reach is Reach.CUT_OFF

    @property
    def is_start_allowed(self) -> bool:
        """False while this entry may have been fenced without knowing it."""
        return self._permits.is_start_allowed

    @property
    def reach(self) -> Reach:
        """How this entry learns what the log says."""
        if not self.is_log_silent:
            return Reach.CONNECTED
        others = self._roster.others()
        heard = [entry for entry in others if self._roster.is_heard(entry.incarnation)]
        if any(self._reads_log(entry) for entry in heard):
            return Reach.RELAYED
        zones = {entry.zone for entry in others} - {self._zone}
        is_every_zone_heard = zones <= {entry.zone for entry in heard}
        return Reach.LOG_OUTAGE if is_every_zone_heard else Reach.CUT_OFF

    def silent_zones(self) -> tuple[str, ...]:
        """Return the other zones of which nobody is heard, for operators."""
        others = self._roster.others()
        heard = {item.zone for item in others if self._roster.is_heard(item.incarnation)}
        return tuple(sorted({item.zone for item in others} - heard - {self._zone}))

    def _reads_log(self, entry: EntryState) -> bool:
        digest = self._board.digest_of(entry.incarnation)
        is_fresh = self._board.news_age_s(entry.incarnation) <= self._settings.silent_s
        return digest is not None and digest.is_log_reachable and is_fresh
