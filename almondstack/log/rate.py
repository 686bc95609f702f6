"""Rate of events over a sliding window."""

import threading
from collections import deque

from almondstack.core import Clock

__all__ = ["RateMeter"]

_WINDOW_S = 10.0


class RateMeter:
    """Events per second over the last ten seconds.

    Parameters
    ----------
    clock : Clock
        Measures the window.
    """

    __slots__ = ("_clock", "_lock", "_times_s")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._times_s: deque[float] = deque()

    @property
    def per_s(self) -> float:
        """Events per second."""
        with self._lock:
            self._drop_old()
            return len(self._times_s) / _WINDOW_S

    def add(self) -> None:
        """Count one event at the current time."""
        with self._lock:
            self._drop_old()
            self._times_s.append(self._clock.monotonic())

    def _drop_old(self) -> None:
        oldest_s = self._clock.monotonic() - _WINDOW_S
        while self._times_s and self._times_s[0] < oldest_s:
            self._times_s.popleft()
