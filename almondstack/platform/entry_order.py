"""Tells entries of workers that are read late from those that follow what is known."""

from typing import NamedTuple

__all__ = ["EntryOrder"]

_LATE_S = 13.0
"""Time in which an entry may still be read after a later one, in seconds: a write without an
answer may be carried out late, and the log is read from the end at the first page of a snapshot."""

_MAX_WORKERS = 20_000
"""Workers that are remembered; the earliest ones are forgotten first."""


class _Entry(NamedTuple):
    """The newest entry of a worker, read at a monotonic time in seconds."""

    life: int
    sequence: int
    read_s: float


class EntryOrder:
    """The newest entry of each worker, and which lives it has replaced.

    Explanation
    -----------
    A worker counts its entries from each start on.  The lives are not ordered by their
    times of day, which may be set back between two: a life that another one has replaced is
    over, and any that is not known yet is the next one.  Only what is read within the time in
    which it may be late is taken for late, so that nobody can hide a worker for good.

    Examples
    --------
    >>> order = EntryOrder()
    >>> order.is_next("i-1", 5_000, 7, now_s=1.0), order.is_next("i-1", 5_000, 6, now_s=2.0)
    (True, False)
    >>> order.is_next("i-1", 4_000, 1, now_s=3.0), order.is_next("i-1", 5_000, 8, now_s=4.0)
    (True, False)
    >>> order.is_next("i-1", 5_000, 9, now_s=30.0)
    True
    """

    __slots__ = ("_ended_s", "_newest")

    def __init__(self) -> None:
        self._newest: dict[str, _Entry] = {}
        self._ended_s: dict[str, dict[int, float]] = {}

    def is_next(self, worker: str, life: int, sequence: int, now_s: float) -> bool:
        """Note an entry unless it was read late; return whether it was noted.

        Parameters
        ----------
        worker : str
            Id of the worker.
        life : int
            Start of the worker, in Unix milliseconds; an entry without it is never late, and
            ends no life.
        sequence : int
            Number of the entry in that life.
        now_s : float
            Present monotonic time in seconds.
        """
        newest = self._newest.get(worker)
        if newest is not None and life and self._is_late(worker, newest, life, sequence, now_s):
            return False
        if not life:
            return True
        if newest is not None and newest.life != life:
            self._note_end(worker, newest.life, now_s)
        if newest is None and len(self._newest) >= _MAX_WORKERS:
            self._forget_first()
        self._newest[worker] = _Entry(life, sequence, now_s)
        return True

    def _is_late(self, worker: str, newest: _Entry, life: int, sequence: int, now_s: float) -> bool:
        if life == newest.life:
            return sequence < newest.sequence and now_s - newest.read_s < _LATE_S
        ended_s = self._ended_s.get(worker, {}).get(life)
        return ended_s is not None and now_s - ended_s < _LATE_S

    def _note_end(self, worker: str, life: int, now_s: float) -> None:
        ended = self._ended_s.get(worker, {})
        recent = {other: at_s for other, at_s in ended.items() if now_s - at_s < _LATE_S}
        self._ended_s[worker] = {**recent, life: now_s}

    def _forget_first(self) -> None:
        first = next(iter(self._newest))
        del self._newest[first]
        self._ended_s.pop(first, None)
