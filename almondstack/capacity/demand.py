"""How many cores the queues of a pool ask for."""

from collections import deque
from typing import NamedTuple

__all__ = ["ArrivalRate", "PoolNeed"]


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
        Work that has come lately, spread over the time in which it came.
    late_millis : int
        Tasks, running or not, of jobs that can't end in time any more.
    """

    __slots__ = (
        "arriving_millis",
        "lasting_millis",
        "late_millis",
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
    ) -> None:
        self.lasting_millis = lasting_millis
        self.running_millis = running_millis
        self.waiting_millis = waiting_millis
        self.arriving_millis = arriving_millis
        self.late_millis = late_millis

    @property
    def total_millis(self) -> float:
        """What would let nothing wait that can still end in time."""
        present = self.running_millis + self.waiting_millis
        return self.lasting_millis + max(present, self.arriving_millis)


_ONSET_SHARE = 0.4
"""Share of the window that is looked at apart, to see a burst when it begins."""

_ONSET_ARRIVALS = 4
"""Fewer arrivals than this in that share may be chance."""

_ONSET_FACTOR = 3.0
"""A burst begins when work comes so many times as fast as in the window's earlier part."""


class _Arrival(NamedTuple):
    """Work that came, when, and whether it can wait for instances to come."""

    at_s: float
    core_ms: float
    can_wait: bool


class ArrivalRate:
    """Work that has come within a sliding window, as cores.

    Explanation
    -----------
    At the beginning of a burst most of the window lies before it.  Work that
    can't wait for instances to come is then taken at the rate of the window's
    latest part.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.

    Examples
    --------
    >>> rate = ArrivalRate(window_s=2.0)
    >>> rate.add(10.0, core_ms=4_000.0)
    >>> rate.millis(10.5), rate.millis(13.0)
    (2000.0, 0.0)
    """

    __slots__ = ("_arrivals", "_total_core_ms", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._arrivals: deque[_Arrival] = deque()
        self._total_core_ms = 0.0

    def add(self, now_s: float, core_ms: float, *, can_wait: bool = True) -> None:
        """Note work in milliseconds of one core, and whether it can wait for instances."""
        self._arrivals.append(_Arrival(now_s, core_ms, can_wait))
        self._total_core_ms += core_ms

    def millis(self, now_s: float) -> float:
        """Return the thousandths of a core that the work of the window would keep busy."""
        while self._arrivals and self._arrivals[0].at_s < now_s - self._window_s:
            self._total_core_ms -= self._arrivals.popleft().core_ms
        if not self._arrivals:
            self._total_core_ms = 0.0
        return self._total_core_ms / self._window_s + self._onset_millis(now_s)

    def _onset_millis(self, now_s: float) -> float:
        """Return what is to be added to the window's rate because a burst begins in it."""
        recent_s = _ONSET_SHARE * self._window_s
        recent = [arrival for arrival in self._arrivals if arrival.at_s > now_s - recent_s]
        hurried = [arrival.core_ms for arrival in recent if not arrival.can_wait]
        if len(hurried) < _ONSET_ARRIVALS:
            return 0.0
        recent_core_ms = sum(arrival.core_ms for arrival in recent)
        earlier_millis = (self._total_core_ms - recent_core_ms) / (self._window_s - recent_s)
        if recent_core_ms / recent_s <= _ONSET_FACTOR * earlier_millis:
            return 0.0
        return sum(hurried) / recent_s - sum(hurried) / self._window_s
