"""Decides when a long-running task may be interrupted to move it to another worker."""

from collections.abc import Mapping

from almondstack.jobs import Task
from almondstack.placement import Worker

__all__ = ["may_interrupt"]

_MIN_AT_WORK_S = 1.0
"""Time at work after which a long-running task counts as available again, in seconds."""


def may_interrupt(task: Task, workers: Mapping[str, Worker], now_s: float) -> bool:
    """Whether stopping a long-running task leaves enough tasks of its step at work.

    Explanation
    -----------
    Any other task of the step that is not at work counts as unavailable, whatever
    the cause, which is stricter than ``max_unavailable`` requires.  The last report
    of a worker counts only while the worker is reachable.
    """
    limit = task.step.max_unavailable
    if limit is None:
        return True
    unavailable = sum(
        other is not task and not _is_at_work(other, workers, now_s) for other in task.siblings
    )
    return unavailable < limit


def _is_at_work(task: Task, workers: Mapping[str, Worker], now_s: float) -> bool:
    worker = workers.get(task.worker)
    if worker is None or not worker.is_reachable:
        return False
    if not task.is_assigned or not task.is_confirmed or task.is_stopping:
        return False
    return task.is_at_work and now_s - task.assigned_s >= _MIN_AT_WORK_S
