"""How far apart the reads of a process are, so that all processes share the store's rate."""

import threading
import time

__all__ = ["ReadBackoff"]

_STEP = 1.5
"""By this factor reads are spread each time that the store turns one away for its rate."""

_STEP_INTERVAL_S = 0.5
"""Reads that are turned away within so short a time tell of one overload, in seconds."""

_MOST = 16.0
_DECAY_PER_S = 0.97
"""What is left of the factor after each second in which no read was turned away."""


class ReadBackoff:
    """Spreads reads while the store takes no more of them, and brings them back slowly.

    Explanation
    -----------
    Nobody knows how many processes share the stated rate.  Each spreads its reads
    at a refusal and comes back slowly, as senders do that share a link (additive
    and multiplicative changes, RFC 5681); what must come in time, configurations
    above all, is not spread and finds room.

    Where the rate is short, some reads are answered between those that are turned
    away.  A store that answers none turns this process away for another reason, and
    once it answers again there is no cause to read seldom: a process that reads every
    three seconds notices as late that it is cut off.  So refusals without an answer
    between them count as one step once there is an answer.

    Examples
    --------
    >>> pace = ReadBackoff()
    >>> pace.factor(10.0)
    1.0
    >>> pace.note_refused(10.0)
    >>> pace.note_refused(10.1)
    >>> pace.factor(10.1)
    1.5
    >>> pace.note_refused(11.0)
    >>> pace.factor(11.0) > 2.0, pace.factor(60.0)
    (True, 1.0)

    An answer ends a row of refusals, of which all but the first are forgotten:

    >>> pace.note_answered(11.1)
    >>> pace.factor(11.1)
    1.5
    """

    __slots__ = ("_factor", "_factor_before", "_lock", "_refused_s", "_stepped_s")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._factor = 1.0
        self._factor_before: float | None = None
        self._refused_s = 0.0
        self._stepped_s = 0.0

    def factor(self, now_s: float | None = None) -> float:
        """Return by what to multiply the pause between two reads."""
        now_s = time.monotonic() if now_s is None else now_s
        quiet_s = max(0.0, now_s - self._refused_s)
        return max(1.0, self._factor * _DECAY_PER_S**quiet_s)

    def note_refused(self, now_s: float | None = None) -> None:
        """Note that the store turned a read away for its rate."""
        now_s = time.monotonic() if now_s is None else now_s
        with self._lock:
            if self._factor_before is None:
                self._factor_before = self.factor(now_s)
            if now_s - self._stepped_s >= _STEP_INTERVAL_S:
                self._factor = min(_MOST, self.factor(now_s) * _STEP)
                self._stepped_s = now_s
            self._refused_s = now_s

    def note_answered(self, now_s: float | None = None) -> None:
        """Note that the store answered a read."""
        if self._factor_before is None:
            return
        now_s = time.monotonic() if now_s is None else now_s
        with self._lock:
            before, self._factor_before = self._factor_before, None
            if before is not None:
                self._factor = min(self.factor(now_s), before * _STEP)
                self._refused_s = now_s
