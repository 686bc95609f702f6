"""Learned times of drains and of whole maintenance cycles.

Explanation
-----------
Mean and mean deviation are smoothed as in RFC 6298.  Declared run times are
often off by ten either way, so a declared bound decides only until some drains
of the pool were seen.
"""

import msgspec

from almondstack.fleet.settings import FleetSettings
from almondstack.model import Pool

__all__ = ["DrainEstimates", "TimeEstimate"]

_MEAN_GAIN = 1 / 8
_DEVIATION_GAIN = 1 / 4
_UPPER_DEVIATIONS = 4
_MIN_SAMPLES = 5
_STALL_MARGIN = 3.0


class TimeEstimate(msgspec.Struct, frozen=True):
    """A smoothed duration in seconds.

    Examples
    --------
    >>> from almondstack.fleet import TimeEstimate
    >>> TimeEstimate().with_sample(10.0).upper_s
    30.0
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    @property
    def upper_s(self) -> float:
        """A duration that few exceed."""
        return self.mean_s + _UPPER_DEVIATIONS * self.deviation_s

    def with_sample(self, duration_s: float) -> "TimeEstimate":
        """Return the estimate after one more duration."""
        if not self.samples:
            return TimeEstimate(duration_s, duration_s / 2, 1)
        error_s = duration_s - self.mean_s
        deviation_s = self.deviation_s + _DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        return TimeEstimate(self.mean_s + _MEAN_GAIN * error_s, deviation_s, self.samples + 1)


class DrainEstimates:
    """What one keeper learned about each pool."""

    __slots__ = ("_cycles", "_drains")

    def __init__(self) -> None:
        self._drains: dict[str, TimeEstimate] = {}
        self._cycles: dict[str, TimeEstimate] = {}

    def record_drain(self, pool: str, duration_s: float) -> None:
        """Learn from a drain that ended empty."""
        self._drains[pool] = self._drains.get(pool, TimeEstimate()).with_sample(duration_s)

    def record_cycle(self, pool: str, duration_s: float) -> None:
        """Learn from an instance that was drained, rebooted and serves again."""
        self._cycles[pool] = self._cycles.get(pool, TimeEstimate()).with_sample(duration_s)

    def stall_s(self, pool: Pool, settings: FleetSettings) -> float:
        """Return after how many seconds a drain of ``pool`` is given up."""
        max_s = pool.run_time_bound_s * settings.stall_factor
        estimate = self._drains.get(pool.name, TimeEstimate())
        if estimate.samples < _MIN_SAMPLES:
            return max_s
        return min(max(_STALL_MARGIN * estimate.upper_s, pool.run_time_bound_s), max_s)

    def cycle_s(self, pool: Pool, settings: FleetSettings) -> float:
        """Return how long one instance of ``pool`` is out for maintenance, in seconds."""
        estimate = self._cycles.get(pool.name, TimeEstimate())
        if estimate.samples:
            return estimate.mean_s
        return pool.run_time_bound_s + settings.return_bound_s
