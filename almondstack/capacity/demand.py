"""Measures and forecasts the processor demand of a pool."""

import math
from collections import deque
from typing import NamedTuple

__all__ = ["ArrivalForecast", "PoolNeed"]


class PoolNeed:
    """Present demand of a pool, in thousandths of a core.

    Parameters
    ----------
    lasting_millis : int
        Long-running tasks, which run until they are cancelled.
    running_millis : int
        Other running tasks.
    waiting_millis : int
        Ready tasks that wait for room.
    arriving_millis : float
        Forecast demand of arriving jobs, from the recent arrival rate.
    late_millis : int
        Tasks, running or waiting, of jobs that can no longer end in time.
    min_instances : int
        Instances needed for long-running tasks of which only a few may share a worker.
    filled_instances : float
        Instances that the present tasks fill by their memory or accelerators.
    memory_mb : int
        Memory of the present tasks, in megabytes.
    lasting_filled_instances : float
        The part of ``filled_instances`` that long-running tasks fill.
    lasting_running_millis : int
        The part of ``lasting_millis`` that runs.

    Attributes
    ----------
    entitled : PoolNeed or None
        The part of this demand that its client accounts are entitled to, while they compete
        for a short fleet; None at other times.
    """

    __slots__ = (
        "arriving_millis",
        "entitled",
        "filled_instances",
        "lasting_filled_instances",
        "lasting_millis",
        "lasting_running_millis",
        "late_millis",
        "memory_mb",
        "min_instances",
        "running_millis",
        "waiting_millis",
    )

    def __init__(
        self,
        lasting_millis: int = 0,
        running_millis: int = 0,
        waiting_millis: int = 0,
        arriving_millis: float = 0.0,
        late_millis: int = 0,
        min_instances: int = 0,
        filled_instances: float = 0.0,
        memory_mb: int = 0,
        lasting_filled_instances: float = 0.0,
        lasting_running_millis: int = 0,
    ) -> None:
        self.lasting_millis = lasting_millis
        self.running_millis = running_millis
        self.waiting_millis = waiting_millis
        self.arriving_millis = arriving_millis
        self.late_millis = late_millis
        self.min_instances = min_instances
        self.filled_instances = filled_instances
        self.memory_mb = memory_mb
        self.lasting_filled_instances = lasting_filled_instances
        self.lasting_running_millis = lasting_running_millis
        self.entitled: PoolNeed | None = None

    @property
    def total_millis(self) -> float:
        """Demand that must be met so that no job that can still end in time waits."""
        present = self.running_millis + self.waiting_millis
        return self.lasting_millis + max(present, self.arriving_millis)


_WINDOWS_S = (0.35, 0.5, 1.0, 1.5, 2.0, 3.0)
"""Windows over which arrivals are counted; the shortest one with enough jobs is used."""

_GROWTH_WINDOW_S = 1.0
"""Shortest length of the two adjacent windows whose counts are compared to detect growth."""

_MIN_JOBS = 8
"""With fewer jobs in a window, its rate is mostly noise."""

_GROWTH_SIGMAS = 2.0
"""A rate has grown if two windows differ by more than this many standard deviations."""

_MAX_GROWTH_RATIO = 1.0
"""Bound on the forecast growth of a rate, as a multiple of the rate."""

_WORK_DECAY = 0.97
"""Factor on the weight of earlier jobs in the mean work of a job, for each new job."""


class _Arrival(NamedTuple):
    """Arrival time of a job, and whether it can wait until more instances are in service."""

    at_s: float
    can_wait: bool


class ArrivalForecast:
    """Forecasts the processor demand of a queue's jobs for the time when a move ends.

    Explanation
    -----------
    The forecast counts jobs rather than their work, which varies so much that a few
    large jobs would look like a burst; the mean work of a job is averaged over many.
    If the rate of jobs that can't wait for instances grows, it is extrapolated at
    the same slope until instances ordered now are in service.

    Parameters
    ----------
    lead_s : float
        Seconds from the order of a move until the instance is in service.

    Examples
    --------
    >>> forecast = ArrivalForecast(lead_s=2.0)
    >>> for tenth in range(30):
    ...     forecast.add(10.0 + tenth / 10, core_ms=2_000.0)
    >>> round(forecast.millis(12.95)), forecast.millis(16.0)
    (20000, 0.0)
    """

    __slots__ = ("_arrivals", "_lead_s", "_weight", "_work_ms")

    def __init__(self, lead_s: float) -> None:
        self._lead_s = lead_s
        self._arrivals: deque[_Arrival] = deque()
        self._weight = 0.0
        self._work_ms = 0.0

    def add(self, now_s: float, core_ms: float, *, can_wait: bool = True) -> None:
        """Record a job: its work in milliseconds of one core, and whether it can wait."""
        self._arrivals.append(_Arrival(now_s, can_wait))
        self._weight = _WORK_DECAY * self._weight + 1.0
        self._work_ms = _WORK_DECAY * self._work_ms + core_ms

    def millis(self, now_s: float) -> float:
        """Return the forecast demand in thousandths of a core."""
        while self._arrivals and self._arrivals[0].at_s < now_s - 2 * _WINDOWS_S[-1]:
            self._arrivals.popleft()
        window_s, recent = self._recent(now_s)
        if not recent:
            return 0.0
        per_s = len(recent) / window_s
        urgent_share = sum(not arrival.can_wait for arrival in recent) / len(recent)
        rise_per_s = min(self._growth(now_s, window_s) * self._lead_s, _MAX_GROWTH_RATIO * per_s)
        return (per_s + urgent_share * rise_per_s) * self._work_ms / self._weight

    def _recent(self, now_s: float) -> tuple[float, list[_Arrival]]:
        """Return the shortest window with enough jobs, or else the longest, and its jobs."""
        for window_s in _WINDOWS_S:
            recent = [arrival for arrival in self._arrivals if arrival.at_s > now_s - window_s]
            if len(recent) >= _MIN_JOBS:
                break
        return window_s, recent

    def _growth(self, now_s: float, window_s: float) -> float:
        """Return the growth of the rate in jobs per second squared; 0 if it is within noise."""
        span_s = max(window_s, _GROWTH_WINDOW_S)
        recent = self._count(now_s - span_s)
        before = self._count(now_s - 2 * span_s) - recent
        if recent < _MIN_JOBS or recent - before <= _GROWTH_SIGMAS * math.sqrt(recent + before):
            return 0.0
        return (recent - before) / span_s**2

    def _count(self, since_s: float) -> int:
        return sum(arrival.at_s > since_s for arrival in self._arrivals)
