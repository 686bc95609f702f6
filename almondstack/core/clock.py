"""Monotonic and wall clocks that tests can replace.

Explanation
-----------
Code that waits or compares times takes a :class:`Clock`, so that tests can
pass a clock that they advance manually (:mod:`almondstack.testing`).  Intervals
are always measured on the monotonic clock; the wall clock is for ids and reports.
"""

import threading
import time
from typing import Protocol

__all__ = ["Clock", "SystemClock"]


class Clock(Protocol):
    """Reads time and waits for events."""

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        ...

    def unix(self) -> float:
        """Return seconds since 1970 on the wall clock."""
        ...

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait for ``event`` at most ``timeout_s`` seconds; True if it is set."""
        ...


class SystemClock:
    """The clocks of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def unix(self) -> float:
        """Return seconds since 1970 on the wall clock."""
        return time.time()

    def wait(self, event: threading.Event, timeout_s: float) -> bool:
        """Wait for ``event`` at most ``timeout_s`` seconds; True if it is set."""
        return event.wait(timeout_s)
