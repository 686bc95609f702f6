"""Which workers do badly and are set aside for a while."""

from almondstack.jobs import RunEnd, Task
from almondstack.placement.workers import Worker

__all__ = ["WorkerHealth"]

_FAILURE_WEIGHT = 1.0
_REFUSAL_WEIGHT = 0.5
_RECOVERY = 0.5
"""Factor on a worker's penalty for each run that it ends well."""

_SET_ASIDE_PENALTY = 2.0
_SET_ASIDE_S = 2.0
_MOST_SET_ASIDE_S = 8.0


class WorkerHealth:
    """Judges workers by the ends of their runs.

    Explanation
    -----------
    A task that has failed on two workers says more of the task than of the
    second worker, so only the first failure of a task counts.  A worker that
    collects failures gets nothing new for a while, longer each time, and then
    is tried again.
    """

    __slots__ = ("_set_aside_counts",)

    def __init__(self) -> None:
        self._set_aside_counts: dict[str, int] = {}

    def record_run_end(self, worker: Worker, task: Task, end: RunEnd, now_s: float) -> None:
        """Note how a run ended."""
        if end is RunEnd.DONE:
            worker.penalty *= _RECOVERY
            self._set_aside_counts.pop(worker.id, None)
        elif end is RunEnd.FAILED and not task.failed_on and not task.step.is_long_running:
            self._penalize(worker, _FAILURE_WEIGHT, now_s)

    def record_refusal(self, worker: Worker, now_s: float) -> None:
        """Note a worker that did not take an order although it had room."""
        self._penalize(worker, _REFUSAL_WEIGHT, now_s)

    def record_stall(self, worker: Worker, now_s: float) -> None:
        """Note a worker on which a run stood still or crawled."""
        self._penalize(worker, _FAILURE_WEIGHT, now_s)

    def _penalize(self, worker: Worker, weight: float, now_s: float) -> None:
        worker.penalty += weight
        if worker.penalty < _SET_ASIDE_PENALTY:
            return
        times = self._set_aside_counts.get(worker.id, 0) + 1
        self._set_aside_counts[worker.id] = times
        worker.set_aside_until_s = now_s + min(_SET_ASIDE_S * times, _MOST_SET_ASIDE_S)
        worker.penalty = _SET_ASIDE_PENALTY - _FAILURE_WEIGHT
