"""A clock that tests move by hand."""

import threading

__all__ = ["ManualClock"]


class ManualClock:
    """Stands still until :meth:`advance`.

    Parameters
    ----------
    now_s : float
        Where both clocks start, in seconds.
    rate : float
        How fast it runs against :meth:`advance`.
    """

    __slots__ = ("_now_s", "_rate")

    def __init__(self, now_s: float = 1_000_000.0, rate: float = 1.0) -> None:
        self._now_s = now_s
        self._rate = rate

    def monotonic(self) -> float:
        """Seconds on the monotonic clock."""
        return self._now_s

    def unix(self) -> float:
        """Seconds on the wall clock."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock."""
        self._now_s += seconds * self._rate

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Advance by the timeout instead of waiting; True if the event is set."""
        if not event.is_set():
            self.advance(timeout_s)
        return event.is_set()
