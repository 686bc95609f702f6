"""Calls that were sent to a worker, and what a later life of it may make of them."""

import threading
from typing import NamedTuple

from almondstack.control.settings import ControlSettings

__all__ = ["MAX_CALL_DELAY_S", "SentCalls", "longest_hold_s"]

MAX_CALL_DELAY_S = 13.0
"""A call without an answer may still be carried out within this time, in seconds."""


class _Sent(NamedTuple):
    """A call that was sent to one life of the worker, at a monotonic time in seconds."""

    life: int
    sent_s: float
    token: int
    has_deadline: bool

    @property
    def kind(self) -> tuple[int, int, bool]:
        """What calls have in common of which only the last one counts."""
        return self.life, self.token, self.has_deadline

    @property
    def arrives_until_s(self) -> float:
        """Until when it may be carried out if it gets no answer, in monotonic seconds."""
        return self.sent_s + MAX_CALL_DELAY_S


class SentCalls:
    """Calls to one worker id, of all its lives, that have no answer.

    Explanation
    -----------
    Only calls of this owner are known; :class:`WorkerLease` counts those of an earlier one,
    which have lower fencing tokens.
    A worker that starts again has the same id, so it takes calls for its former lives, unless
    it has seen a higher fencing token; after a restart it has seen none.
    A deadline is a time of the clock of the life that it was computed for, and the clock of the
    next one begins anew: such a deadline lies far ahead, and the worker grants the longest lease
    that it grants at all, from whenever it carries the call out.  A deadline can't be shortened.

    Parameters
    ----------
    settings : ControlSettings
        The longest lease that workers grant, and the error of their clocks.

    Examples
    --------
    >>> sent = SentCalls(ControlSettings(max_hold_s=4.9))
    >>> number = sent.begin(life=1, now_s=100.0, token=7)
    >>> round(sent.end_s(life=2), 3), sent.end_s(life=1)
    (118.0, 0.0)
    >>> sent.needs_higher_token(life=2, token=7, now_s=101.0)
    True
    >>> sent.settle(number, life=1, now_s=100.5)
    >>> sent.end_s(life=2), sent.needs_higher_token(life=2, token=7, now_s=101.0)
    (0.0, False)
    """

    __slots__ = ("_count", "_lock", "_open", "_settings", "_taken_s", "_unanswered")

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        self._count = 0
        self._open: dict[int, _Sent] = {}
        self._unanswered: list[_Sent] = []
        self._taken_s: dict[int, float] = {}
        self._lock = threading.Lock()

    def begin(self, life: int, now_s: float, token: int = 0, *, has_deadline: bool = True) -> int:
        """Record a call that is about to be sent; return its number."""
        with self._lock:
            self._count += 1
            self._open[self._count] = _Sent(life, now_s, token, has_deadline)
            return self._count

    def settle(self, number: int, life: int, now_s: float) -> None:
        """Record that a life has answered a call, or with that of the call, that it was not sent.

        Explanation
        -----------
        If another life than the one it was meant for has answered, it has taken the deadline.
        """
        with self._lock:
            sent = self._open.pop(number)
            if life != sent.life and sent.has_deadline:
                self._taken_s[life] = now_s

    def leave_open(self, number: int) -> None:
        """Record that a call got no answer, so that it may still be carried out."""
        with self._lock:
            sent = self._open.pop(number)
            # Only the one of a kind that was sent last counts; it need not be the last to fail.
            alike = [other for other in self._unanswered if other.kind == sent.kind]
            self._unanswered = [other for other in self._unanswered if other.kind != sent.kind]
            self._unanswered.append(max((*alike, sent), key=lambda other: other.sent_s))

    def needs_higher_token(self, life: int, token: int, now_s: float) -> bool:
        """Whether a life that gets calls with a token may yet carry out calls for another life.

        Explanation
        -----------
        Such a call has the worker forget ended runs that nobody has read, as it says up to which
        number those of the former life were; it starts, stops and slows runs, and prolongs all
        leases.  A life that has seen a higher token refuses it.
        """
        with self._lock:
            return any(
                sent.token >= token and sent.arrives_until_s >= now_s for sent in self._others(life)
            )

    def is_over(self, now_s: float) -> bool:
        """Whether no lease on any life can last any more by what was sent."""
        with self._lock:
            ends_s = [sent.arrives_until_s for sent in self._unanswered]
            ends_s += self._taken_s.values()
            return (
                not self._open and max(ends_s, default=0.0) + longest_hold_s(self._settings) < now_s
            )

    def settled_s(self, life: int) -> float:
        """Return from when on no call for another life can reach a life; 0 if there are none."""
        with self._lock:
            return max((sent.arrives_until_s for sent in self._others(life)), default=0.0)

    def _others(self, life: int) -> list[_Sent]:
        """Return the calls for other lives that may still be carried out."""
        calls = (*self._open.values(), *self._unanswered)
        return [sent for sent in calls if sent.life != life]

    def end_s(self, life: int) -> float:
        """Return until when a lease on a life may last by calls for others; 0 if there are none.

        Explanation
        -----------
        Monotonic seconds.  A time that has passed says that no such lease is left.
        """
        with self._lock:
            ends_s = [sent.arrives_until_s for sent in self._others(life) if sent.has_deadline]
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
