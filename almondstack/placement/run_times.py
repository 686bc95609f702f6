"""Learns how long tasks take, as a distribution for each queue.

Explanation
-----------
The logarithm of the time that a run takes is a linear function of the logarithm of what its
caller has declared, plus a residual.  Line and residuals are learned from the runs that ended as
done, with exponential decay: the line within tens of runs, the residuals over some hundreds, so
that rare long tasks stay in the quantiles.  Where declarations say little, the slope of the line
falls, and the prediction is the learned centre; where they are good it stays near 1.

The declaration is the prior.  It counts as a few runs that took just what was declared, so that
it stands alone before the first run, and hardly matters after a dozen.
"""

import math
from array import array
from collections import OrderedDict

from almondstack.jobs import Task

__all__ = ["RunTimes", "is_run_time_sample"]

_MAX_KINDS = 256
"""Bound on the queues that are remembered; the least recently used is forgotten first."""

_PRIOR_RUNS = 3.0
"""Number of runs for which the declaration counts among the residuals."""

_LINE_PRIOR_RUNS = 1.0
"""Number of runs for which it counts in the line.  With as many as among the residuals, the line
would approach steady times from one side for long."""

_LINE_DECAY = 0.97
"""Factor on the weight of all earlier runs in the line for each new one."""

_RESIDUAL_RUNS = 200.0
"""Number of runs over which residuals decay."""

_MIN_RESIDUAL_RUNS = 8.0
"""That number before the first run; it grows by 1 with each run, up to ``_RESIDUAL_RUNS``."""

_SLOPE_PRIOR = 0.25
"""Weight of a slope of 1, in squared units of the logarithm."""

_MAX_SLOPE = 1.5
"""Bound on the slope of the line."""

_MAX_RESIDUAL = 1.0
"""Bound on the residual by which one run moves the line, in units of the logarithm: a task that
takes more than 2.7 times as long as usual is part of the tail."""

_BIN_WIDTH = 0.125
"""Width of the bins in which residuals are counted, in units of the logarithm."""

_HALF_BINS = 32
"""Number of bins on each side of that around 0."""

_ONE_DEVIATION = 0.8413
"""The quantile that is one standard deviation above the mean of a normal distribution."""

_MIN_SPREAD = 0.25
"""Least standard deviation of the logarithm of times."""

_UNKNOWN_SPREAD = 0.8
"""The standard deviation that is assumed while too few runs are known."""

_MIN_SPREAD_RUNS = 12
"""Number of runs from which on it is learned."""

_MAX_WEIGHT = 1e6
"""Weight of a new residual at which all weights are scaled down."""

_BINS = 2 * _HALF_BINS + 1
_CENTRES = tuple((number - _HALF_BINS) * _BIN_WIDTH for number in range(_BINS))
_RATIOS = tuple(math.exp(centre) for centre in _CENTRES)


class RunTimes:
    """Predicts the run times of tasks from the callers' declarations and from past runs.

    Explanation
    -----------
    The times are those that the owner sees, from the assignment of a run to the poll that lists
    its end.  A declaration of 0 is none: such runs are a kind of their own in their queue, whose
    mean and quantiles are predicted from its first run on, and 0 before.

    Examples
    --------
    >>> times = RunTimes()
    >>> times.expected_ms("q", 500), times.quantile_ms("q", 500, 0.99)
    (500.0, 500.0)
    >>> for _ in range(12):
    ...     times.note("q", declared_ms=1_000, took_ms=2_000)
    >>> 1_800 < times.quantile_ms("q", 1_000, 0.5) < 2_200
    True
    >>> times.expected_ms("other", 1_000)
    1000.0
    >>> times.note("undeclared", declared_ms=0, took_ms=2_000)
    >>> round(times.quantile_ms("undeclared", 0, 0.5))
    2000
    """

    __slots__ = ("_kinds", "_undeclared")

    def __init__(self) -> None:
        self._kinds: OrderedDict[str, _QueueModel] = OrderedDict()
        self._undeclared: OrderedDict[str, _QueueModel] = OrderedDict()

    @property
    def queues(self) -> list[str]:
        """The queues of which runs with a declaration are known, the newest runs last."""
        return list(self._kinds)

    def note(self, queue: str, declared_ms: float, took_ms: float) -> None:
        """Add a run of a queue that ended as done.

        Parameters
        ----------
        queue : str
            The kind of task.
        declared_ms : float
            What its caller has declared, in milliseconds; 0 if nothing.
        took_ms : float
            What it took, in milliseconds.
        """
        if took_ms <= 0:
            return
        if declared_ms > 0:
            _note_run(self._kinds, queue, declared_ms, took_ms)
        else:
            _note_run(self._undeclared, queue, self._undeclared_ms(queue) or took_ms, took_ms)

    def expected_ms(self, queue: str, declared_ms: float) -> float:
        """Return the mean time of a task, in milliseconds: what adds up to a backlog."""
        if declared_ms <= 0:
            kind, declared_ms = self._undeclared.get(queue), self._undeclared_ms(queue)
        else:
            kind = self._kinds.get(queue)
        if kind is None:
            return float(declared_ms)
        return kind.centre_ms(declared_ms) * kind.mean_ratio()

    def quantile_ms(self, queue: str, declared_ms: float, quantile: float) -> float:
        """Return the time within which a share of such tasks ends, in milliseconds.

        Parameters
        ----------
        queue : str
            The kind of task.
        declared_ms : float
            What the caller has declared, in milliseconds.
        quantile : float
            That share, between 0 and 1.
        """
        if declared_ms <= 0:
            kind, declared_ms = self._undeclared.get(queue), self._undeclared_ms(queue)
        else:
            kind = self._kinds.get(queue)
        if kind is None:
            return float(declared_ms)
        return kind.centre_ms(declared_ms) * kind.ratio_at(quantile)

    def factor(self, queue: str) -> float:
        """Return the mean ratio of the times of a queue's tasks to what is declared."""
        kind = self._kinds.get(queue)
        if kind is None:
            return 1.0
        return self.expected_ms(queue, kind.typical_ms) / kind.typical_ms

    def runs(self, queue: str) -> int:
        """Return how many declared runs of a queue were noted since it was last forgotten."""
        kind = self._kinds.get(queue)
        return kind.runs if kind is not None else 0

    def spread(self, queue: str) -> float:
        """Return the standard deviation of the logarithm of times, without the long tail."""
        kind = self._kinds.get(queue)
        return kind.spread() if kind is not None else _UNKNOWN_SPREAD

    def typical_ms(self, queue: str) -> float:
        """Return the geometric mean of what is declared in a queue, in milliseconds."""
        kind = self._kinds.get(queue)
        return kind.typical_ms if kind is not None else 0.0

    def slope(self, queue: str) -> float:
        """Return how far times follow declarations: 1 in proportion, 0 not at all."""
        kind = self._kinds.get(queue)
        return kind.slope if kind is not None else 1.0

    def _undeclared_ms(self, queue: str) -> float:
        """Return the time to use as the declaration where there is none; 0 if unknown."""
        kind = self._undeclared.get(queue)
        return kind.typical_ms if kind is not None else 0.0


def _note_run(
    kinds: OrderedDict[str, "_QueueModel"], queue: str, declared_ms: float, took_ms: float
) -> None:
    """Add a run to the kind of a queue, and forget the kind that was longest without runs."""
    kind = kinds.get(queue)
    if kind is None:
        kind = kinds[queue] = _QueueModel(math.log(declared_ms))
    kind.note(math.log(declared_ms), math.log(took_ms))
    kinds.move_to_end(queue)
    if len(kinds) > _MAX_KINDS:
        kinds.popitem(last=False)


def is_run_time_sample(task: Task) -> bool:
    """Return whether the run of a task that is done shows how long such tasks take.

    Explanation
    -----------
    A filler goes at the pace that others leave it, and a run that may have resumed from a
    checkpoint did only the rest of its task.
    """
    step = task.step
    is_resumed = step.has_checkpoints and task.run > 1
    return not (step.is_long_running or step.is_filler or is_resumed)


class _QueueModel:
    """The line and the residuals of one queue, in logarithms of milliseconds.

    Explanation
    -----------
    The line is kept as decaying means and central moments of x, the logarithm of the declaration,
    and y, that of the time.  Residuals are kept as a histogram.  Instead of decaying all of its
    weights with each run, the weight of the next residual grows.

    Attributes
    ----------
    runs : int
        Number of runs that were noted.
    """

    __slots__ = (
        "_covariance",
        "_mean_ratio",
        "_mean_x",
        "_mean_y",
        "_next_weight",
        "_ratios",
        "_residuals",
        "_spread",
        "_variance",
        "_weight",
        "runs",
    )

    def __init__(self, log_declared: float) -> None:
        self.runs = 0
        self._weight = _LINE_PRIOR_RUNS
        self._mean_x = self._mean_y = log_declared
        self._variance = self._covariance = 0.0
        self._residuals = array("d", bytes(8 * _BINS))
        self._residuals[_HALF_BINS] = _PRIOR_RUNS
        self._next_weight = 1.0
        # Most predictions are asked for more often than runs end.
        self._ratios: dict[float, float] = {}
        self._mean_ratio: float | None = None
        self._spread: float | None = None

    @property
    def slope(self) -> float:
        """Slope of the line."""
        slope = (self._covariance + _SLOPE_PRIOR) / (self._variance + _SLOPE_PRIOR)
        return min(max(slope, 0.0), _MAX_SLOPE)

    @property
    def typical_ms(self) -> float:
        """Geometric mean of the declarations, in milliseconds."""
        return math.exp(self._mean_x)

    def note(self, log_declared: float, log_took: float) -> None:
        """Add a run."""
        self.runs += 1
        predicted = self._line_at(log_declared)
        bounded = min(max(log_took - predicted, -_MAX_RESIDUAL), _MAX_RESIDUAL)
        self._update_line(log_declared, predicted + bounded)
        self._add_residual(log_took - self._line_at(log_declared))

    def centre_ms(self, declared_ms: float) -> float:
        """Return the time on the line, in milliseconds."""
        return math.exp(self._line_at(math.log(declared_ms)))

    def mean_ratio(self) -> float:
        """Return the mean ratio of a time to that on the line."""
        if self._mean_ratio is None:
            weighted = sum(map(float.__mul__, self._residuals, _RATIOS))
            self._mean_ratio = weighted / sum(self._residuals)
        return self._mean_ratio

    def spread(self) -> float:
        """Return the standard deviation of the logarithm of times, without the long tail."""
        if self._spread is None:
            self._spread = self._compute_spread()
        return self._spread

    def _compute_spread(self) -> float:
        if self.runs < _MIN_SPREAD_RUNS:
            return _UNKNOWN_SPREAD
        return max(_MIN_SPREAD, self._residual_at(_ONE_DEVIATION) - self._residual_at(0.5))

    def ratio_at(self, quantile: float) -> float:
        """Return the quantile of the ratio of a time to that on the line."""
        ratio = self._ratios.get(quantile)
        if ratio is None:
            ratio = self._ratios[quantile] = math.exp(self._residual_at(quantile))
        return ratio

    def _line_at(self, log_declared: float) -> float:
        return self._mean_y + self.slope * (log_declared - self._mean_x)

    def _update_line(self, x: float, y: float) -> None:
        """Update the decaying means and moments by a point (West, CACM 1979)."""
        earlier = self._weight * _LINE_DECAY
        self._weight = earlier + 1.0
        off_x, off_y = x - self._mean_x, y - self._mean_y
        share = earlier / self._weight
        self._variance = self._variance * _LINE_DECAY + share * off_x * off_x
        self._covariance = self._covariance * _LINE_DECAY + share * off_x * off_y
        self._mean_x += off_x / self._weight
        self._mean_y += off_y / self._weight

    def _add_residual(self, residual: float) -> None:
        """Add a residual to the histogram; those of the first runs, of a rough line, decay fast."""
        decay = 1.0 - 1.0 / min(_RESIDUAL_RUNS, _MIN_RESIDUAL_RUNS + self.runs)
        self._next_weight /= decay
        if self._next_weight > _MAX_WEIGHT:
            self._rescale()
        number = round(residual / _BIN_WIDTH) + _HALF_BINS
        self._residuals[min(max(number, 0), _BINS - 1)] += self._next_weight
        self._ratios.clear()
        self._mean_ratio = self._spread = None

    def _rescale(self) -> None:
        """Divide all weights by that of the next residual, which must not overflow."""
        scale = self._next_weight
        self._residuals = array("d", [weight / scale for weight in self._residuals])
        self._next_weight = 1.0

    def _residual_at(self, quantile: float) -> float:
        """Return a quantile of the residuals; within a bin they count as evenly spread."""
        sought = quantile * sum(self._residuals)
        below = 0.0
        for weight, centre in zip(self._residuals, _CENTRES, strict=True):
            if weight and below + weight >= sought:
                return centre + _BIN_WIDTH * ((sought - below) / weight - 0.5)
            below += weight
        return _CENTRES[-1]
