"""Clocks.

Explanation
-----------
Code that waits or compares times takes a :class:`Clock`, so that tests can
pass a clock they move by hand (:mod:`almondstack.testing`).  Intervals are
always measured on the monotonic clock; the wall clock serves ids and reports.
"""

import threading
import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """A source of time and of waiting."""

    def monotonic(self) -> float:
        """Seconds on a clock that never goes back."""
        ...

    def unix(self) -> float:
        """Seconds since 1970 on the wall clock."""
        ...

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait for ``event`` at most ``timeout_s`` seconds; True if it is set."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Seconds on a clock that never goes back."""
        return time.monotonic()

    def unix(self) -> float:
        """Seconds since 1970 on the wall clock."""
        return time.time()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait for ``event`` at most ``timeout_s`` seconds; True if it is set."""
        return event.wait(timeout_s)
