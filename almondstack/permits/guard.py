"""Forbids starts after a pause, until this process knows whether it was fenced.

Explanation
-----------
A holder that was paused may have been declared gone, and its permits given to
others.  Permits of a fenced incarnation return no earlier than
:data:`RECOVERY_LEAST_S` after it was seen gone, so a shorter pause is harmless;
after a longer one nothing may start before the log has been read up to the
head that was asked for *after* the pause (fencing, Gray and Cheriton 1989;
Kleppmann 2016).  Both clocks are watched, since the monotonic one may stand
still while a virtual machine is suspended.
"""

import threading

from almondstack.core import Clock, LocalMetrics, PartLogger

__all__ = ["PAUSE_BOUND_S", "RECOVERY_LEAST_S", "StartGuard"]

PAUSE_BOUND_S = 2.0
RECOVERY_LEAST_S = 4.0

_log = PartLogger("permits")


class StartGuard:
    """Knows whether this process may start anything.

    Parameters
    ----------
    clock : Clock
        Shows pauses.
    metrics : LocalMetrics
        Counts pauses.
    pause_bound_s : float
        A longer silence of the thread that calls :meth:`beat` is a pause.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_head",
        "_is_suspended",
        "_lock",
        "_metrics",
        "_monotonic_s",
        "_pause_bound_s",
        "_unix_s",
    )

    def __init__(
        self, clock: Clock, metrics: LocalMetrics, pause_bound_s: float = PAUSE_BOUND_S
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._pause_bound_s = pause_bound_s
        self._lock = threading.Lock()
        self._epoch = 0
        self._head: int | None = None
        self._is_suspended = False
        self._monotonic_s = clock.monotonic()
        self._unix_s = clock.unix()

    @property
    def is_start_allowed(self) -> bool:
        """True if this process is known not to have been paused."""
        return not self._is_suspended and not self._is_overdue

    @property
    def is_suspended(self) -> bool:
        """True from a pause until the log was read to its head."""
        return self._is_suspended

    @property
    def epoch(self) -> int:
        """Number of pauses so far; names what was asked for after the last one."""
        return self._epoch

    @property
    def _is_overdue(self) -> bool:
        if self._clock.monotonic() - self._monotonic_s > self._pause_bound_s:
            return True
        return self._clock.unix() - self._unix_s > self._pause_bound_s

    def beat(self) -> None:
        """Say that this process runs; notices a pause since the last call."""
        with self._lock:
            if self._is_overdue:
                self._suspend()
            self._monotonic_s = self._clock.monotonic()
            self._unix_s = self._clock.unix()

    def note_head(self, epoch: int, next_offset: int) -> None:
        """Take the head of the log, or of a peer, that was asked for in ``epoch``."""
        with self._lock:
            if epoch == self._epoch and self._is_suspended:
                self._head = next_offset

    def resume(self, folded_offset: int) -> bool:
        """Allow starts again if the log is folded up to the noted head."""
        with self._lock:
            if not self._is_suspended or self._head is None or folded_offset < self._head:
                return False
            self._is_suspended = False
            _log.info("Read the log to offset %d after a pause.", folded_offset)
            return True

    def _suspend(self) -> None:
        self._epoch += 1
        self._head = None
        self._is_suspended = True
        self._metrics.count("permits.paused")
        _log.warning("This process was paused; nothing starts before the log is read.")
