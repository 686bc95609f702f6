"""When tasks that run until they are cancelled may be moved elsewhere."""

from collections.abc import Mapping

from almondstack.jobs import Task
from almondstack.placement import Worker

__all__ = ["may_interrupt"]

_SETTLED_S = 1.0
"""Time at work after which a lasting task counts as back, in seconds."""


def may_interrupt(task: Task, workers: Mapping[str, Worker], now_s: float) -> bool:
    """Whether stopping a lasting task leaves enough of its step at work.

    Explanation
    -----------
    Any other task of the step that is not at work counts as away, whatever the
    cause; that is stricter than the bound asks for.  What a worker last said
    counts only while it answers.
    """
    bound = task.step.max_unavailable
    if bound is None:
        return True
    siblings = task.job.steps_of(task.key.occurrence)[task.key.step]
    away = sum(other is not task and not _is_at_work(other, workers, now_s) for other in siblings)
    return away < bound


def _is_at_work(task: Task, workers: Mapping[str, Worker], now_s: float) -> bool:
    worker = workers.get(task.worker)
    if worker is None or not worker.is_reachable:
        return False
    if not task.is_assigned or not task.is_confirmed or task.is_stopping:
        return False
    return task.is_at_work and now_s - task.assigned_s >= _SETTLED_S
