"""Estimates the remaining time of a run, and whether a restart elsewhere would be faster."""

from collections import deque

__all__ = ["Progress", "is_better_elsewhere"]

_MIN_SPAN_S = 1.0
"""Shortest time over which speed is estimated: progress is reported in whole percent, and a run
that resumes from a checkpoint makes no progress at first."""

_MIN_SPEEDUP = 1.5
"""A run is stopped if its remaining time is more than this multiple of a restart elsewhere."""

_FULL_PERCENT = 100


class Progress:
    """Progress of one run over the last seconds, as its worker reported it.

    Examples
    --------
    >>> progress = Progress()
    >>> for second, percent in enumerate((10, 30, 50)):
    ...     progress.note(float(second), percent)
    >>> progress.remaining_s
    2.5

    A stalled run is taken to have done less than one percent since its last progress:

    >>> for second, percent in enumerate((50, 50, 50), start=3):
    ...     progress.note(float(second), percent)
    >>> progress.remaining_s
    150.0
    """

    __slots__ = ("_changed_s", "_samples")

    def __init__(self) -> None:
        self._samples: deque[tuple[float, int]] = deque()
        self._changed_s = 0.0

    @property
    def percent(self) -> int:
        """The last reported share of the work that is done, 0 to 100."""
        return self._samples[-1][1] if self._samples else 0

    @property
    def remaining_s(self) -> float | None:
        """Seconds until the end at the present speed; None while unknown."""
        if not self._samples:
            return None
        first_s, first = self._samples[0]
        last_s, last = self._samples[-1]
        if last_s - first_s < _MIN_SPAN_S:
            return None
        if last <= first:
            return (_FULL_PERCENT - last) * (last_s - self._changed_s)
        return (_FULL_PERCENT - last) * (last_s - first_s) / (last - first)

    def note(self, clock_s: float, percent: int) -> None:
        """Add a sample that the worker took at ``clock_s`` of its own clock, in seconds."""
        samples = self._samples
        if percent != self.percent or not samples:
            self._changed_s = clock_s
        samples.append((clock_s, percent))
        while len(samples) > 2 and samples[1][0] <= clock_s - _MIN_SPAN_S:
            samples.popleft()


def is_better_elsewhere(
    remaining_s: float, task_s: float, percent: int, change_s: float, *, has_checkpoint: bool
) -> bool:
    """Return whether a task would end clearly sooner if it were restarted on another worker.

    Parameters
    ----------
    remaining_s : float
        Remaining time of the present run at its present speed, in seconds.
    task_s : float
        Duration of the whole task on a healthy worker, in seconds.
    percent : int
        Share of the task that is done, 0 to 100.
    change_s : float
        Time to stop the run and start it elsewhere, in seconds.
    has_checkpoint : bool
        Whether the new run resumes where the present one is stopped.

    Examples
    --------
    >>> is_better_elsewhere(9.0, 2.0, 90, 1.0, has_checkpoint=False)
    True
    >>> is_better_elsewhere(4.0, 2.0, 90, 1.0, has_checkpoint=False)
    False
    """
    left = (_FULL_PERCENT - percent) / _FULL_PERCENT if has_checkpoint else 1.0
    return remaining_s > _MIN_SPEEDUP * (task_s * left + change_s)
