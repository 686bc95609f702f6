"""Runs that stand still or crawl on their worker are stopped and go elsewhere."""

from collections.abc import Iterator

from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.core.events import EventLog
from almondstack.jobs import Task, format_task_name
from almondstack.placement import Worker, has_room
from almondstack.placement.backlog import EstimateCorrection
from almondstack.placement.progress import Progress, is_better_elsewhere

__all__ = ["StallRounds"]

_RESTART_S = 0.3
"""From the end of a stopped run to the start of the next one, in seconds."""

_MOST_MOVES = 2
"""A task that was slow on so many workers is slow itself."""


class StallRounds:
    """Looks for runs that would end sooner on another worker.

    Explanation
    -----------
    A worker may register, answer and look healthy while what it runs stands
    still.  What a run says of its own progress shows it.  The run is stopped
    first, and the task waits for the end of that run like any other.

    Parameters
    ----------
    table : RunTable
        What runs where.
    planner : Planner
        Knows the pool of each job.
    correction : EstimateCorrection
        How callers' estimates relate to what runs take.
    stop_s : float
        How long a stop may take, in seconds.
    events : EventLog
        Takes a line for each run that is given up.
    """

    __slots__ = ("_change_s", "_correction", "_events", "_planner", "_table")

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
        self._change_s = stop_s + _RESTART_S
        self._events = events

    def round(self, now_s: float) -> None:
        """Give up the runs that are slow now."""
        for task, progress in list(self._table.progressing()):
            remaining_s = progress.remaining_s
            if remaining_s is None or not self._is_slow(task, progress, remaining_s):
                continue
            if has_room(task, self._others(task), now_s):
                self._give_up(task, progress, remaining_s, now_s)

    def _is_slow(self, task: Task, progress: Progress, remaining_s: float) -> bool:
        if not task.job.is_open or task.is_stopping or len(task.failed_on) >= _MOST_MOVES:
            return False
        factor = self._correction.factor(task.job.submission.queue)
        return is_better_elsewhere(
            remaining_s,
            task.step.estimate_ms * factor / 1000.0,
            progress.percent,
            self._change_s,
            has_checkpoint=task.step.has_checkpoints,
        )

    def _others(self, task: Task) -> Iterator[Worker]:
        """Iterate over the workers of its pool on which a task has not been slow."""
        pool = self._planner.policy_of(task.job.submission).pool
        avoided = {task.worker, *task.failed_on}
        return (worker for worker in self._table.workers_of(pool) if worker.id not in avoided)

    def _give_up(self, task: Task, progress: Progress, remaining_s: float, now_s: float) -> None:
        self._events.write(
            "run-stalled",
            task=format_task_name(task.job.id, task.key),
            run=task.run,
            worker=task.worker,
            percent=progress.percent,
            remaining_s=round(remaining_s, 1),
            age_s=round(now_s - task.assigned_s, 2),
        )
        worker = self._table.workers.get(task.worker)
        if worker is not None and not task.failed_on:
            self._table.soundness.record_stall(worker, now_s)
        task.failed_on.add(task.worker)
        self._table.ask_stop(task, now_s)
