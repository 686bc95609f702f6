"""Holds grants whose work may still run, until it has certainly ended.

Explanation
-----------
After a broken or timed-out exchange the upstream may continue the work.  The
permits stay in use until the run time bound of the pool has passed since the
start.
"""

import heapq
import itertools
import threading

from almondstack.core import Clock
from almondstack.queueing import FairScheduler, Grant

__all__ = ["GrantHolder"]


class GrantHolder:
    """Holds grants until the run time bound of their pool, then finishes them.

    Parameters
    ----------
    scheduler : FairScheduler
        Scheduler that finishes the grants.
    clock : Clock
        Time source for the bound.
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
        """Number of grants held."""
        with self._lock:
            return len(self._held)

    def hold(self, grant: Grant, run_time_bound_s: float) -> None:
        """Hold ``grant`` until ``run_time_bound_s`` seconds after its start."""
        until_s = grant.started_s + run_time_bound_s
        with self._lock:
            heapq.heappush(self._held, (until_s, next(self._order), grant))

    def release_due(self) -> None:
        """Finish the grants whose run time bound has passed."""
        now_s = self._clock.monotonic()
        due = []
        with self._lock:
            while self._held and self._held[0][0] <= now_s:
                due.append(heapq.heappop(self._held)[2])
        for grant in due:
            self._scheduler.finish(grant)
