"""Estimates the durations of drains and of maintenance cycles from those observed.

Explanation
-----------
Mean and mean deviation are smoothed as in RFC 6298.  Declared run times are
often wrong by a factor of ten in either direction, so the declared bound is used
only until enough drains of the pool were observed.
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
    """A smoothed duration and its mean deviation, in seconds.

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
        """An upper estimate in seconds: the mean plus four mean deviations."""
        return self.mean_s + _UPPER_DEVIATIONS * self.deviation_s

    def with_sample(self, duration_s: float) -> "TimeEstimate":
        """Return the estimate updated with one more duration."""
        if not self.samples:
            return TimeEstimate(duration_s, duration_s / 2, 1)
        error_s = duration_s - self.mean_s
        deviation_s = self.deviation_s + _DEVIATION_GAIN * (abs(error_s) - self.deviation_s)
        return TimeEstimate(self.mean_s + _MEAN_GAIN * error_s, deviation_s, self.samples + 1)


class DrainEstimates:
    """Estimates of drain and cycle durations per pool, kept by one keeper."""

    __slots__ = ("_cycles", "_drains")

    def __init__(self) -> None:
        self._drains: dict[str, TimeEstimate] = {}
        self._cycles: dict[str, TimeEstimate] = {}

    def record_drain(self, pool: str, duration_s: float) -> None:
        """Add the duration of a drain that ended with an empty instance."""
        self._drains[pool] = self._drains.get(pool, TimeEstimate()).with_sample(duration_s)

    def record_cycle(self, pool: str, duration_s: float) -> None:
        """Add the time from the start of a drain to serving again after the reboot."""
        self._cycles[pool] = self._cycles.get(pool, TimeEstimate()).with_sample(duration_s)

    def stall_s(self, pool: Pool, settings: FleetSettings) -> float:
        """Return after how many seconds a drain of ``pool`` counts as stalled."""
        max_s = pool.run_time_bound_s * settings.stall_factor
        estimate = self._drains.get(pool.name, TimeEstimate())
        if estimate.samples < _MIN_SAMPLES:
            return max_s
        return min(max(_STALL_MARGIN * estimate.upper_s, pool.run_time_bound_s), max_s)

    def cycle_s(self, pool: Pool, settings: FleetSettings) -> float:
        """Return how long maintenance takes one instance of ``pool`` out of service, in seconds."""
        estimate = self._cycles.get(pool.name, TimeEstimate())
        if estimate.samples:
            return estimate.mean_s
        return pool.run_time_bound_s + settings.return_bound_s
