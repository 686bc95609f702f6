"""When a process that is told to end gives the jobs back."""

__all__ = ["is_time_to_hand_over"]

_LATEST_SHARE = 0.5
"""So much of its grace an owner may use up first; the rest is for its last append, which a slow
store takes its time for."""


def is_time_to_hand_over(waited_s: float, grace_s: float, *, is_slow: bool) -> bool:
    """Whether an owner that is told to end should give the jobs back now.

    Explanation
    -----------
    A change of owner takes two appends, one after the other.  While the store is
    slow nobody decides anything for a second and more; an owner that goes on for a
    part of its grace often sees the end of that.

    Parameters
    ----------
    waited_s : float
        Seconds since it was told to end.
    grace_s : float
        Seconds from then until it is killed.
    is_slow : bool
        The store answers slowly now.

    Examples
    --------
    >>> is_time_to_hand_over(0.0, 6.0, is_slow=False)
    True
    >>> is_time_to_hand_over(1.0, 6.0, is_slow=True), is_time_to_hand_over(3.0, 6.0, is_slow=True)
    (False, True)
    """
    return not is_slow or waited_s >= _LATEST_SHARE * grace_s
