"""Room for tasks that are moved from slow workers, in one round."""

from collections import Counter
from collections.abc import Iterable

from almondstack.jobs import Task
from almondstack.placement.choosing import room_count
from almondstack.placement.workers import Worker

__all__ = ["SpareRoom"]


class SpareRoom:
    """How many more tasks the workers of each pool could take at their usual speed.

    Explanation
    -----------
    Many runs are behind at once on slow workers, and each needs room of its own: without it the
    task would wait instead of going on slowly.  A task that is being stopped takes up room as
    well, whatever its size.

    Parameters
    ----------
    workers : iterable of Worker
        All workers.
    now_s : float
        Monotonic time in seconds.
    """

    __slots__ = ("_counts", "_now_s", "_taken", "_workers")

    def __init__(self, workers: Iterable[Worker], now_s: float) -> None:
        self._workers = workers
        self._now_s = now_s
        self._taken: Counter[str] = Counter()
        self._counts: dict[tuple[object, ...], int] = {}

    def note_moving(self, pool: str) -> None:
        """Count a task that is being moved within a pool."""
        self._taken[pool] += 1

    def has_room(self, task: Task, pool: str) -> bool:
        """Return whether there is room for a task in a pool beside those being moved."""
        key = pool, *_fit_key(task)
        count = self._counts.get(key)
        if count is None:
            members = (worker for worker in self._workers if worker.info.pool == pool)
            count = self._counts[key] = room_count(task, members, self._now_s)
        return count > self._taken[pool]


def _fit_key(task: Task) -> tuple[object, ...]:
    """Return what decides how often a task like this one fits on the workers."""
    step = task.step
    needs = step.cpu_millis, step.memory_mb, step.gpus, step.is_filler, step.required_label
    if not step.most_per_worker:
        return needs
    # The bound counts the tasks of the same step and occurrence.
    return *needs, step.most_per_worker, task.job.id, task.key.occurrence, task.key.step
