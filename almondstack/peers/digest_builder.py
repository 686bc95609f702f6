"""Builds the digest that this entry gossips about itself."""

from collections.abc import Callable, Iterable

from almondstack.core import NodeSettings
from almondstack.fold import Fold
from almondstack.log import Follower
from almondstack.model import PermitCount
from almondstack.peers.messages import Digest, RunningCount, TopicPayload
from almondstack.peers.settings import PeerSettings
from almondstack.permits import EscrowPermits

__all__ = ["DigestBuilder"]

_MAX_SPARE = 16
_MAX_WANTED = 8
_MAX_RUNNING = 32


class DigestBuilder:
    """Builds the digest of this entry.

    Parameters
    ----------
    settings : PeerSettings
        Contains ``log_silent_s``, after which the log counts as unreachable.
    listen : str
        Numeric address of this entry's peer socket.
    node : NodeSettings
        Name and zone of this entry.
    incarnation : str
        Unique name of this run of the process.
    fold : Fold
        Provides the next log offset.
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
        self._topic_payloads: dict[str, Callable[[], bytes]] = {}

    def attach(self, follower: Follower, permits: EscrowPermits) -> None:
        """Set the parts whose state the digest contains; to be called before :meth:`digest`."""
        self._follower = follower
        self._permits = permits

    def set_running_counter(self, running: Callable[[], Iterable[RunningCount]]) -> None:
        """Set the function that counts the requests running through this entry."""
        self._running = running

    def set_topic_payload(self, topic: str, encode: Callable[[], bytes]) -> None:
        """Set the function that returns the payload of ``topic``; an empty one is left out."""
        self._topic_payloads[topic] = encode

    def set_leaving(self) -> None:
        """Mark all later digests as those of an entry that is shutting down."""
        self._is_leaving = True

    def digest(self) -> Digest:
        """Return a digest with a version above all previous ones."""
        self._version += 1
        payloads = [TopicPayload(topic, encode()) for topic, encode in self._topic_payloads.items()]
        return Digest(
            incarnation=self._incarnation,
            name=self._node.name,
            zone=self._node.zone,
            address=self._listen,
            version=self._version,
            offset=self._fold.next_offset,
            is_log_reachable=self._follower.contact_age_s <= self._settings.log_silent_s,
            is_leaving=self._is_leaving,
            running=tuple(self._running())[:_MAX_RUNNING],
            spare=_largest(self._permits.spare_counts(), _MAX_SPARE),
            wanted=_largest(self._permits.wanted_counts(), _MAX_WANTED),
            remarks=tuple(payload for payload in payloads if payload.data),
        )


def _largest(counts: tuple[PermitCount, ...], limit: int) -> tuple[PermitCount, ...]:
    return tuple(sorted(counts, key=lambda item: -item.count)[:limit])
