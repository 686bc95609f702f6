"""Stops stalled and slow runs, so that their tasks start on another worker."""

from collections.abc import Iterator

from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.core.events import EventLog
from almondstack.jobs import Task
from almondstack.placement import Worker, has_room
from almondstack.placement.backlog import EstimateCorrection
from almondstack.placement.progress import Progress, is_better_elsewhere

__all__ = ["StallDetector"]

_RESTART_DELAY_S = 0.3
"""Time from the end of a stopped run to the start of the next one, in seconds."""

_MAX_SLOW_WORKERS = 2
"""A task that was slow or failed on this many workers is slow itself, and is not stopped again."""


class StallDetector:
    """Stops runs that would end sooner on another worker.

    Explanation
    -----------
    A worker may register, answer and seem healthy while its runs make no progress;
    only the progress that a run reports shows it.  The run is stopped first, and
    the task starts elsewhere only after that run has ended.  The stop counts against
    the health of the worker if the task has not failed or been slow before.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the pool of each job.
    correction : EstimateCorrection
        Ratio of measured run times to callers' estimates.
    stop_s : float
        How long a stop may take, in seconds.
    events : EventLog
        Receives a ``run-stalled`` event for each run that is stopped.
    """

    __slots__ = ("_correction", "_events", "_planner", "_switch_s", "_table")

    def __init__(
        self,
        table: RunTable,
        planner: Planner,
        correction: EstimateCorrection,
        stop_s: float,
        events: EventLog,
    ) -> None:
        self._table = table
        self._planner = planner
        self._correction = correction
        self._switch_s = stop_s + _RESTART_DELAY_S
        self._events = events

    def run_round(self, now_s: float) -> None:
        """Stop the runs that are slow now, if another worker has room for them."""
        for task, progress in list(self._table.runs_with_progress()):
            remaining_s = progress.remaining_s
            if remaining_s is None or not self._is_slow(task, progress, remaining_s):
                continue
            if has_room(task, self._other_workers(task), now_s):
                self._stop_run(task, progress, remaining_s, now_s)

    def _is_slow(self, task: Task, progress: Progress, remaining_s: float) -> bool:
        if not task.job.is_open or task.is_stopping or len(task.failed_on) >= _MAX_SLOW_WORKERS:
            return False
        factor = self._correction.factor(task.job.submission.queue)
        return is_better_elsewhere(
            remaining_s,
            task.step.estimate_ms * factor / 1000.0,
            progress.percent,
            self._switch_s,
            has_checkpoint=task.step.has_checkpoints,
        )

    def _other_workers(self, task: Task) -> Iterator[Worker]:
        """Iterate over workers of a task's pool on which it has neither been slow nor failed."""
        pool = self._planner.policy_of(task.job.submission).pool
        avoided = {task.worker, *task.failed_on}
        return (worker for worker in self._table.workers_of(pool) if worker.id not in avoided)

    def _stop_run(self, task: Task, progress: Progress, remaining_s: float, now_s: float) -> None:
        self._events.write(
            "run-stalled",
            task=task.name,
            run=task.run,
            worker=task.worker,
            percent=progress.percent,
            remaining_s=round(remaining_s, 1),
            age_s=round(now_s - task.assigned_s, 2),
        )
        worker = self._table.workers.get(task.worker)
        if worker is not None and not task.failed_on:
            self._table.worker_health.record_stall(worker, now_s)
        task.failed_on.add(task.worker)
        self._table.request_stop(task, now_s)
