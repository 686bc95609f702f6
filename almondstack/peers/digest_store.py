"""Stores the latest digest of every incarnation and selects digests to gossip.

Explanation
-----------
A digest is the state that an incarnation publishes about itself, not a hash.
Each message carries as many digests as fit a fixed number of bytes: the
sender's own, then those that were sent least often since they changed.  With
``n`` known entries, a digest is sent at most ``3 log2(n + 1)`` times
(dissemination component of SWIM, Das et al. 2002).  The size of a message does
not depend on the size of the fleet; only the propagation time does.
"""

import math
import threading

from almondstack.core import Clock, CodecError, decode_msgpack, encode_msgpack
from almondstack.peers.messages import Digest, EncodedDigest

__all__ = ["DigestStore", "StoredDigest"]

_SPREAD_FACTOR = 3
_EXPIRY_S = 60.0


class StoredDigest:
    """A received digest, its encoded form, when it was received, and how often it was sent."""

    __slots__ = ("digest", "encoded", "send_count", "updated_s")

    def __init__(self, digest: Digest, encoded: EncodedDigest, updated_s: float) -> None:
        self.digest = digest
        self.encoded = encoded
        self.updated_s = updated_s
        self.send_count = 0


class DigestStore:
    """Keeps the digests received from peers and selects those to send.

    Parameters
    ----------
    incarnation : str
        This incarnation; a copy of its own digest from a peer is ignored.
    batch_bytes : int
        Maximum size of the digests in one message, in bytes.
    clock : Clock
        Timestamps received digests.
    """

    __slots__ = ("_batch_bytes", "_clock", "_incarnation", "_lock", "_own", "_stored")

    def __init__(self, incarnation: str, batch_bytes: int, clock: Clock) -> None:
        self._incarnation = incarnation
        self._batch_bytes = batch_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._own: EncodedDigest | None = None
        self._stored: dict[str, StoredDigest] = {}

    def set_own(self, digest: Digest) -> None:
        """Replace this incarnation's digest."""
        self._own = _encode(digest)

    def merge(self, digests: tuple[EncodedDigest, ...]) -> list[Digest]:
        """Store the digests from a peer that are newer than the stored ones; return them.

        Explanation
        -----------
        A digest that cannot be decoded is ignored.
        """
        updates = []
        for encoded in digests:
            stored = self._stored.get(encoded.incarnation)
            is_current = stored is not None and stored.encoded.version >= encoded.version
            if encoded.incarnation == self._incarnation or is_current:
                continue
            try:
                digest = decode_msgpack(encoded.data, Digest)
            except CodecError:
                continue
            with self._lock:
                item = StoredDigest(digest, encoded, self._clock.monotonic())
                self._stored[encoded.incarnation] = item
            updates.append(digest)
        return updates

    def select(self) -> tuple[EncodedDigest, ...]:
        """Return the digests for the next message and count them as sent."""
        with self._lock:
            max_sends = math.ceil(_SPREAD_FACTOR * math.log2(len(self._stored) + 2))
            pending = [item for item in self._stored.values() if item.send_count < max_sends]
            pending.sort(key=lambda item: item.send_count)
            selected = [self._own] if self._own is not None else []
            room = self._batch_bytes - sum(len(item.data) for item in selected)
            for item in pending:
                room -= len(item.encoded.data)
                if room < 0:
                    break
                item.send_count += 1
                selected.append(item.encoded)
        return tuple(selected)

    def digest_of(self, incarnation: str) -> Digest | None:
        """Return the latest digest of an incarnation; None if there is none."""
        stored = self._stored.get(incarnation)
        return stored.digest if stored else None

    def update_age_s(self, incarnation: str) -> float:
        """Return the seconds since a newer digest of an incarnation arrived from any peer.

        Explanation
        -----------
        Infinite if no digest is stored.
        """
        stored = self._stored.get(incarnation)
        return self._clock.monotonic() - stored.updated_s if stored else math.inf

    def digests(self) -> list[Digest]:
        """Return the latest digest of every other incarnation."""
        with self._lock:
            return [item.digest for item in self._stored.values()]

    def drop_expired(self) -> None:
        """Remove the digests that were not updated within ``_EXPIRY_S`` seconds."""
        now_s = self._clock.monotonic()
        with self._lock:
            expired = [
                key for key, item in self._stored.items() if now_s - item.updated_s > _EXPIRY_S
            ]
            for key in expired:
                del self._stored[key]


def _encode(digest: Digest) -> EncodedDigest:
    return EncodedDigest(digest.incarnation, digest.version, encode_msgpack(digest))
