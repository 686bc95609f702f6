"""Lease of the runs on one worker: its deadlines by the worker's clock, and their latest end."""

import threading
from typing import NamedTuple

from almondstack.control.sent_calls import longest_hold_s
from almondstack.control.settings import ControlSettings

__all__ = ["LeaseState", "WorkerLease", "longest_lease_s"]

_MS_PER_S = 1000.0

_MAX_SHORTENING = 0.1
"""Largest fraction of a lease that may be lost to the uncertainty of an old clock reading."""


class _ClockReading(NamedTuple):
    """A value of the worker's clock in milliseconds, and when it was received."""

    clock_ms: int
    received_s: float


class LeaseState(NamedTuple):
    """What a lease was computed from, for the event of a lost worker.

    Explanation
    -----------
    ``extended_s`` is when the lease was last extended, and ``end_s`` until when it may last,
    in monotonic seconds.
    ``deadline_ms`` is the latest deadline sent, by the worker's clock, and
    ``reading_age_s`` the age that the reading of that clock then had; both are None if
    this owner has sent no deadline.
    """

    extended_s: float
    deadline_ms: int | None
    reading_age_s: float | None
    end_s: float

    def log_fields(self, now_s: float) -> dict[str, float | int | None]:
        """Return the fields for an event that is written now."""
        age_s = self.reading_age_s
        return {
            "lease_age_s": round(now_s - self.extended_s, 3),
            "lease_over_s": round(now_s - self.end_s, 3),
            "deadline_ms": self.deadline_ms,
            "clock_age_s": round(age_s, 3) if age_s is not None else None,
        }


class WorkerLease:
    """Deadlines sent to one worker, and the time by which all of them have passed.

    Explanation
    -----------
    Deadlines are times of the worker's clock, which may be slow by ``clock_error``.  Since
    the last reading it has advanced by at least ``1 - clock_error`` of the time that has
    passed here; a deadline counts no more than that, so no lease is longer than
    :func:`longest_lease_s`.  A deadline can't be shortened afterwards.

    Parameters
    ----------
    settings : ControlSettings
        Length of the lease, and error of the worker's clock.
    registered_ms : int
        The worker's clock when it registered, in milliseconds; used until it answers.
    previous_extension_s : float
        Latest monotonic time at which a previous owner may have extended the lease, in
        seconds.
    former_until_s : float, optional
        Until when the worker may take a deadline that a previous owner has sent to a former
        life of it, in monotonic seconds; see :class:`SentCalls`.
    """

    __slots__ = (
        "_deadline_ms",
        "_former_until_s",
        "_lock",
        "_own_extension_s",
        "_previous_extension_s",
        "_reading",
        "_reading_age_s",
        "_registered_ms",
        "_settings",
    )

    def __init__(
        self,
        settings: ControlSettings,
        registered_ms: int,
        previous_extension_s: float,
        former_until_s: float | None = None,
    ) -> None:
        self._settings = settings
        self._registered_ms = registered_ms
        self._previous_extension_s = previous_extension_s
        self._former_until_s = former_until_s
        self._own_extension_s: float | None = None
        self._reading: _ClockReading | None = None
        self._deadline_ms: int | None = None
        self._reading_age_s: float | None = None
        self._lock = threading.Lock()

    @property
    def end_s(self) -> float:
        """Monotonic time by which all runs end unless their lease is renewed later, in seconds."""
        end_s = self._extended_s + longest_lease_s(self._settings)
        if self._former_until_s is None:
            return end_s
        return max(end_s, self._former_until_s + longest_hold_s(self._settings))

    @property
    def _extended_s(self) -> float:
        """Latest time at which any owner may have extended the lease."""
        if self._own_extension_s is None:
            return self._previous_extension_s
        return max(self._previous_extension_s, self._own_extension_s)

    @property
    def state(self) -> LeaseState:
        """What the lease was last computed from."""
        with self._lock:
            return LeaseState(self._extended_s, self._deadline_ms, self._reading_age_s, self.end_s)

    def needs_reading(self, now_s: float) -> bool:
        """Whether a lease that is computed from the last clock reading would be much shorter."""
        reading = self._reading
        if reading is None:
            return True
        shortening_s = (now_s - reading.received_s) * self._settings.clock_error
        return shortening_s > self._settings.lease_s * _MAX_SHORTENING

    def note_clock(self, clock_ms: int | None, now_s: float) -> None:
        """Record the worker's clock from a reply that was received now."""
        if clock_ms is not None:
            # One assignment: other threads read the value and its time together.
            self._reading = _ClockReading(clock_ms, now_s)

    def extend(self, now_s: float) -> int:
        """Return the deadline of a lease that starts now, in milliseconds of the worker's clock."""
        reading = self._reading
        clock_ms = self._registered_ms
        age_s = None
        if reading is not None:
            age_s = max(0.0, now_s - reading.received_s)
            clock_ms = reading.clock_ms + int(
                age_s * (1.0 - self._settings.clock_error) * _MS_PER_S
            )
        deadline_ms = clock_ms + int(self._settings.lease_s * _MS_PER_S)
        with self._lock:
            self._own_extension_s = max(self._own_extension_s or now_s, now_s)
            self._deadline_ms = deadline_ms
            self._reading_age_s = age_s
        return deadline_ms

    def may_be_extended_by_previous(self, now_s: float) -> bool:
        """Whether a previous owner may still extend the lease."""
        return self._previous_extension_s > now_s

    def note_poll(self, now_s: float) -> None:
        """Record an answer to a poll: the worker rejects a previous owner's token from now on."""
        self._previous_extension_s = min(self._previous_extension_s, now_s)
        if self._former_until_s is not None:
            self._former_until_s = min(self._former_until_s, now_s)


def longest_lease_s(settings: ControlSettings) -> float:
    """Return how long a lease may last in this process's time, in seconds.

    Examples
    --------
    >>> round(longest_lease_s(ControlSettings(lease_s=4.9, clock_error=0.02)), 6)
    5.0
    """
    return settings.lease_s / (1.0 - settings.clock_error)
