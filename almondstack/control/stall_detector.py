"""Stops stalled and slow runs, so that their tasks start on another worker."""

from collections.abc import Iterator

from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.core.events import EventLog
from almondstack.jobs import Task
from almondstack.placement import RunTimes, Worker, has_room
from almondstack.placement.progress import Progress, is_better_elsewhere

__all__ = ["StallDetector"]

_MS_PER_S = 1000.0
_RESTART_DELAY_S = 0.3
"""Time from the end of a stopped run to the start of the next one, in seconds."""

_SLOW_QUANTILE = 0.99
"""A run is slow against the time within which this share of the tasks of its kind ends."""

_MAX_SLOW_WORKERS = 2
"""A task that was slow or failed on this many workers is slow itself, and is not stopped again."""


class StallDetector:
    """Stops runs that would end sooner on another worker.

    Explanation
    -----------
    A worker may register, answer and seem healthy while its runs make no progress;
    only the progress that a run reports shows it.  The run is stopped first, and
    the task starts elsewhere only after that run has ended.  A restart is taken to last
    as long as the longest tasks of the kind do, so that a task which is long by nature is
    not stopped, while a run that stands still soon exceeds that.  The stop counts against
    the health of the worker if the task has not failed or been slow before.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the pool of each job.
    run_times : RunTimes
        How long tasks take.
    stop_s : float
        How long a stop may take, in seconds.
    events : EventLog
        Receives a ``run-stalled`` event for each run that is stopped.
    """

    __slots__ = ("_events", "_planner", "_run_times", "_switch_s", "_table")

    def __init__(
        self,
        table: RunTable,
        planner: Planner,
        run_times: RunTimes,
        stop_s: float,
        events: EventLog,
    ) -> None:
        self._table = table
        self._planner = planner
        self._run_times = run_times
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
        return is_better_elsewhere(
            remaining_s,
            self._longest_s(task),
            progress.percent,
            self._switch_s,
            has_checkpoint=task.step.has_checkpoints,
        )

    def _longest_s(self, task: Task) -> float:
        queue, declared_ms = task.job.submission.queue, task.step.estimate_ms
        return self._run_times.quantile_ms(queue, declared_ms, _SLOW_QUANTILE) / _MS_PER_S

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
