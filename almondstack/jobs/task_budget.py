"""Limits on the tasks that exist in memory at one time."""

__all__ = ["TaskBudget"]

_MAX_ACCOUNT_TASKS = 10_000
"""Open tasks of one client account; a task takes about 600 bytes."""

_MAX_JOB_TASKS = 1_000
"""Open tasks of one job, unless a single step has more."""

_ALWAYS_ALLOWED_TASKS = 64
"""Open tasks that each job may have: small jobs do not wait for large ones of their account."""


class TaskBudget:
    """Counts the open tasks of a client account's jobs.

    Examples
    --------
    >>> budget = TaskBudget()
    >>> budget.may_open(job_tasks=0, count=10_000)
    True
    >>> budget.take(10_000)
    >>> budget.may_open(job_tasks=0, count=100), budget.may_open(job_tasks=0, count=8)
    (False, True)
    """

    __slots__ = ("_open_tasks",)

    def __init__(self) -> None:
        self._open_tasks = 0

    def may_open(self, job_tasks: int, count: int) -> bool:
        """Whether a job with that many open tasks may open a step of ``count`` more."""
        if job_tasks + count <= _ALWAYS_ALLOWED_TASKS:
            return True
        if job_tasks and job_tasks + count > _MAX_JOB_TASKS:
            return False
        return not self._open_tasks or self._open_tasks + count <= _MAX_ACCOUNT_TASKS

    def take(self, count: int) -> None:
        """Count tasks as open."""
        self._open_tasks += count

    def give_back(self, count: int) -> None:
        """Count tasks as dropped."""
        self._open_tasks -= count
