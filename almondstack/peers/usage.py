"""Counts the requests that run through other entries."""

import threading

from almondstack.core import Clock
from almondstack.peers.digest_store import DigestStore

__all__ = ["FleetUsage"]

_CACHE_S = 0.25
_STALE_S = 15.0


class FleetUsage:
    """Sums the running counts in the digests of peers, for the correction of shares.

    Explanation
    -----------
    The sums are cached for ``_CACHE_S`` seconds.  Digests that were not updated
    within ``_STALE_S`` seconds are left out.

    Parameters
    ----------
    digest_store : DigestStore
        Holds the digests of peers.
    clock : Clock
        Measures the age of the cache.
    """

    __slots__ = ("_clock", "_counted_s", "_digest_store", "_lock", "_totals")

    def __init__(self, digest_store: DigestStore, clock: Clock) -> None:
        self._digest_store = digest_store
        self._clock = clock
        self._counted_s = float("-inf")
        self._totals: dict[tuple[str, str], int] = {}
        self._lock = threading.Lock()

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return how many requests of ``team`` run on ``pool`` through other entries."""
        now_s = self._clock.monotonic()
        if now_s - self._counted_s >= _CACHE_S:
            with self._lock:
                self._counted_s = now_s
                self._totals = self._count()
        return self._totals.get((pool, team), 0)

    def _count(self) -> dict[tuple[str, str], int]:
        totals: dict[tuple[str, str], int] = {}
        for digest in self._digest_store.digests():
            if self._digest_store.update_age_s(digest.incarnation) > _STALE_S:
                continue
            for item in digest.running:
                key = (item.pool, item.team)
                totals[key] = totals.get(key, 0) + item.count
        return totals
