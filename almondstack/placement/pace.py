"""Throttles filler tasks that run beside serving tasks."""

__all__ = ["next_percent"]

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
