"""Holds the needs of pools for a moment, so that short changes move no instances."""

from collections import deque
from typing import NamedTuple

__all__ = ["KEPT_S", "REACHED_S", "HeldNeed", "TargetHold"]

KEPT_S = 0.3
"""Time for which a pool keeps instances that it has needed, in seconds: forecasts of arrivals
change by a third within tenths of a second."""

REACHED_S = 0.1
"""Time for which a pool must need more before instances of other pools are drained for it, in
seconds."""

_TOLERANCE_S = 1e-6


class HeldNeed(NamedTuple):
    """Instances that a pool needs in a shortage.

    Parameters
    ----------
    kept : int
        Instances that it does not give to other pools.
    reached : int
        Instances up to which it gets some from other pools.
    """

    kept: int
    reached: int


class _Sample(NamedTuple):
    at_s: float
    need: HeldNeed


class TargetHold:
    """Returns the most that pools needed lately, and the least that they needed just now.

    Explanation
    -----------
    The former is taken over the last ``KEPT_S``, the latter over the last ``REACHED_S``, so
    that an instance neither goes to a pool for a moment's need nor leaves it again at once.

    Examples
    --------
    >>> hold = TargetHold()
    >>> hold.note("p", HeldNeed(4, 4), 10.0)
    HeldNeed(kept=4, reached=4)
    >>> hold.note("p", HeldNeed(9, 8), 10.1)
    HeldNeed(kept=9, reached=4)
    >>> hold.note("p", HeldNeed(3, 3), 10.4)
    HeldNeed(kept=9, reached=3)
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: dict[str, deque[_Sample]] = {}

    def note(self, pool: str, need: HeldNeed, now_s: float) -> HeldNeed:
        """Record what a pool needs at a monotonic time in seconds, and return what holds."""
        samples = self._samples.setdefault(pool, deque())
        if not samples or samples[-1].at_s < now_s:
            samples.append(_Sample(now_s, need))
        while samples[0].at_s < now_s - KEPT_S - _TOLERANCE_S:
            samples.popleft()
        recent_s = now_s - REACHED_S - _TOLERANCE_S
        return HeldNeed(
            max(sample.need.kept for sample in samples),
            min(sample.need.reached for sample in samples if sample.at_s >= recent_s),
        )

    def clear(self) -> None:
        """Forget all samples: the fleet is not short."""
        self._samples.clear()
