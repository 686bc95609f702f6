"""Backoff of a process's reads, so that all processes share the store's rate limit."""

import threading
import time

__all__ = ["ReadBackoff"]

_GROWTH_FACTOR = 1.5
"""Factor by which the interval between reads grows when the store rejects one for its rate."""

_GROWTH_INTERVAL_S = 0.5
"""Rejections within this time count as one overload and increase the interval once."""

_MAX_FACTOR = 16.0
_DECAY_PER_S = 0.97
"""Ratio by which the factor shrinks in each second without a rejected read."""


class ReadBackoff:
    """Increases the interval between reads when the store rejects them, and restores it slowly.

    Explanation
    -----------
    A process does not know how many others share the rate limit.  Each one backs off
    when a read is rejected and recovers slowly, like TCP senders on a shared link
    (RFC 5681).  Urgent reads, those of configurations above all, are not delayed, and the
    reads that back off leave capacity for them.

    If the rate is exhausted, the store still answers some reads between the rejected
    ones.  A store that answers none rejects this process for another reason, and there is
    no cause to back off once it answers again: a process that reads only every three
    seconds takes as long to detect that it is disconnected.  So consecutive rejections
    without an answer between them count as one as soon as there is an answer.

    Examples
    --------
    >>> backoff = ReadBackoff()
    >>> backoff.factor(10.0)
    1.0
    >>> backoff.note_refused(10.0)
    >>> backoff.note_refused(10.1)
    >>> backoff.factor(10.1)
    1.5
    >>> backoff.note_refused(11.0)
    >>> backoff.factor(11.0) > 2.0, backoff.factor(60.0)
    (True, 1.0)

    An answer ends a series of rejections and undoes the effect of all but the first:

    >>> backoff.note_answered(11.1)
    >>> backoff.factor(11.1)
    1.5
    """

    __slots__ = ("_factor", "_factor_before", "_grown_s", "_lock", "_refused_s")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._factor = 1.0
        self._factor_before: float | None = None
        self._refused_s = 0.0
        self._grown_s = 0.0

    def factor(self, now_s: float | None = None) -> float:
        """Return the factor by which to multiply the pause between two reads, at least 1."""
        now_s = time.monotonic() if now_s is None else now_s
        since_refusal_s = max(0.0, now_s - self._refused_s)
        return max(1.0, self._factor * _DECAY_PER_S**since_refusal_s)

    def note_refused(self, now_s: float | None = None) -> None:
        """Note that the store rejected a read for its rate limit."""
        now_s = time.monotonic() if now_s is None else now_s
        with self._lock:
            if self._factor_before is None:
                self._factor_before = self.factor(now_s)
            if now_s - self._grown_s >= _GROWTH_INTERVAL_S:
                self._factor = min(_MAX_FACTOR, self.factor(now_s) * _GROWTH_FACTOR)
                self._grown_s = now_s
            self._refused_s = now_s

    def note_answered(self, now_s: float | None = None) -> None:
        """Note that the store answered a read."""
        if self._factor_before is None:
            return
        now_s = time.monotonic() if now_s is None else now_s
        with self._lock:
            before, self._factor_before = self._factor_before, None
            if before is not None:
                self._factor = min(self.factor(now_s), before * _GROWTH_FACTOR)
                self._refused_s = now_s
