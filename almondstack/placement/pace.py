"""Throttles filler tasks that run beside serving tasks."""

from typing import NamedTuple

from almondstack.jobs import Task
from almondstack.placement.interference import Interference, kind_of

__all__ = ["FIGURES_COVER_S", "PacedFiller", "latency_ratio", "next_percent", "next_percents"]

FIGURES_COVER_S = 0.5
"""Time that the load figures of a worker cover, in seconds."""

_SLOW_DOWN_FROM = 0.85
"""Tail latency of a serving task, as a share of its target, from which fillers are slowed."""

_SPEED_UP_BELOW = 0.6
"""The same share, below which fillers are sped up."""

_FULL_PERCENT = 100
_STEP_UP_PERCENT = 25
"""By how much a filler is sped up in one step, in percent of full speed."""


def next_percent(percent: int, worst: float) -> int:
    """Return the share of processor time that a filler may use next, in percent.

    Explanation
    -----------
    The share falls fast and rises slowly: a tail latency over its target costs more
    than a paused filler.

    Parameters
    ----------
    percent : int
        The filler's present share.
    worst : float
        Highest tail latency among the serving tasks on the worker, as a share of its
        target.

    Examples
    --------
    >>> next_percent(100, 1.2), next_percent(100, 0.9), next_percent(40, 0.7), next_percent(40, 0.2)
    (0, 50, 40, 65)
    """
    if worst >= 1.0:
        return 0
    if worst >= _SLOW_DOWN_FROM:
        return percent // 2
    if worst < _SPEED_UP_BELOW:
        return min(_FULL_PERCENT, percent + _STEP_UP_PERCENT)
    return percent


def latency_ratio(task: Task) -> float:
    """Return the tail latency of a serving task as a share of its target; 0 if not reported."""
    return task.load / task.step.target_ms


class PacedFiller(NamedTuple):
    """A filler, with the percentage at which it worked when its worker last gave figures.

    Parameters
    ----------
    task : Task
        The filler.
    figures_percent : int
        The percentage whose effect the figures show; 0 for a run that they don't cover.
    """

    task: Task
    figures_percent: int


def next_percents(
    fillers: list[PacedFiller],
    serving: list[Task],
    interference: Interference,
    *,
    has_new_figures: bool,
) -> list[int]:
    """Return the share of processor time that each filler on a worker may use next, in percent.

    Explanation
    -----------
    It is that of :func:`next_percent`, but a filler beside a serving task speeds up only by
    figures that were not used before: they show the effect of the last step.  There are two
    exceptions for what is known of the kinds:

    * While no serving task is over its target, a filler that disturbs none of them keeps its
      share, as long as slowing the others that are known to disturb is enough.
    * A filler that is known to disturb speeds up, or starts, only so far that the tail latency
      expected stays below the one from which fillers are slowed.  It is that of the last
      figures, with the increase by what has changed since.

    While nothing is known, and while a serving task is over its target, there is no exception.
    """
    worst = max((latency_ratio(task) for task in serving), default=0.0)
    percents = [next_percent(filler.task.percent, worst) for filler in fillers]
    if serving and not has_new_figures:
        percents = [
            min(percent, filler.task.percent)
            for percent, filler in zip(percents, fillers, strict=True)
        ]
    if worst >= 1.0 or not interference.is_known:
        return percents
    if worst >= _SLOW_DOWN_FROM:
        return _spare_harmless(fillers, serving, percents, interference)
    return _limit_rises(fillers, serving, percents, interference)


def _spare_harmless(
    fillers: list[PacedFiller],
    serving: list[Task],
    percents: list[int],
    interference: Interference,
) -> list[int]:
    """Return ``percents``, but the present share of each harmless filler, if that is enough.

    Explanation
    -----------
    It is enough if no serving task would be over the limit without the fillers that are slowed.
    """
    is_spared = [_is_harmless(filler.task, serving, interference) for filler in fillers]
    slowed = [filler for filler, spared in zip(fillers, is_spared, strict=True) if not spared]
    percents_then = [filler.figures_percent for filler in slowed]
    if not all(
        latency_ratio(task) - _increase(task, slowed, percents_then, interference) < _SLOW_DOWN_FROM
        for task in serving
    ):
        return percents
    return [
        filler.task.percent if spared else percent
        for filler, spared, percent in zip(fillers, is_spared, percents, strict=True)
    ]


def _limit_rises(
    fillers: list[PacedFiller],
    serving: list[Task],
    percents: list[int],
    interference: Interference,
) -> list[int]:
    """Return ``percents``, less for disturbing fillers where latency would exceed the limit.

    Explanation
    -----------
    A rise counts from the share whose effect the figures show.  All rises are scaled by one part.
    """
    bases = [
        min(filler.figures_percent, percent)
        for filler, percent in zip(fillers, percents, strict=True)
    ]
    rises = [percent - base for percent, base in zip(percents, bases, strict=True)]
    scale = min(
        (_possible_part(task, fillers, rises, interference) for task in serving), default=1.0
    )
    return [
        base + (int(rise * scale) if _disturbs(filler.task, serving, interference) else rise)
        for filler, base, rise in zip(fillers, bases, rises, strict=True)
    ]


def _possible_part(
    task: Task, fillers: list[PacedFiller], rises: list[int], interference: Interference
) -> float:
    """Return the part of all rises, 0 to 1, for which a serving task's tail latency has room."""
    increase = _increase(task, fillers, rises, interference)
    room = _SLOW_DOWN_FROM - latency_ratio(task)
    return 1.0 if increase <= room else room / increase


def _increase(
    task: Task, fillers: list[PacedFiller], percents: list[int], interference: Interference
) -> float:
    """Return by how much fillers at these shares raise a serving task's tail latency ratio."""
    kind = kind_of(task)
    return sum(
        interference.disturbance(kind, kind_of(filler.task)) * percent / _FULL_PERCENT
        for filler, percent in zip(fillers, percents, strict=True)
    )


def _is_harmless(filler: Task, serving: list[Task], interference: Interference) -> bool:
    kind = kind_of(filler)
    return all(interference.is_harmless(kind_of(task), kind) for task in serving)


def _disturbs(filler: Task, serving: list[Task], interference: Interference) -> bool:
    kind = kind_of(filler)
    return any(interference.disturbance(kind_of(task), kind) > 0 for task in serving)
