"""Learns the run times of tasks from the ends of runs, and predicts those of open jobs."""

from itertools import islice

from almondstack.control.runs import RunTable
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import ActiveJob, Step, Task
from almondstack.placement import RunTimes, is_run_time_sample

__all__ = ["RunPredictions"]

_MEDIAN = 0.5
_HIGH_QUANTILE = 0.99

_JOBS_PER_ROUND = 32
"""Open jobs that are predicted anew in one round, so that its cost does not grow with them."""

_REPORT_INTERVAL_S = 10.0
"""Time between two ``run-times`` events, in seconds."""

_MAX_REPORTED_QUEUES = 20
"""Queues in one event; those of which runs ended last."""


class RunPredictions:
    """Keeps the predicted times of open jobs up to date with the runs that have ended.

    Explanation
    -----------
    A job is predicted when its owner takes it up, and again in turn with the others.  Chains of
    steps, and with them objective and slack, are sums of medians; backlog and demand are sums of
    means.

    Parameters
    ----------
    table : RunTable
        Holds the open jobs.
    events : EventLog
        Receives a ``run-times`` event every ten seconds in which runs have ended.
    metrics : LocalMetrics
        Counts the runs that were learned from, and has the number of queues known.
    """

    __slots__ = ("_events", "_metrics", "_noted", "_reported_s", "_table", "_turn", "run_times")

    def __init__(self, table: RunTable, events: EventLog, metrics: LocalMetrics) -> None:
        self._table = table
        self._events = events
        self._metrics = metrics
        self._turn: list[ActiveJob] = []
        self._noted = 0
        self._reported_s: float | None = None
        self.run_times = RunTimes()

    def note_end(self, task: Task, took_ms: float) -> None:
        """Learn from a run that ended as done."""
        if not is_run_time_sample(task):
            return
        self.run_times.note(task.job.submission.queue, task.step.estimate_ms, took_ms)
        self._noted += 1
        self._metrics.count("run_times.noted")

    def predict(self, job: ActiveJob) -> None:
        """Predict the times of a job's tasks."""
        times, queue = self.run_times, job.submission.queue
        steps = job.submission.steps
        job.predict(
            [
                times.quantile_ms(queue, step.estimate_ms, _MEDIAN) if _has_time(step) else 0.0
                for step in steps
            ],
            [
                times.expected_ms(queue, step.estimate_ms) if _has_time(step) else 0.0
                for step in steps
            ],
        )

    def run_round(self, now_s: float) -> None:
        """Predict the next open jobs anew, and report what is known when that is due."""
        if not self._noted and not self._turn:
            return
        if not self._turn:
            self._turn = list(self._table.jobs.values())
        for job in self._turn[-_JOBS_PER_ROUND:]:
            self.predict(job)
        del self._turn[-_JOBS_PER_ROUND:]
        self._report(now_s)

    def _report(self, now_s: float) -> None:
        if self._reported_s is not None and now_s - self._reported_s < _REPORT_INTERVAL_S:
            return
        self._reported_s = now_s
        times = self.run_times
        queues = times.queues
        newest = islice(reversed(queues), _MAX_REPORTED_QUEUES)
        self._metrics.gauge("run_times.queues", len(queues))
        self._events.write(
            "run-times",
            noted=self._noted,
            queues={queue: _figures(times, queue) for queue in newest},
        )
        self._noted = 0


def _has_time(step: Step) -> bool:
    """Whether a time can be expected of a step: declared, or that of runs that end by themselves.

    Explanation
    -----------
    What is learned of runs without a declaration says nothing of fillers and long-running tasks.
    """
    return step.estimate_ms > 0 or not (step.is_long_running or step.is_filler)


def _figures(times: RunTimes, queue: str) -> dict[str, float]:
    """Return what is known of a queue: quantiles as ratios to its typical declaration."""
    typical_ms = times.typical_ms(queue)
    return {
        "runs": times.runs(queue),
        "typical_ms": round(typical_ms),
        "slope": round(times.slope(queue), 2),
        "median": round(times.quantile_ms(queue, typical_ms, _MEDIAN) / typical_ms, 2),
        "mean": round(times.factor(queue), 2),
        "high": round(times.quantile_ms(queue, typical_ms, _HIGH_QUANTILE) / typical_ms, 2),
    }
