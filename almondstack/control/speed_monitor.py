"""Measures the speeds of workers from their runs, and reports those that turn slow or normal."""

from almondstack.control.runs import RunTable
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import Task
from almondstack.placement import RunTimes, is_run_time_sample
from almondstack.placement.progress import Progress
from almondstack.placement.worker_speed import RunSpeed, SpeedChange, WorkerSpeeds

__all__ = ["SpeedMonitor"]

_INTERVAL_S = 0.3
"""Time between two checks of the runs, in seconds."""

_MAX_REPORTED = 20
"""Bound on the events of one check."""

_MS_PER_S = 1000.0
_FULL_PERCENT = 100.0


class SpeedMonitor:
    """Compares the runs on each worker with what such runs usually take.

    Explanation
    -----------
    A run that its worker lists is measured by its progress over the last second, a run that
    ended as done by its time.  Left out are tasks that were slow or failed elsewhere, and those
    without a declared time: they say nothing about their worker.

    Parameters
    ----------
    table : RunTable
        Workers and runs.
    run_times : RunTimes
        How long tasks take.
    events : EventLog
        Receives ``worker-slow`` and ``worker-normal`` events.
    metrics : LocalMetrics
        Counts these, and has the number of slow workers.
    """

    __slots__ = ("_events", "_checked_s", "_metrics", "_run_times", "_table", "speeds")

    def __init__(
        self, table: RunTable, run_times: RunTimes, events: EventLog, metrics: LocalMetrics
    ) -> None:
        self._table = table
        self._run_times = run_times
        self._events = events
        self._metrics = metrics
        self._checked_s: float | None = None
        self.speeds = WorkerSpeeds()

    def note_end(self, task: Task, took_ms: float, now_s: float) -> None:
        """Note the time of a run that ended as done."""
        if is_run_time_sample(task) and not task.step.is_gang:
            self._note(task, took_ms, now_s)

    def run_round(self, now_s: float) -> None:
        """Check the runs and the speeds of the workers, if that is due."""
        if self._checked_s is not None and now_s - self._checked_s < _INTERVAL_S:
            return
        self._checked_s = now_s
        for task, progress in self._table.runs_with_progress():
            duration_s = _duration_s(progress)
            if duration_s is not None and not task.is_stopping:
                self._note(task, duration_s * _MS_PER_S, now_s)
        changes = self.speeds.update(self._table.workers, now_s)
        self._metrics.gauge("workers.slow", len(self.speeds.slow_workers))
        for change in changes:
            self._metrics.count("worker.slow" if change.is_slow else "worker.normal")
        for change in changes[:_MAX_REPORTED]:
            self._report(change)

    def _note(self, task: Task, took_ms: float, now_s: float) -> None:
        median_ms = task.job.median_ms(task.key.step)
        if task.step.estimate_ms <= 0 or median_ms <= 0 or task.failed_on:
            return
        spread = self._run_times.spread(task.job.submission.queue)
        self.speeds.note_run(RunSpeed(task.worker, task.name, took_ms / median_ms, spread), now_s)

    def _report(self, change: SpeedChange) -> None:
        self._events.write(
            "worker-slow" if change.is_slow else "worker-normal",
            worker=change.worker,
            pool=change.pool,
            factor=change.factor,
            runs=change.runs,
            pool_ratio=round(change.pool_ratio, 2),
        )


def _duration_s(progress: Progress) -> float | None:
    """Return the seconds that a whole run would take at its present speed; None if unknown."""
    remaining_s = progress.remaining_s
    if remaining_s is None or progress.percent >= _FULL_PERCENT:
        return None
    return remaining_s * _FULL_PERCENT / (_FULL_PERCENT - progress.percent)
