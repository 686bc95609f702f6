"""Stops stalled and slow runs, so that their tasks start on another worker."""

from collections.abc import Iterator

from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.core.events import EventLog
from almondstack.jobs import Task
from almondstack.placement import RunTimes, Worker, WorkerSpeeds, has_room
from almondstack.placement.progress import Progress, is_better_elsewhere
from almondstack.placement.spare_room import SpareRoom

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
    speeds : WorkerSpeeds
        Speeds of the workers; runs on slow ones are stopped where they would end sooner
        elsewhere, without counting against the health of the worker.
    stop_s : float
        How long a stop may take, in seconds.
    events : EventLog
        Receives a ``run-stalled`` event for each run that is stopped.
    """

    __slots__ = ("_events", "_planner", "_run_times", "_speeds", "_switch_s", "_table")

    def __init__(
        self,
        table: RunTable,
        planner: Planner,
        run_times: RunTimes,
        speeds: WorkerSpeeds,
        stop_s: float,
        events: EventLog,
    ) -> None:
        self._table = table
        self._planner = planner
        self._run_times = run_times
        self._speeds = speeds
        self._switch_s = stop_s + _RESTART_DELAY_S
        self._events = events

    def run_round(self, now_s: float) -> None:
        """Stop the runs that are slow now, if another worker has room for them."""
        behind = [
            (task, progress)
            for task, progress in self._table.runs_with_progress()
            if self._is_behind(task, progress)
        ]
        if not behind:
            return
        spare = self._spare_room(now_s)
        for task, progress in behind:
            if self._may_move(task, progress, spare, now_s):
                spare.note_moving(self._pool_of(task))
                self._stop_run(task, progress, now_s)

    def _is_behind(self, task: Task, progress: Progress) -> bool:
        """Whether a usual task of its kind would end sooner if it started elsewhere now."""
        remaining_s = progress.remaining_s
        if remaining_s is None or task.is_stopping:
            return False
        if not task.job.is_open or len(task.failed_on) >= _MAX_SLOW_WORKERS:
            return False
        return is_better_elsewhere(
            remaining_s,
            task.job.median_ms(task.key.step) / _MS_PER_S,
            progress.percent,
            self._switch_s,
            has_checkpoint=task.step.has_checkpoints,
        )

    def _may_move(self, task: Task, progress: Progress, spare: SpareRoom, now_s: float) -> bool:
        """Whether a run that is behind is to go on elsewhere, and another worker has room.

        Explanation
        -----------
        If several runs on its worker are slow, that explains this one, and it is not taken for
        a long task: elsewhere it is expected to take the median of its kind.
        """
        if self._is_stalled(task, progress):
            return has_room(task, self._other_workers(task), now_s)
        if self._speeds.is_slow(task.worker):
            return spare.has_room(task, self._pool_of(task))
        return False

    def _spare_room(self, now_s: float) -> SpareRoom:
        spare = SpareRoom(self._table.workers.values(), now_s)
        for task, _ in self._table.runs_with_progress():
            if task.is_stopping:
                spare.note_moving(self._pool_of(task))
        return spare

    def _is_stalled(self, task: Task, progress: Progress) -> bool:
        """Whether even one of the longest tasks of its kind would end sooner elsewhere."""
        return is_better_elsewhere(
            progress.remaining_s or 0.0,
            self._longest_s(task),
            progress.percent,
            self._switch_s,
            has_checkpoint=task.step.has_checkpoints,
        )

    def _pool_of(self, task: Task) -> str:
        return self._planner.policy_of(task.job.submission).pool

    def _longest_s(self, task: Task) -> float:
        queue, declared_ms = task.job.submission.queue, task.step.estimate_ms
        return self._run_times.quantile_ms(queue, declared_ms, _SLOW_QUANTILE) / _MS_PER_S

    def _other_workers(self, task: Task) -> Iterator[Worker]:
        """Iterate over workers of a task's pool on which it has neither been slow nor failed."""
        pool = self._pool_of(task)
        avoided = {task.worker, *task.failed_on}
        return (worker for worker in self._table.workers_of(pool) if worker.id not in avoided)

    def _stop_run(self, task: Task, progress: Progress, now_s: float) -> None:
        self._events.write(
            "run-stalled",
            task=task.name,
            run=task.run,
            worker=task.worker,
            percent=progress.percent,
            remaining_s=round(progress.remaining_s or 0.0, 1),
            age_s=round(now_s - task.assigned_s, 2),
            worker_factor=self._speeds.factor(task.worker),
        )
        worker = self._table.workers.get(task.worker)
        is_known = self._speeds.is_slow(task.worker)
        if worker is not None and not task.failed_on and not is_known:
            self._table.worker_health.record_stall(worker, now_s)
        task.failed_on.add(task.worker)
        self._table.request_stop(task, now_s)
