"""How fast a run gets on, and whether its task would end sooner elsewhere."""

from collections import deque

__all__ = ["Progress", "is_better_elsewhere"]

_SPAN_S = 1.0
"""Progress is judged over at least this time, in seconds: it is told in whole percent, and a run
that goes on from a checkpoint stands still at first."""

_WORTH = 1.5
"""A run is given up if the rest of it takes so many times as long as the task anew elsewhere."""

_FULL_PERCENT = 100


class Progress:
    """The share of its work that a run has done, as its worker told over the last seconds.

    Examples
    --------
    >>> progress = Progress()
    >>> for second, percent in enumerate((10, 30, 50)):
    ...     progress.note(float(second), percent)
    >>> progress.remaining_s
    2.5

    A run that stands still has done less than one percent since it stopped:

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
        """The share that was told last, 0 to 100."""
        return self._samples[-1][1] if self._samples else 0

    @property
    def remaining_s(self) -> float | None:
        """Seconds until the end at the present speed; None as long as that is not known."""
        if not self._samples:
            return None
        first_s, first = self._samples[0]
        last_s, last = self._samples[-1]
        if last_s - first_s < _SPAN_S:
            return None
        if last <= first:
            return (_FULL_PERCENT - last) * (last_s - self._changed_s)
        return (_FULL_PERCENT - last) * (last_s - first_s) / (last - first)

    def note(self, clock_s: float, percent: int) -> None:
        """Note what a worker tells at a time of its own clock, in seconds."""
        samples = self._samples
        if percent != self.percent or not samples:
            self._changed_s = clock_s
        samples.append((clock_s, percent))
        while len(samples) > 2 and samples[1][0] <= clock_s - _SPAN_S:
            samples.popleft()


def is_better_elsewhere(
    remaining_s: float, task_s: float, percent: int, change_s: float, *, has_checkpoint: bool
) -> bool:
    """Whether a task would clearly end sooner if it were stopped and run on another worker.

    Parameters
    ----------
    remaining_s : float
        What is left of its present run at its present speed, in seconds.
    task_s : float
        How long the task takes on a sound worker, in seconds.
    percent : int
        The share that is done.
    change_s : float
        What stopping it and starting it elsewhere takes, in seconds.
    has_checkpoint : bool
        Whether it goes on from where it was stopped.

    Examples
    --------
    >>> is_better_elsewhere(9.0, 2.0, 90, 1.0, has_checkpoint=False)
    True
    >>> is_better_elsewhere(4.0, 2.0, 90, 1.0, has_checkpoint=False)
    False
    """
    left = (_FULL_PERCENT - percent) / _FULL_PERCENT if has_checkpoint else 1.0
    return remaining_s > _WORTH * (task_s * left + change_s)
