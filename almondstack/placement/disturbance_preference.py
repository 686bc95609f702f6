"""Prefers the workers on which a task and those beside it disturb each other least."""

from almondstack.jobs import Task
from almondstack.placement.interference import Interference, kind_of
from almondstack.placement.workers import Worker

__all__ = ["DisturbancePreference"]

_DIGITS = 1
"""Decimal places to which disturbances are compared: below these the room decides."""


class DisturbancePreference:
    """Returns the disturbance to expect of a task on a worker; used in one round of placement.

    Explanation
    -----------
    A worker only gets more tasks within a round, so that its result for a kind holds until
    their number changes.

    Parameters
    ----------
    interference : Interference
        What is known of the kinds.
    """

    __slots__ = ("_interference", "_known")

    def __init__(self, interference: Interference) -> None:
        self._interference = interference
        self._known: dict[tuple[str, str], tuple[int, float]] = {}

    def __call__(self, task: Task, worker: Worker) -> float:
        """Return the expected disturbance as a share of the targets, rounded."""
        key = worker.id, kind_of(task)
        known = self._known.get(key)
        if known is not None and known[0] == worker.task_count:
            return known[1]
        value = round(self._interference.penalty(task, worker.tasks), _DIGITS)
        self._known[key] = worker.task_count, value
        return value
