"""The module ``time`` of simulated processes, whose times of day differ."""

import contextlib
from collections.abc import Iterator

from almondstack.testing.owner_worker import WorldClock

__all__ = ["ProcessTime"]


class ProcessTime:
    """Replaces the module ``time`` for all simulated processes.

    Explanation
    -----------
    All of them run in one thread, and :meth:`of_process` says which one does.  Monotonic time
    is the same for all.

    Parameters
    ----------
    clock : WorldClock
        The clock of the simulation.
    """

    CLOCK_BOOTTIME = WorldClock.CLOCK_BOOTTIME
    """Clock id for :meth:`clock_gettime`, as in the module ``time``."""

    def __init__(self, clock: WorldClock) -> None:
        self._clock = clock
        self._shift_s = 0.0

    @contextlib.contextmanager
    def of_process(self, shift_s: float) -> Iterator[None]:
        """Shift the time of day while a process runs, by a number of seconds."""
        kept, self._shift_s = self._shift_s, shift_s
        try:
            yield
        finally:
            self._shift_s = kept

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self._clock.monotonic()

    def clock_gettime(self, clock: int) -> float:
        """Return the simulated time in seconds; suspension is not simulated."""
        return self._clock.clock_gettime(clock)

    def time(self) -> float:
        """Return the time of day of the process that runs now, in Unix seconds."""
        return self._clock.time() + self._shift_s

    def sleep(self, seconds: float) -> None:
        """Advance the clock for the whole simulation."""
        self._clock.sleep(seconds)
