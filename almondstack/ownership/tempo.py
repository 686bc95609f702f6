"""How fast the store answers, and how long to wait for each answer while an append is repeated."""

import time
from collections.abc import Iterator

__all__ = ["StoreTempo"]

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


class StoreTempo:
    """What the answers of the last seconds say of the store's speed.

    Examples
    --------
    >>> from itertools import islice
    >>> tempo = StoreTempo()
    >>> tempo.note(0.004)
    >>> list(islice(tempo.timeouts_s(), 4))
    [0.5, 0.5, 1.2, 1.2]
    >>> tempo.note(0.312)
    >>> list(islice(tempo.timeouts_s(), 2))
    [2.8, 2.8]
    """

    __slots__ = ("_slow_s",)

    def __init__(self) -> None:
        self._slow_s: float | None = None

    @property
    def is_slow(self) -> bool:
        """Whether an answer took long in the last seconds."""
        return self._slow_s is not None and time.monotonic() - self._slow_s < _REMEMBERED_S

    def note(self, took_s: float) -> None:
        """Note an answer that took so long, beyond what it was asked to wait, in seconds."""
        if took_s > _SLOW_ANSWER_S:
            self._slow_s = time.monotonic()

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
