"""Waiting tasks that may run on one worker only, since a start of an earlier run may arrive."""

from almondstack.jobs import Task, TaskStatus

__all__ = ["HeldTasks"]


class HeldTasks:
    """Tasks of which some worker may carry out a start of an earlier run.

    Explanation
    -----------
    Their next run goes to that worker (:mod:`almondstack.placement.open_starts`), so it is
    polled though it has no runs, and its instance is neither moved nor given up for want of work.
    """

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: dict[Task, None] = {}

    def add(self, task: Task) -> None:
        """Add a task."""
        self._tasks[task] = None

    def by_worker(self, now_s: float) -> dict[str, list[Task]]:
        """Return the waiting tasks by the worker that each waits for."""
        found: dict[str, list[Task]] = {}
        for task in list(self._tasks):
            workers = task.open_starts.workers(now_s)
            if not workers or not task.job.is_open:
                del self._tasks[task]
            elif task.status is TaskStatus.WAITING:
                for worker in workers:
                    found.setdefault(worker, []).append(task)
        return found
