"""Decides when an owner that is shutting down releases its ownership of the jobs."""

__all__ = ["is_handover_due"]

_MAX_GRACE_FRACTION = 0.5
"""Fraction of the grace period after which an owner releases its ownership even if the store is
slow.  The rest is left for its last append, which may take long on a slow store."""


def is_handover_due(waited_s: float, grace_s: float, *, is_slow: bool) -> bool:
    """Return whether an owner that is shutting down should release its ownership now.

    Explanation
    -----------
    A change of owner takes two consecutive appends.  On a slow store no process makes
    decisions for a second or more in between.  An owner that stays for part of its grace
    period often outlasts the slow phase.

    Parameters
    ----------
    waited_s : float
        Seconds since SIGTERM.
    grace_s : float
        Seconds from SIGTERM to SIGKILL.
    is_slow : bool
        Whether the store currently answers slowly.

    Examples
    --------
    >>> is_handover_due(0.0, 6.0, is_slow=False)
    True
    >>> is_handover_due(1.0, 6.0, is_slow=True), is_handover_due(3.0, 6.0, is_slow=True)
    (False, True)
    """
    return not is_slow or waited_s >= _MAX_GRACE_FRACTION * grace_s
