"""Clock for tests, advanced explicitly."""

import threading

__all__ = ["ManualClock"]


class ManualClock:
    """Monotonic and wall clock that change only by :meth:`advance` and :meth:`wait`.

    Parameters
    ----------
    now_s : float
        Initial time of both clocks, in seconds.
    rate : float
        Factor by which the seconds given to :meth:`advance` are multiplied.
    """

    __slots__ = ("_now_s", "_rate")

    def __init__(self, now_s: float = 1_000_000.0, rate: float = 1.0) -> None:
        self._now_s = now_s
        self._rate = rate

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return self._now_s

    def unix(self) -> float:
        """Return the wall-clock time in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance both clocks by ``seconds`` times the rate."""
        self._now_s += seconds * self._rate

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Advance by the timeout instead of waiting; True if the event is set."""
        if not event.is_set():
            self.advance(timeout_s)
        return event.is_set()
