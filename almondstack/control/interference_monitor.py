"""Feeds the load figures of workers to the model of interference, and reports what it learns."""

from collections.abc import Callable

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import Task
from almondstack.placement import Worker
from almondstack.placement.interference import Finding, Interference, Pair, kind_of, work_share
from almondstack.placement.pace import FIGURES_COVER_S, latency_ratio

__all__ = ["InterferenceMonitor", "is_serving"]

_REPORT_INTERVAL_S = 10.0
"""Least time between two events on one pair, in seconds."""

_MAX_EVENTS = 8
"""Events in one report interval."""


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

    def note_worker(
        self, worker: Worker, is_pace_sure: Callable[[Task], bool], now_s: float
    ) -> None:
        """Note a sample for each serving kind on a worker, unless figures of a task are missing.

        Parameters
        ----------
        worker : Worker
            A worker that has answered since the last sample.
        is_pace_sure : callable
            Returns whether a filler surely works at its known percentage.
        now_s : float
            Present monotonic time in seconds.
        """
        ratios: dict[str, list[float]] = {}
        shares: dict[str, float] = {}
        for task in worker.tasks:
            if not (task.step.is_filler or task.step.target_ms):
                continue
            # Some workers omit the figures of a task: what runs beside the others is not known.
            if not _has_figures(task, is_pace_sure, now_s):
                return
            kind = kind_of(task)
            is_filler = task.step.is_filler
            shares[kind] = shares.get(kind, 0.0) + (work_share(task) if is_filler else 1.0)
            if not is_filler:
                ratios.setdefault(kind, []).append(latency_ratio(task))
        self._note_ratios(worker, ratios, shares, now_s)

    def _note_ratios(
        self,
        worker: Worker,
        ratios: dict[str, list[float]],
        shares: dict[str, float],
        now_s: float,
    ) -> None:
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
            if pair not in self._reported_s and len(self._reported_s) < _MAX_EVENTS:
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


def _has_figures(task: Task, is_pace_sure: Callable[[Task], bool], now_s: float) -> bool:
    """Whether the speed and the load of a task are known for the time of its worker's figures."""
    if not _is_steady(task, now_s):
        return False
    if task.step.is_filler:
        return is_pace_sure(task) and (task.load > 0 or not task.percent)
    return task.load > 0


def _is_steady(task: Task, now_s: float) -> bool:
    """Whether a run went on for the whole time that the last figures of its worker cover."""
    is_listed = task.is_confirmed and not task.is_stopping
    return is_listed and now_s - task.assigned_s >= FIGURES_COVER_S
