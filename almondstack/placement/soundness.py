"""Which workers do badly and are set aside for a while."""

from almondstack.jobs import RunEnd, Task
from almondstack.placement.workers import Worker

__all__ = ["Soundness"]

_FAILURE_WEIGHT = 1.0
_REFUSAL_WEIGHT = 0.5
_RECOVERY = 0.5
"""Factor on a worker's penalty for each run that it ends well."""

_SET_ASIDE_PENALTY = 2.0
_SET_ASIDE_S = 2.0
_MOST_SET_ASIDE_S = 8.0


class Soundness:
    """Judges workers by the ends of their runs.

    Explanation
    -----------
    A task that has failed on two workers says more of the task than of the
    second worker, so only the first failure of a task counts.  A worker that
    collects failures gets nothing new for a while, longer each time, and then
    is tried again.
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: dict[str, int] = {}

    def note_end(self, worker: Worker, task: Task, end: RunEnd, now_s: float) -> None:
        """Note how a run ended."""
        if end is RunEnd.DONE:
            worker.penalty *= _RECOVERY
            self._times.pop(worker.id, None)
        elif end is RunEnd.FAILED and not task.failed_on and not task.step.is_long_running:
            self._punish(worker, _FAILURE_WEIGHT, now_s)

    def note_refusal(self, worker: Worker, now_s: float) -> None:
        """Note a worker that did not take an order although it had room."""
        self._punish(worker, _REFUSAL_WEIGHT, now_s)

    def note_stall(self, worker: Worker, now_s: float) -> None:
        """Note a worker on which a run stood still or crawled."""
        self._punish(worker, _FAILURE_WEIGHT, now_s)

    def _punish(self, worker: Worker, weight: float, now_s: float) -> None:
        worker.penalty += weight
        if worker.penalty < _SET_ASIDE_PENALTY:
            return
        times = self._times.get(worker.id, 0) + 1
        self._times[worker.id] = times
        worker.set_aside_until_s = now_s + min(_SET_ASIDE_S * times, _MOST_SET_ASIDE_S)
        worker.penalty = _SET_ASIDE_PENALTY - _FAILURE_WEIGHT
