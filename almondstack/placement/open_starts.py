"""Where a task may run while a start of an earlier run of it may still be carried out."""

from almondstack.jobs import Task
from almondstack.placement.workers import Worker

__all__ = ["workers_beside_open_starts"]


def workers_beside_open_starts(task: Task, workers: list[Worker], now_s: float) -> list[Worker]:
    """Return those of the workers on which a task may run now.

    Explanation
    -----------
    While a worker may carry out a start of an earlier run, the next run goes there too, so
    that the two can't run at the same time: one life of a worker rejects the earlier run,
    and the next life begins without the later one.  The present life must have shown that it
    doesn't run the earlier one.  If the task has failed there, or the worker is not among
    ``workers``, the task waits.  Tasks that last must be at work again within seconds, so for
    them it is only a preference; speculative ones may run twice.
    """
    if not task.open_starts or task.step.is_speculative:
        return workers
    holders = task.open_starts.workers(now_s)
    if not holders:
        return workers
    suitable = [worker for worker in workers if holders == {worker.id} and _takes(task, worker)]
    if suitable or not task.step.is_long_running:
        return suitable
    return [] if any(task.name in worker.former_tasks for worker in workers) else workers


def _takes(task: Task, worker: Worker) -> bool:
    """Whether the present life of a worker has listed its runs, without an earlier one."""
    has_listed = worker.last_answer_s > 0 and task.name not in worker.former_tasks
    return has_listed and worker.id not in task.failed_on
