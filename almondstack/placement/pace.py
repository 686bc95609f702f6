"""The share at which a filler may work."""

__all__ = ["next_percent"]

_SLOW_DOWN_FROM = 0.85
"""Share of its target from which a serving task's tail slows the fillers beside it."""

_SPEED_UP_BELOW = 0.6
_FULL = 100
_STEP_UP = 25


def next_percent(percent: int, worst: float) -> int:
    """Return a filler's next share in percent.

    Explanation
    -----------
    Down fast, up slowly: a tail over its target costs more than a filler's pause.

    Parameters
    ----------
    percent : int
        Its present share.
    worst : float
        Largest tail among the serving tasks beside it, as a share of the target.

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
        return min(_FULL, percent + _STEP_UP)
    return percent
