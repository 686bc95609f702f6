"""Forbids starts after a process pause until the log shows whether this process is fenced.

Explanation
-----------
While a process is paused, its incarnation may be fenced and its permits
reallocated.  Permits of a fenced incarnation are released no earlier than
:data:`MIN_RECOVERY_DELAY_S` after it was found gone, so a shorter pause is safe.
After a longer one nothing may start until the log has been read up to an end
offset that was requested *after* the pause (fencing, Gray and Cheriton 1989;
Kleppmann 2016).  Both clocks are checked, since the monotonic clock may stop
while a virtual machine is suspended.
"""

import threading

from almondstack.core import Clock, LocalMetrics, PartLogger

__all__ = ["DEFAULT_PAUSE_BOUND_S", "MIN_RECOVERY_DELAY_S", "StartGuard"]

DEFAULT_PAUSE_BOUND_S = 2.0
MIN_RECOVERY_DELAY_S = 4.0

_log = PartLogger("permits")


class StartGuard:
    """Detects pauses of this process and forbids starts after one.

    Parameters
    ----------
    clock : Clock
        Measures pauses by its monotonic and wall time.
    metrics : LocalMetrics
        Counts pauses.
    pause_bound_s : float
        A longer time between two calls of :meth:`heartbeat` is a pause, in seconds.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_is_suspended",
        "_lock",
        "_metrics",
        "_monotonic_s",
        "_pause_bound_s",
        "_required_offset",
        "_unix_s",
    )

    def __init__(
        self, clock: Clock, metrics: LocalMetrics, pause_bound_s: float = DEFAULT_PAUSE_BOUND_S
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._pause_bound_s = pause_bound_s
        self._lock = threading.Lock()
        self._epoch = 0
        self._required_offset: int | None = None
        self._is_suspended = False
        self._monotonic_s = clock.monotonic()
        self._unix_s = clock.unix()

    @property
    def is_start_allowed(self) -> bool:
        """True unless a pause was detected or the heartbeat is overdue."""
        return not self._is_suspended and not self._is_heartbeat_overdue

    @property
    def is_suspended(self) -> bool:
        """True from a detected pause until the log is folded to the recorded head."""
        return self._is_suspended

    @property
    def epoch(self) -> int:
        """Number of pauses so far; identifies requests sent after the latest one."""
        return self._epoch

    @property
    def _is_heartbeat_overdue(self) -> bool:
        if self._clock.monotonic() - self._monotonic_s > self._pause_bound_s:
            return True
        return self._clock.unix() - self._unix_s > self._pause_bound_s

    def heartbeat(self) -> None:
        """Record that this process runs; suspend starts if the last call is too long ago."""
        with self._lock:
            if self._is_heartbeat_overdue:
                self._suspend()
            self._monotonic_s = self._clock.monotonic()
            self._unix_s = self._clock.unix()

    def record_head(self, epoch: int, next_offset: int) -> None:
        """Set the offset to reach: the end of the log, or of a peer's fold, read in ``epoch``."""
        with self._lock:
            if epoch == self._epoch and self._is_suspended:
                self._required_offset = next_offset

    def resume(self, folded_offset: int) -> bool:
        """Allow starts again if the log is folded up to the recorded head; return True if so."""
        with self._lock:
            if (
                not self._is_suspended
                or self._required_offset is None
                or folded_offset < self._required_offset
            ):
                return False
            self._is_suspended = False
            _log.info(
                "Starts are allowed again: the log was read to offset %d after a pause.",
                folded_offset,
            )
            return True

    def _suspend(self) -> None:
        self._epoch += 1
        self._required_offset = None
        self._is_suspended = True
        self._metrics.count("permits.paused")
        _log.warning("This process was paused; starts are suspended until the log is read.")
