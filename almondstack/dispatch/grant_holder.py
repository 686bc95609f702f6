"""Grants whose work may still run, until it surely has ended.

Explanation
-----------
After a broken or timed-out exchange the upstream may work on.  The permits stay
taken until the pool's bound on run times has passed since the start.
"""

import heapq
import itertools
import threading

from almondstack.core import Clock
from almondstack.queueing import FairScheduler, Grant

__all__ = ["GrantHolder"]


class GrantHolder:
    """Keeps grants for a while and then finishes them.

    Parameters
    ----------
    scheduler : FairScheduler
        Finishes grants.
    clock : Clock
        Measures the bound.
    """

    __slots__ = ("_clock", "_held", "_lock", "_order", "_scheduler")

    def __init__(self, scheduler: FairScheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._held: list[tuple[float, int, Grant]] = []
        self._order = itertools.count()
        self._lock = threading.Lock()

    @property
    def held_count(self) -> int:
        """How many grants are kept."""
        with self._lock:
            return len(self._held)

    def hold(self, grant: Grant, run_time_bound_s: float) -> None:
        """Keep ``grant`` until the bound in seconds has passed since its start."""
        until_s = grant.started_s + run_time_bound_s
        with self._lock:
            heapq.heappush(self._held, (until_s, next(self._order), grant))

    def release_due(self) -> None:
        """Finish the grants whose time has come."""
        now_s = self._clock.monotonic()
        due = []
        with self._lock:
            while self._held and self._held[0][0] <= now_s:
                due.append(heapq.heappop(self._held)[2])
        for grant in due:
            self._scheduler.finish(grant)
