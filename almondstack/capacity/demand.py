"""How many cores the queues of a pool ask for."""

import math
from collections import deque
from typing import NamedTuple

__all__ = ["ArrivalForecast", "PoolNeed"]


class PoolNeed:
    """What a pool is asked for now, in thousandths of a core.

    Parameters
    ----------
    lasting_millis : int
        Tasks that run until they are cancelled.
    running_millis : int
        Other tasks that run.
    waiting_millis : int
        Tasks whose turn has come and that wait for room.
    arriving_millis : float
        What jobs that come are expected to keep busy, from how many came lately.
    late_millis : int
        Tasks, running or not, of jobs that can't end in time any more.
    min_instances : int
        So many at least must there be for lasting tasks of which only a few may share one.
    """

    __slots__ = (
        "arriving_millis",
        "lasting_millis",
        "late_millis",
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
    ) -> None:
        self.lasting_millis = lasting_millis
        self.running_millis = running_millis
        self.waiting_millis = waiting_millis
        self.arriving_millis = arriving_millis
        self.late_millis = late_millis
        self.min_instances = min_instances

    @property
    def total_millis(self) -> float:
        """What would let nothing wait that can still end in time."""
        present = self.running_millis + self.waiting_millis
        return self.lasting_millis + max(present, self.arriving_millis)


_WINDOWS_S = (0.5, 1.0, 1.5, 2.0, 3.0)
"""Times over which jobs are counted, in seconds; the shortest that holds enough of them is used."""

_GROWTH_WINDOW_S = 1.0
"""Growth is looked for between neighbouring windows of at least this length, in seconds."""

_ENOUGH_JOBS = 8
"""With fewer jobs in a window, its rate is mostly chance."""

_CHANCE = 2.0
"""A rate has risen if the counts of two windows differ by more than so many standard deviations."""

_MOST_RISE = 1.0
"""A rate is never expected to rise by more than this many times itself."""

_MEMORY = 0.97
"""Factor on the weight of earlier jobs in the mean work of a job, for each new one."""


class _Arrival(NamedTuple):
    """When a job came, and whether it can wait for instances to come."""

    at_s: float
    can_wait: bool


class ArrivalForecast:
    """The cores that the jobs of a queue will keep busy once a move that begins now is over.

    Explanation
    -----------
    Jobs are counted rather than their work, which differs so much from job to
    job that a few large ones would look like a burst; the mean work of a job is
    learned over many.  Where jobs can't wait for instances and their rate rises,
    it is taken to rise further at the same pace until instances ordered now work.

    Parameters
    ----------
    lead_s : float
        Seconds from the order of a move until the instance works.

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
        """Note a job: its work in milliseconds of one core, and whether it can wait."""
        self._arrivals.append(_Arrival(now_s, can_wait))
        self._weight = _MEMORY * self._weight + 1.0
        self._work_ms = _MEMORY * self._work_ms + core_ms

    def millis(self, now_s: float) -> float:
        """Return the thousandths of a core that are expected to be busy."""
        while self._arrivals and self._arrivals[0].at_s < now_s - 2 * _WINDOWS_S[-1]:
            self._arrivals.popleft()
        window_s, recent = self._recent(now_s)
        if not recent:
            return 0.0
        per_s = len(recent) / window_s
        hurried = sum(not arrival.can_wait for arrival in recent) / len(recent)
        rise_per_s = min(self._growth(now_s, window_s) * self._lead_s, _MOST_RISE * per_s)
        return (per_s + hurried * rise_per_s) * self._work_ms / self._weight

    def _recent(self, now_s: float) -> tuple[float, list[_Arrival]]:
        """Return the shortest window that holds enough jobs, or the longest, and its jobs."""
        for window_s in _WINDOWS_S:
            recent = [arrival for arrival in self._arrivals if arrival.at_s > now_s - window_s]
            if len(recent) >= _ENOUGH_JOBS:
                break
        return window_s, recent

    def _growth(self, now_s: float, window_s: float) -> float:
        """Return by how many jobs a second the rate grows each second; 0 if it may be chance."""
        span_s = max(window_s, _GROWTH_WINDOW_S)
        recent = self._count(now_s - span_s)
        before = self._count(now_s - 2 * span_s) - recent
        if recent < _ENOUGH_JOBS or recent - before <= _CHANCE * math.sqrt(recent + before):
            return 0.0
        return (recent - before) / span_s**2

    def _count(self, since_s: float) -> int:
        return sum(arrival.at_s > since_s for arrival in self._arrivals)
