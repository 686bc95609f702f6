"""Online estimates of run times per queue, from observed responses.

Explanation
-----------
Size estimates of callers are not used, as they may be wrong by a factor of ten.
The mean is an exponentially weighted moving average.  The 90th percentile is
estimated by the stochastic approximation of Robbins and Monro (1951) on the
logarithm, so that its step size does not depend on the unit.
"""

import math

__all__ = ["RunTimeEstimator", "RunTimes"]

_MEAN_WEIGHT = 0.05
_QUANTILE = 0.9
_QUANTILE_STEP = 0.3
_MIN_SAMPLES = 5
_MIN_RUN_TIME_S = 1e-5


class RunTimeEstimator:
    """Estimates the mean and the 90th percentile of the run times of one queue.

    Examples
    --------
    >>> from almondstack.queueing import RunTimeEstimator
    >>> estimator = RunTimeEstimator()
    >>> estimator.mean_s is None
    True
    >>> for _ in range(100):
    ...     estimator.record(0.5, bound_s=60.0)
    >>> round(estimator.mean_s, 2), 0.35 < estimator.p90_s < 0.7
    (0.5, True)
    """

    __slots__ = ("_count", "_log_p90_s", "_mean_s")

    def __init__(self) -> None:
        self._count = 0
        self._mean_s = 0.0
        self._log_p90_s = 0.0

    @property
    def mean_s(self) -> float | None:
        """Mean run time in seconds; None before the fifth sample."""
        return self._mean_s if self._count >= _MIN_SAMPLES else None

    @property
    def p90_s(self) -> float:
        """90th percentile of run times in seconds; 0 before the fifth sample."""
        return math.exp(self._log_p90_s) if self._count >= _MIN_SAMPLES else 0.0

    def record(self, run_time_s: float, bound_s: float) -> None:
        """Add one run time; values above ``bound_s`` count as ``bound_s``."""
        value_s = min(max(run_time_s, _MIN_RUN_TIME_S), bound_s)
        self._count += 1
        weight = max(_MEAN_WEIGHT, 1 / self._count)
        self._mean_s += weight * (value_s - self._mean_s)
        if self._count == 1:
            self._log_p90_s = math.log(value_s)
            return
        is_below = math.log(value_s) <= self._log_p90_s
        self._log_p90_s += _QUANTILE_STEP * (_QUANTILE - is_below)


class RunTimes:
    """Run time estimators of all queues.

    Examples
    --------
    >>> from almondstack.queueing import RunTimes
    >>> RunTimes().of("invoices").mean_s is None
    True
    """

    __slots__ = ("_by_queue",)

    def __init__(self) -> None:
        self._by_queue: dict[str, RunTimeEstimator] = {}

    def of(self, queue: str) -> RunTimeEstimator:
        """Return the estimator of ``queue``."""
        found = self._by_queue.get(queue)
        if found is None:
            found = self._by_queue.setdefault(queue, RunTimeEstimator())
        return found
