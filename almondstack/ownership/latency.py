"""How fast the store answers, and how long to wait for each answer while an append is repeated."""

import math
import random
import threading
import time
from collections import deque
from collections.abc import Iterator

__all__ = ["StoreLatency"]

_QUICK_TRIES_S = (0.5, 0.5)
"""An ordinary append takes some milliseconds; where its answer was lost, it is soon repeated."""

_PATIENT_TRY_S = 1.2
"""A store that is slow must be given its time in the end, in seconds."""

_SLOW_TRY_S = 2.8
"""A slow store takes appends one by one: it has room for 2 s of them and says so when there is
none, so that a repeat before its answer only makes all others wait longer.  In seconds."""

_SLOW_ANSWER_S = 0.15
"""An ordinary answer takes some milliseconds, and a few tens at a busy machine; in seconds."""

_REMEMBERED_S = 2.0
"""Reads that wait in vain tell of the store at least once a second; in seconds."""

_FULL_S = (2.0, 4.0)
"""So long after a slow store said that it takes no more, nothing is handed to it for callers, at
least and at most: what it takes is left to the owner, without whom nothing goes on.  In seconds;
chosen by lot, so that not all processes ask again at once."""


class _Remembered:
    """How long answers took that came lately."""

    __slots__ = ("_took",)

    def __init__(self) -> None:
        self._took: deque[tuple[float, float]] = deque()

    def add(self, took_s: float) -> None:
        """Remember an answer that has just come."""
        self._took.append((time.monotonic(), took_s))

    def clear(self) -> None:
        """Forget all."""
        self._took.clear()

    def longest_s(self) -> float:
        """Return the longest that is remembered; 0 if there is none, in seconds."""
        old_s = time.monotonic() - _REMEMBERED_S
        while self._took and self._took[0][0] < old_s:
            self._took.popleft()
        return max((took_s for _, took_s in self._took), default=0.0)


class StoreLatency:
    """What the answers of the last seconds say of the store's speed.

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

    __slots__ = ("_full_until_s", "_lock", "_slow_appends", "_slow_reads")

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._slow_appends = _Remembered()
        self._slow_reads = _Remembered()
        self._full_until_s = -math.inf

    @property
    def is_slow(self) -> bool:
        """Whether an answer took long in the last seconds."""
        return self._longest_s() > 0

    @property
    def expected_s(self) -> float:
        """How long the answer to an append may take; 0 unless the store is slow, in seconds."""
        if time.monotonic() < self._full_until_s:
            return math.inf
        return self._longest_s()

    @property
    def answer_s(self) -> float:
        """How long the slowest answer of the last seconds took; 0 unless the store is slow."""
        return self._longest_s()

    def note_read(self, took_s: float, wait_s: float = 0.0) -> None:
        """Note an answer that came after ``took_s``, asked to come after ``wait_s`` at the latest.

        Explanation
        -----------
        A quick one says that the store itself is not slow any more.  One that came in
        between says nothing: what it waited for may have come late.
        """
        late_s = took_s - wait_s
        with self._lock:
            if late_s > _SLOW_ANSWER_S:
                self._slow_reads.add(late_s)
            elif late_s >= 0 or took_s <= _SLOW_ANSWER_S:
                self._slow_reads.clear()
                self._full_until_s = -math.inf

    def note_append(self, took_s: float) -> None:
        """Note that an append was answered after so long; a quick one ends all doubt."""
        with self._lock:
            if took_s > _SLOW_ANSWER_S:
                self._slow_appends.add(took_s)
                return
            self._slow_appends.clear()
            self._slow_reads.clear()
            self._full_until_s = -math.inf

    def note_unanswered(self, took_s: float) -> None:
        """Note that an append got no answer for so long; while the store is slow it may be late."""
        if self.is_slow:
            self.note_append(took_s)

    def note_refused(self) -> None:
        """Note that the store did not take an append; while it is slow, too many are waiting."""
        if self.is_slow:
            self._full_until_s = time.monotonic() + random.uniform(*_FULL_S)

    def _longest_s(self) -> float:
        """Return the longest of the slow answers that are remembered."""
        with self._lock:
            return max(self._slow_reads.longest_s(), self._slow_appends.longest_s())

    def timeouts_s(self) -> Iterator[float]:
        """Yield the seconds to wait for the first answer and for that of each repeat.

        Explanation
        -----------
        A repeat while the first try may still be carried out changes nothing, since
        the store takes an append of one producer, epoch and sequence once; but it
        takes its turn.
        """
        quick = iter(_QUICK_TRIES_S)
        while True:
            yield _SLOW_TRY_S if self.is_slow else next(quick, _PATIENT_TRY_S)
