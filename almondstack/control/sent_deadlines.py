"""Deadlines that were sent to a worker, and what a later life of it may make of them."""

import threading
from typing import NamedTuple

from almondstack.control.settings import ControlSettings

__all__ = ["MAX_CALL_DELAY_S", "SentDeadlines", "longest_hold_s"]

MAX_CALL_DELAY_S = 13.0
"""A call without an answer may still be carried out within this time, in seconds."""


class _Sent(NamedTuple):
    """A deadline that was sent to one life of the worker, at a monotonic time in seconds."""

    life: int
    sent_s: float


class SentDeadlines:
    """Calls with a deadline to one worker id, of all its lives, that have no answer.

    Explanation
    -----------
    Only calls of this owner are known; :class:`WorkerLease` counts those of an earlier one.
    A deadline is a time of the clock of the life that it was computed for.  A worker that
    starts again has the same id, so it takes calls for its former lives, and its clock begins
    anew: such a deadline lies far ahead, and the worker grants the longest lease that it
    grants at all, from whenever it carries the call out.  A deadline can't be shortened.

    Parameters
    ----------
    settings : ControlSettings
        The longest lease that workers grant, and the error of their clocks.

    Examples
    --------
    >>> sent = SentDeadlines(ControlSettings(max_hold_s=4.9))
    >>> number = sent.begin(life=1, now_s=100.0)
    >>> round(sent.end_s(life=2), 3), sent.end_s(life=1)
    (118.0, 0.0)
    >>> sent.settle(number, life=1, now_s=100.5)
    >>> sent.end_s(life=2)
    0.0
    """

    __slots__ = ("_count", "_lock", "_open", "_settings", "_taken_s", "_unanswered")

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._count = 0
        self._open: dict[int, _Sent] = {}
        self._unanswered: list[_Sent] = []
        self._taken_s: dict[int, float] = {}
        self._lock = threading.Lock()

    def begin(self, life: int, now_s: float) -> int:
        """Record a call that is about to be sent; return its number."""
        with self._lock:
            self._count += 1
            self._open[self._count] = _Sent(life, now_s)
            return self._count

    def settle(self, number: int, life: int, now_s: float) -> None:
        """Record that a life has answered a call, or with that of the call, that it was not sent.

        Explanation
        -----------
        If another life than the one it was meant for has answered, it has taken the deadline.
        """
        with self._lock:
            sent = self._open.pop(number)
            if life != sent.life:
                self._taken_s[life] = now_s

    def leave_open(self, number: int) -> None:
        """Record that a call got no answer, so that it may still be carried out."""
        with self._lock:
            sent = self._open.pop(number)
            # Only the last one of each life counts.
            self._unanswered = [other for other in self._unanswered if other.life != sent.life]
            self._unanswered.append(sent)

    def is_over(self, now_s: float) -> bool:
        """Whether no lease on any life can last any more by what was sent."""
        with self._lock:
            ends_s = [sent.sent_s + MAX_CALL_DELAY_S for sent in self._unanswered]
            ends_s += self._taken_s.values()
            return (
                not self._open and max(ends_s, default=0.0) + longest_hold_s(self._settings) < now_s
            )

    def settled_s(self, life: int) -> float:
        """Return from when on no call for another life can reach a life; 0 if there are none.

        Explanation
        -----------
        Monotonic seconds.  Such a call may also have the worker forget ends of runs, as it
        says up to which number the ends of the former life were seen.
        """
        with self._lock:
            return max(self._others_s(life), default=0.0)

    def _others_s(self, life: int) -> list[float]:
        """Return until when each call for another life may be carried out."""
        return [
            sent.sent_s + MAX_CALL_DELAY_S
            for sent in (*self._open.values(), *self._unanswered)
            if sent.life != life
        ]

    def end_s(self, life: int) -> float:
        """Return until when a lease on a life may last by calls for others; 0 if there are none.

        Explanation
        -----------
        Monotonic seconds.  A time that has passed says that no such lease is left.
        """
        with self._lock:
            ends_s = self._others_s(life)
            if life in self._taken_s:
                ends_s.append(self._taken_s[life])
        return max(ends_s) + longest_hold_s(self._settings) if ends_s else 0.0


def longest_hold_s(settings: ControlSettings) -> float:
    """Return how long the longest lease that a worker grants may last, in seconds of this process.

    Examples
    --------
    >>> round(longest_hold_s(ControlSettings(max_hold_s=4.9, clock_error=0.02)), 6)
    5.0
    """
    return settings.max_hold_s / (1.0 - settings.clock_error)
