"""What this entry says of itself."""

from collections.abc import Callable, Iterable

from almondstack.core import NodeSettings
from almondstack.fold import Fold
from almondstack.log import Follower
from almondstack.model import PermitCount
from almondstack.peers.messages import Digest, Remark, RunningCount
from almondstack.peers.settings import PeerSettings
from almondstack.permits import EscrowPermits

__all__ = ["DigestSource"]

_MOST_SPARE = 16
_MOST_WANTED = 8
_MOST_RUNNING = 32


class DigestSource:
    """Builds the digest of this entry.

    Parameters
    ----------
    settings : PeerSettings
        Time bounds.
    listen : str
        Where peers reach this entry.
    node : NodeSettings
        Name and zone.
    incarnation : str
        Name of this life of the process.
    fold : Fold
        Knows the offset.
    """

    def __init__(
        self,
        settings: PeerSettings,
        listen: str,
        node: NodeSettings,
        incarnation: str,
        fold: Fold,
    ) -> None:
        self._settings = settings
        self._listen = listen
        self._node = node
        self._incarnation = incarnation
        self._fold = fold
        self._version = 0
        self._is_leaving = False
        self._running: Callable[[], Iterable[RunningCount]] = tuple
        self._remarks: dict[str, Callable[[], bytes]] = {}

    def attach(self, follower: Follower, permits: EscrowPermits) -> None:
        """Connect the parts that the digest tells of."""
        self._follower = follower
        self._permits = permits

    def set_running(self, running: Callable[[], Iterable[RunningCount]]) -> None:
        """Take the function that counts what runs here."""
        self._running = running

    def set_remark(self, topic: str, encode: Callable[[], bytes]) -> None:
        """Take the function that returns the bytes of a remark; empty says nothing."""
        self._remarks[topic] = encode

    def set_leaving(self) -> None:
        """Say from now on that this entry shuts down."""
        self._is_leaving = True

    def digest(self) -> Digest:
        """Return a digest that is newer than all before."""
        self._version += 1
        remarks = [Remark(topic, encode()) for topic, encode in self._remarks.items()]
        return Digest(
            incarnation=self._incarnation,
            name=self._node.name,
            zone=self._node.zone,
            address=self._listen,
            version=self._version,
            offset=self._fold.next_offset,
            is_log_reachable=self._follower.contact_age_s <= self._settings.log_silent_s,
            is_leaving=self._is_leaving,
            running=tuple(self._running())[:_MOST_RUNNING],
            spare=_largest(self._permits.spare_counts(), _MOST_SPARE),
            wanted=_largest(self._permits.wanted_counts(), _MOST_WANTED),
            remarks=tuple(remark for remark in remarks if remark.data),
        )


def _largest(counts: tuple[PermitCount, ...], most: int) -> tuple[PermitCount, ...]:
    return tuple(sorted(counts, key=lambda item: -item.count)[:most])
