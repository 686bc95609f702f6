"""The latest digest of every incarnation, spread by gossip.

Explanation
-----------
Each message carries as many digests as fit a fixed number of bytes: the
sender's own, then those that were sent least often since they changed.  A
digest is sent on at most ``3 log2(n + 1)`` times (dissemination component of
SWIM, Das et al. 2002).  The cost of a message does not depend on the size of
the fleet; only the time that news takes does.
"""

import math
import threading

from almondstack.core import Clock, CodecError, decode_msgpack, encode_msgpack
from almondstack.peers.messages import Digest, SealedDigest

__all__ = ["DigestBoard", "Posted"]

_SPREAD_FACTOR = 3
_FORGET_S = 60.0


class Posted:
    """A digest with what this process knows about it."""

    __slots__ = ("digest", "news_s", "sealed", "sent")

    def __init__(self, digest: Digest, sealed: SealedDigest, news_s: float) -> None:
        self.digest = digest
        self.sealed = sealed
        self.news_s = news_s
        self.sent = 0


class DigestBoard:
    """Keeps digests and picks those to send.

    Parameters
    ----------
    incarnation : str
        Whose own digest is not taken from others.
    batch_bytes : int
        Most bytes of digests in one message.
    clock : Clock
        Says when there was news of an incarnation.
    """

    __slots__ = ("_batch_bytes", "_clock", "_incarnation", "_lock", "_own", "_posted")

    def __init__(self, incarnation: str, batch_bytes: int, clock: Clock) -> None:
        self._incarnation = incarnation
        self._batch_bytes = batch_bytes
        self._clock = clock
        self._lock = threading.Lock()
        self._own: SealedDigest | None = None
        self._posted: dict[str, Posted] = {}

    def set_own(self, digest: Digest) -> None:
        """Replace this incarnation's digest."""
        self._own = _seal(digest)

    def take(self, digests: tuple[SealedDigest, ...]) -> list[Digest]:
        """Take digests from a peer; return those that are news."""
        news = []
        for sealed in digests:
            posted = self._posted.get(sealed.incarnation)
            is_known = posted is not None and posted.sealed.version >= sealed.version
            if sealed.incarnation == self._incarnation or is_known:
                continue
            try:
                digest = decode_msgpack(sealed.data, Digest)
            except CodecError:
                continue
            with self._lock:
                item = Posted(digest, sealed, self._clock.monotonic())
                self._posted[sealed.incarnation] = item
            news.append(digest)
        return news

    def pick(self) -> tuple[SealedDigest, ...]:
        """Return the digests of the next message."""
        with self._lock:
            most = math.ceil(_SPREAD_FACTOR * math.log2(len(self._posted) + 2))
            waiting = [item for item in self._posted.values() if item.sent < most]
            waiting.sort(key=lambda item: item.sent)
            picked = [self._own] if self._own is not None else []
            room = self._batch_bytes - sum(len(item.data) for item in picked)
            for item in waiting:
                room -= len(item.sealed.data)
                if room < 0:
                    break
                item.sent += 1
                picked.append(item.sealed)
        return tuple(picked)

    def digest_of(self, incarnation: str) -> Digest | None:
        """Return the latest digest of an incarnation."""
        posted = self._posted.get(incarnation)
        return posted.digest if posted else None

    def news_age_s(self, incarnation: str) -> float:
        """Return how long ago there was news of an incarnation, by any route."""
        posted = self._posted.get(incarnation)
        return self._clock.monotonic() - posted.news_s if posted else math.inf

    def digests(self) -> list[Digest]:
        """Return the latest digest of every other incarnation."""
        with self._lock:
            return [item.digest for item in self._posted.values()]

    def forget_old(self) -> None:
        """Drop digests of which there was no news for long."""
        now_s = self._clock.monotonic()
        with self._lock:
            old = [key for key, item in self._posted.items() if now_s - item.news_s > _FORGET_S]
            for key in old:
                del self._posted[key]


def _seal(digest: Digest) -> SealedDigest:
    return SealedDigest(digest.incarnation, digest.version, encode_msgpack(digest))
