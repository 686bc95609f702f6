"""Feeds the load figures of workers to the model of interference, and reports what it learns."""

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import Task
from almondstack.placement import Worker
from almondstack.placement.interference import Finding, Interference, Pair, kind_of, work_share
from almondstack.placement.pace import latency_ratio

__all__ = ["InterferenceMonitor", "is_serving"]

_MIN_RUN_S = 0.5
"""Time since the last assignment of a worker after which its figures cover all its tasks, in
seconds: they are over the last half second."""

_REPORT_INTERVAL_S = 10.0
"""Least time between two lines on one pair, in seconds."""

_MAX_LINES = 8
"""Lines in one report interval."""


def is_serving(task: Task) -> bool:
    """Return whether a task has a target for its tail latency that fillers must not break."""
    return bool(task.step.target_ms) and not task.step.is_filler


class InterferenceMonitor:
    """Notes samples of workers, and reports the pairs of kinds that disturb each other.

    Parameters
    ----------
    interference : Interference, optional
        Gets the samples; an empty one by default.
    events : EventLog, optional
        Gets an ``interference-learned`` event for each pair, at most once in ten seconds.
    metrics : LocalMetrics, optional
        Counts ``interference.samples``, ``interference.not-used`` and ``interference.learned``.
    """

    __slots__ = ("_events", "_known", "_metrics", "_reported_s", "interference")

    def __init__(
        self,
        interference: Interference | None = None,
        events: EventLog | None = None,
        metrics: LocalMetrics | None = None,
    ) -> None:
        self.interference = interference or Interference()
        self._events = events
        self._metrics = metrics or LocalMetrics()
        self._known: frozenset[Pair] = frozenset()
        self._reported_s: dict[Pair, float] = {}

    def note_worker(self, worker: Worker, now_s: float) -> None:
        """Note a sample for each serving kind on a worker, if its figures tell enough."""
        tasks = worker.tasks
        if not all(_is_told(task, now_s) for task in tasks):
            return
        ratios: dict[str, list[float]] = {}
        shares: dict[str, float] = {}
        for task in tasks:
            kind = kind_of(task)
            if is_serving(task):
                ratios.setdefault(kind, []).append(latency_ratio(task))
            if is_serving(task) or task.step.is_filler:
                shares[kind] = shares.get(kind, 0.0) + _speed(task)
        for kind, found in ratios.items():
            # Each task of the kind has all the others of it beside it.
            beside = {**shares, kind: shares[kind] - 1.0}
            ratio = sum(found) / len(found)
            is_used = self.interference.note_sample(kind, worker.id, beside, ratio, now_s)
            self._metrics.count("interference.samples" if is_used else "interference.not-used")

    def update(self, now_s: float) -> None:
        """Compute what the samples show, and report the pairs that are new."""
        self.interference.update(now_s)
        harmful = self.interference.harmful
        oldest_s = now_s - _REPORT_INTERVAL_S
        self._reported_s = {
            pair: at_s for pair, at_s in self._reported_s.items() if at_s > oldest_s
        }
        for pair in sorted(harmful.keys() - self._known):
            self._metrics.count("interference.learned")
            if pair not in self._reported_s and len(self._reported_s) < _MAX_LINES:
                self._reported_s[pair] = now_s
                self._report(pair, harmful[pair])
        self._known = frozenset(harmful)

    def _report(self, pair: Pair, finding: Finding) -> None:
        if self._events is None:
            return
        self._events.write(
            "interference-learned",
            disturber=pair.disturber,
            disturbed=pair.disturbed,
            increase=round(finding.increase, 2),
            error=round(finding.error, 2),
            samples_with=round(finding.samples_with, 1),
            samples_without=round(finding.samples_without, 1),
        )


def _is_told(task: Task, now_s: float) -> bool:
    """Whether the last figures of a worker cover a task, as far as it could disturb or suffer."""
    if not is_serving(task) and not task.step.is_filler:
        return True
    is_steady = task.is_confirmed and not task.is_stopping
    if not is_steady or now_s - task.assigned_s < _MIN_RUN_S:
        return False
    # Some workers omit the figure.
    return task.load > 0 or (task.step.is_filler and task.percent == 0)


def _speed(task: Task) -> float:
    return 1.0 if is_serving(task) else work_share(task)
