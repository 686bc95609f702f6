"""Tracks the peers of an entry, selects those to ping, and derives their status.

Explanation
-----------
Peers are found in the log, in digests, and by address alone in the settings and
in the platform's list.  Each interval pings the next few peers of a shuffled
round, as in SWIM (Das et al. 2002).  A newer digest that arrives through another
peer replaces SWIM's indirect probe and needs no extra message.
"""

import random
import threading
from enum import StrEnum

import msgspec

from almondstack.core import Clock
from almondstack.fold import Fold
from almondstack.model import EntryState
from almondstack.peers.digest_store import DigestStore
from almondstack.peers.settings import PeerSettings
from almondstack.peers.transport import PeerTransport

__all__ = ["PeerStatus", "PeerTarget", "Roster"]


class PeerStatus(StrEnum):
    """Status of a peer, as seen from this entry."""

    ALIVE = "alive"
    INDIRECT = "indirect"
    LEAVING = "leaving"
    PAUSED = "paused"
    DEAD = "dead"
    CUT_OFF = "cut-off"
    GONE = "gone"


class PeerTarget(msgspec.Struct, frozen=True):
    """Destination of a message; the incarnation is empty while only the address is known."""

    incarnation: str
    address: str


class Roster:
    """Tracks the peers of one incarnation.

    Parameters
    ----------
    settings : PeerSettings
        Seed addresses, number of peers per ping interval, and ``silent_s``.
    listen : str
        Peer address of this entry, which is never a target.
    incarnation : str
        This incarnation.
    fold : Fold
        Lists the entries that the log contains.
    digest_store : DigestStore
        Holds the latest digest of each peer.
    transport : PeerTransport
        Shows which connections are open.
    clock : Clock
        Timestamps received frames.
    """

    __slots__ = (
        "_clock",
        "_digest_store",
        "_fold",
        "_incarnation",
        "_listed_addresses",
        "_listen",
        "_lock",
        "_received_s",
        "_round",
        "_settings",
        "_transport",
    )

    def __init__(
        self,
        settings: PeerSettings,
        listen: str,
        incarnation: str,
        fold: Fold,
        digest_store: DigestStore,
        transport: PeerTransport,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._listen = listen
        self._incarnation = incarnation
        self._fold = fold
        self._digest_store = digest_store
        self._transport = transport
        self._clock = clock
        self._received_s: dict[str, float] = {}
        self._listed_addresses: tuple[str, ...] = ()
        self._round: list[PeerTarget] = []
        self._lock = threading.Lock()

    def record_frame(self, incarnation: str) -> None:
        """Record that a frame from ``incarnation`` was received now."""
        self._received_s[incarnation] = self._clock.monotonic()

    def set_listed_addresses(self, addresses: tuple[str, ...]) -> None:
        """Set the peer addresses that the platform lists."""
        self._listed_addresses = addresses

    def frame_age_s(self, incarnation: str) -> float:
        """Return the seconds since the last frame from ``incarnation``; infinite if none."""
        received_s = self._received_s.get(incarnation)
        return float("inf") if received_s is None else self._clock.monotonic() - received_s

    def has_recent_frame(self, incarnation: str) -> bool:
        """Return True if a frame from ``incarnation`` arrived within ``silent_s`` seconds."""
        return self.frame_age_s(incarnation) <= self._settings.silent_s

    def address_of(self, incarnation: str) -> str | None:
        """Return the peer address of an incarnation; None if it is not known."""
        entry = self._fold.state.entries.get(incarnation)
        if entry is not None:
            return entry.peer_address
        digest = self._digest_store.digest_of(incarnation)
        return digest.address if digest else None

    def live_peers(self) -> list[EntryState]:
        """Return the other entries that the log shows as live."""
        with self._fold.lock:
            live = self._fold.state.live_entries()
        return [entry for entry in live if entry.incarnation != self._incarnation]

    def targets(self) -> list[PeerTarget]:
        """Return all known peers except this entry, sorted by address.

        Explanation
        -----------
        If several sources contain an address, live entries of the log take
        precedence over digests, and digests over bare addresses.
        """
        found = {entry.peer_address: entry.incarnation for entry in self.live_peers()}
        entries = self._fold.state.entries
        for digest in self._digest_store.digests():
            if digest.incarnation not in entries:
                found.setdefault(digest.address, digest.incarnation)
        for address in (*self._settings.seeds, *self._listed_addresses):
            found.setdefault(address, "")
        found.pop(self._listen, None)
        return [PeerTarget(name, address) for address, name in sorted(found.items())]

    def next_targets(self) -> list[PeerTarget]:
        """Return the peers to ping in this interval; close connections to unknown addresses."""
        known = self.targets()
        self._transport.close_all_except({target.address for target in known})
        with self._lock:
            self._round = [target for target in self._round if target in known]
            if len(self._round) < self._settings.fan_out:
                more = [target for target in known if target not in self._round]
                random.shuffle(more)
                self._round.extend(more)
            chosen = self._round[: self._settings.fan_out]
            self._round = self._round[self._settings.fan_out :]
        return chosen

    def status_of(self, incarnation: str) -> PeerStatus:
        """Return the status of a peer."""
        entry = self._fold.state.entries.get(incarnation)
        if entry is not None and not entry.is_live:
            return PeerStatus.GONE
        digest = self._digest_store.digest_of(incarnation)
        if digest is not None and digest.is_leaving:
            return PeerStatus.LEAVING
        if self.has_recent_frame(incarnation):
            return PeerStatus.ALIVE
        if self._digest_store.update_age_s(incarnation) <= self._settings.silent_s:
            return PeerStatus.INDIRECT
        return self._unresponsive_status(incarnation, entry)

    def _unresponsive_status(self, incarnation: str, entry: EntryState | None) -> PeerStatus:
        """Return the status of a peer without recent updates.

        Explanation
        -----------
        If its zone has several live peers and none has recent updates, the zone
        is cut off.  Otherwise an open connection means that the process is
        paused, and a closed one that it has ended.
        """
        if entry is not None:
            zone = [item for item in self.live_peers() if item.zone == entry.zone]
            if len(zone) > 1 and not any(
                self._has_recent_update(item.incarnation) for item in zone
            ):
                return PeerStatus.CUT_OFF
        address = self.address_of(incarnation)
        is_open = address is not None and self._transport.is_connected(address)
        return PeerStatus.PAUSED if is_open else PeerStatus.DEAD

    def _has_recent_update(self, incarnation: str) -> bool:
        has_digest = self._digest_store.update_age_s(incarnation) <= self._settings.silent_s
        return has_digest or self.has_recent_frame(incarnation)
