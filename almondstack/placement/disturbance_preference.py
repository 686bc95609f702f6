"""Prefers the workers on which a task and those beside it disturb each other least."""

from almondstack.jobs import Task
from almondstack.placement.choosing import Ranking
from almondstack.placement.interference import Interference, kind_of
from almondstack.placement.workers import Worker

__all__ = ["DisturbancePreference"]

_DIGITS = 1
"""Decimal places to which disturbances are compared; among equal ones the free room decides."""


class DisturbancePreference:
    """Ranks workers by the disturbance to expect of a task there, in one round of placement.

    Explanation
    -----------
    Within a round, tasks are only added to a worker.  The result for a kind is therefore kept
    until the number of its tasks changes.

    Parameters
    ----------
    interference : Interference
        What is known of the kinds.
    """

    __slots__ = ("_interference", "_known")

    def __init__(self, interference: Interference) -> None:
        self._interference = interference
        self._known: dict[str, dict[str, tuple[int, float]]] = {}

    def __call__(self, task: Task) -> Ranking | None:
        """Return the expected disturbance as a share of the targets, rounded, by worker.

        Returns
        -------
        callable or None
            None if nothing is known of the task's kind.
        """
        kind = kind_of(task)
        if not self._interference.concerns(kind):
            return None
        known = self._known.setdefault(kind, {})
        return lambda worker: self._disturbance(task, worker, known)

    def _disturbance(
        self, task: Task, worker: Worker, known: dict[str, tuple[int, float]]
    ) -> float:
        count = worker.task_count
        last = known.get(worker.id)
        if last is not None and last[0] == count:
            return last[1]
        value = round(self._interference.penalty(task, worker.tasks), _DIGITS) if count else 0.0
        known[worker.id] = count, value
        return value
