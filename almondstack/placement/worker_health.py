"""Tracks failures of workers and sets failing workers aside for a limited time."""

from almondstack.jobs import RunEnd, Task
from almondstack.placement.workers import Worker

__all__ = ["WorkerHealth"]

_FAILURE_WEIGHT = 1.0
_REFUSAL_WEIGHT = 0.5
_RECOVERY = 0.5
"""Factor on a worker's penalty for each successful run."""

_SET_ASIDE_PENALTY = 2.0
_SET_ASIDE_S = 2.0
_MAX_SET_ASIDE_S = 8.0


class WorkerHealth:
    """Updates the penalties of workers from refusals, stalls and the results of runs.

    Explanation
    -----------
    A task that fails on a second worker is more likely at fault than that worker,
    so only the first failure of a task counts.  A worker whose penalty reaches the
    limit gets no new tasks for a time that grows with each repetition, and then is
    used again.
    """

    __slots__ = ("_set_aside_counts",)

    def __init__(self) -> None:
        self._set_aside_counts: dict[str, int] = {}

    def record_run_end(self, worker: Worker, task: Task, end: RunEnd, now_s: float) -> None:
        """Record the end of a run: success halves the penalty, a first failure raises it."""
        if end is RunEnd.DONE:
            worker.penalty *= _RECOVERY
            self._set_aside_counts.pop(worker.id, None)
        elif end is RunEnd.FAILED and not task.failed_on and not task.step.is_long_running:
            self._penalize(worker, _FAILURE_WEIGHT, now_s)

    def record_refusal(self, worker: Worker, now_s: float) -> None:
        """Record that a worker refused a start although it had room."""
        self._penalize(worker, _REFUSAL_WEIGHT, now_s)

    def record_stall(self, worker: Worker, now_s: float) -> None:
        """Record that a run on the worker made too little or no progress."""
        self._penalize(worker, _FAILURE_WEIGHT, now_s)

    def _penalize(self, worker: Worker, weight: float, now_s: float) -> None:
        worker.penalty += weight
        if worker.penalty < _SET_ASIDE_PENALTY:
            return
        times = self._set_aside_counts.get(worker.id, 0) + 1
        self._set_aside_counts[worker.id] = times
        worker.set_aside_until_s = now_s + min(_SET_ASIDE_S * times, _MAX_SET_ASIDE_S)
        worker.penalty = _SET_ASIDE_PENALTY - _FAILURE_WEIGHT
