"""Throttles filler tasks that run beside serving tasks."""

from almondstack.jobs import Task
from almondstack.placement.interference import Interference, kind_of, work_share

__all__ = ["FIGURES_COVER_S", "latency_ratio", "next_percent", "next_percents"]

FIGURES_COVER_S = 0.5
"""Time that the load figures of a worker cover, in seconds."""

_SLOW_DOWN_FROM = 0.85
"""Tail latency of a serving task, as a share of its target, from which fillers are slowed."""

_SPEED_UP_BELOW = 0.6
_FULL_PERCENT = 100
_STEP_UP_PERCENT = 25


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


def next_percents(
    fillers: list[Task], serving: list[Task], interference: Interference, now_s: float
) -> list[int]:
    """Return the share of processor time that each filler on a worker may use next, in percent.

    Explanation
    -----------
    It is that of :func:`next_percent`, with two exceptions for what is known of the kinds:

    * While no serving task is over its target, a filler that disturbs none of them keeps its
      share, as long as slowing the others that are known to disturb is enough.
    * A filler that is known to disturb speeds up only so far that the tail latency stays
      below the one from which fillers are slowed.  So does one that has just started, at full
      speed, and whose effect the figures don't show yet.

    While nothing is known, and while a serving task is over its target, there is no exception.
    """
    worst = max((latency_ratio(task) for task in serving), default=0.0)
    percents = [next_percent(task.percent, worst) for task in fillers]
    if worst >= 1.0 or not interference.is_known:
        return percents
    if worst >= _SLOW_DOWN_FROM:
        return _spare_harmless(fillers, serving, percents, interference)
    starts = [0 if _is_new(filler, now_s) else filler.percent for filler in fillers]
    rises = [percent - start for start, percent in zip(starts, percents, strict=True)]
    limited = _limit_rises(fillers, serving, rises, interference)
    return [start + rise for start, rise in zip(starts, limited, strict=True)]


def _is_new(filler: Task, now_s: float) -> bool:
    """Whether the figures of a filler's worker don't show its effect yet."""
    return now_s - filler.assigned_s < FIGURES_COVER_S


def _spare_harmless(
    fillers: list[Task], serving: list[Task], percents: list[int], interference: Interference
) -> list[int]:
    """Return the shares with those of harmless fillers unchanged, if the others explain enough."""
    is_spared = [_is_harmless(filler, serving, interference) for filler in fillers]
    slowed = [task for task, spared in zip(fillers, is_spared, strict=True) if not spared]
    if not all(_is_relieved(task, slowed, interference) for task in serving):
        return percents
    return [
        filler.percent if spared else percent
        for filler, spared, percent in zip(fillers, is_spared, percents, strict=True)
    ]


def _is_harmless(filler: Task, serving: list[Task], interference: Interference) -> bool:
    kind = kind_of(filler)
    return all(interference.is_harmless(kind_of(task), kind) for task in serving)


def _is_relieved(task: Task, slowed: list[Task], interference: Interference) -> bool:
    """Whether a serving task's tail latency is low enough once some fillers stand still."""
    kind = kind_of(task)
    relief = sum(
        interference.disturbance(kind, kind_of(filler)) * work_share(filler) for filler in slowed
    )
    return latency_ratio(task) - relief < _SLOW_DOWN_FROM


def _limit_rises(
    fillers: list[Task], serving: list[Task], rises: list[int], interference: Interference
) -> list[int]:
    """Return the rises in percent, with those of disturbing fillers limited."""
    scale = min(
        (_possible_part(task, fillers, rises, interference) for task in serving), default=1.0
    )
    return [
        int(rise * scale) if _disturbs(filler, serving, interference) else rise
        for filler, rise in zip(fillers, rises, strict=True)
    ]


def _disturbs(filler: Task, serving: list[Task], interference: Interference) -> bool:
    kind = kind_of(filler)
    return any(interference.disturbance(kind_of(task), kind) > 0 for task in serving)


def _possible_part(
    task: Task, fillers: list[Task], rises: list[int], interference: Interference
) -> float:
    """Return the part of all rises, 0 to 1, for which a serving task's tail latency has room."""
    kind = kind_of(task)
    increase = sum(
        interference.disturbance(kind, kind_of(filler)) * rise / _FULL_PERCENT
        for filler, rise in zip(fillers, rises, strict=True)
    )
    room = _SLOW_DOWN_FROM - latency_ratio(task)
    return 1.0 if increase <= room else room / increase
