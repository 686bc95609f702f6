"""Tracks how fast the store answers, and derives the time-outs of repeated appends."""

import math
import random
import threading
import time
from collections import deque
from collections.abc import Iterator

__all__ = ["StoreLatency"]

_FIRST_TIMEOUTS_S = (0.5, 0.5)
"""Time-outs of the first tries.  An ordinary append takes some milliseconds, so that an append
whose answer was lost is repeated soon."""

_LATER_TIMEOUT_S = 1.2
"""Time-out of all later tries: long enough for a store that is slow but not yet known to be."""

_SLOW_STORE_TIMEOUT_S = 2.8
"""Time-out of each try while the store is slow.  The store then executes appends one by one,
queues up to 2 s of them and rejects more, so that a repeat before the answer only delays others."""

_SLOW_ANSWER_MIN_S = 0.15
"""Answers that take longer are slow.  An ordinary answer takes some milliseconds, and some tens
of milliseconds on a busy machine."""

_WINDOW_S = 2.0
"""How long a slow answer is taken into account.  A read that finds no record ends after at most
a second, so that there is a new observation at least that often."""

_REFUSAL_PAUSE_S = (2.0, 4.0)
"""Shortest and longest time without appends for callers after a slow store has rejected an
append: its capacity is left to the owner, on which all jobs depend.  The time is random, so that
processes don't all resume at once."""


class _RecentDelays:
    """Durations of the answers within the last ``_WINDOW_S`` seconds."""

    __slots__ = ("_delays",)

    def __init__(self) -> None:
        self._delays: deque[tuple[float, float]] = deque()

    def add(self, took_s: float) -> None:
        """Add the duration of an answer that has just arrived."""
        self._delays.append((time.monotonic(), took_s))

    def clear(self) -> None:
        self._delays.clear()

    def longest_s(self) -> float:
        """Return the longest duration within the window, in seconds; 0 if there is none."""
        old_s = time.monotonic() - _WINDOW_S
        while self._delays and self._delays[0][0] < old_s:
            self._delays.popleft()
        return max((took_s for _, took_s in self._delays), default=0.0)


class StoreLatency:
    """Estimates the store's answer time from its answers of the last seconds.

    Examples
    --------
    >>> from itertools import islice
    >>> latency = StoreLatency()
    >>> latency.note_read(0.004)
    >>> list(islice(latency.timeouts_s(), 4))
    [0.5, 0.5, 1.2, 1.2]
    >>> latency.note_read(0.312)
    >>> list(islice(latency.timeouts_s(), 2))
    [2.8, 2.8]
    """

    __slots__ = ("_lock", "_paused_until_s", "_slow_appends", "_slow_reads")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._slow_appends = _RecentDelays()
        self._slow_reads = _RecentDelays()
        self._paused_until_s = -math.inf

    @property
    def is_slow(self) -> bool:
        """Whether some answer of the last seconds was slow."""
        return self._longest_s() > 0

    @property
    def expected_s(self) -> float:
        """Expected answer time of an append in seconds; 0 unless the store is slow, inf if full."""
        if time.monotonic() < self._paused_until_s:
            return math.inf
        return self._longest_s()

    @property
    def answer_s(self) -> float:
        """Duration of the slowest recent answer in seconds; 0 unless the store is slow."""
        return self._longest_s()

    def note_read(self, took_s: float, wait_s: float = 0.0) -> None:
        """Note an answer to a read after ``took_s`` seconds that was to wait up to ``wait_s``.

        Explanation
        -----------
        An answer at once, or right at the end of ``wait_s``, shows that the store is not
        slow any more.  An answer in between shows nothing, since the record that it waited
        for may have been appended at any time.
        """
        late_s = took_s - wait_s
        with self._lock:
            if late_s > _SLOW_ANSWER_MIN_S:
                self._slow_reads.add(late_s)
            elif late_s >= 0 or took_s <= _SLOW_ANSWER_MIN_S:
                self._slow_reads.clear()
                self._paused_until_s = -math.inf

    def note_append(self, took_s: float) -> None:
        """Note that an append was answered after ``took_s`` seconds; a fast answer resets all."""
        with self._lock:
            if took_s > _SLOW_ANSWER_MIN_S:
                self._slow_appends.add(took_s)
                return
            self._slow_appends.clear()
            self._slow_reads.clear()
            self._paused_until_s = -math.inf

    def note_unanswered(self, took_s: float) -> None:
        """Note an append without an answer for ``took_s`` seconds.

        Explanation
        -----------
        While the store is slow, its answer may only be late, and counts as a slow one.
        """
        if self.is_slow:
            self.note_append(took_s)

    def note_refused(self) -> None:
        """Note that the store rejected an append; while the store is slow, its queue is full."""
        if self.is_slow:
            self._paused_until_s = time.monotonic() + random.uniform(*_REFUSAL_PAUSE_S)

    def _longest_s(self) -> float:
        """Return the longest of the recent slow answers, in seconds."""
        with self._lock:
            return max(self._slow_reads.longest_s(), self._slow_appends.longest_s())

    def timeouts_s(self) -> Iterator[float]:
        """Yield the time-outs of the first try and of each repeat of an append, in seconds.

        Explanation
        -----------
        A repeat has no effect while the first try may still be executed, since the store
        executes an append of one producer, epoch and sequence number once; but it occupies
        a place in the store's queue.
        """
        first_timeouts_s = iter(_FIRST_TIMEOUTS_S)
        while True:
            yield (
                _SLOW_STORE_TIMEOUT_S if self.is_slow else next(first_timeouts_s, _LATER_TIMEOUT_S)
            )
