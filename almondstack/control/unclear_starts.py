"""What follows from starts whose outcome is not known.

Explanation
-----------
A start without an answer may have been carried out, or may be carried out seconds later.
It is sent again, which does no harm if the run is there.  If that gives no answer either,
the run is stopped, so that its task can get another one.  The stop may end a run that has
begun meanwhile and is at work.  Where only so many tasks of a step may be unavailable, such
a start is sent again for longer, as long as its worker lists its runs, and the stop waits
until no start can be carried out any more; a run that begins until then is listed.
"""

from collections.abc import Mapping

from almondstack.control.current_runs import CurrentRun
from almondstack.control.long_running import may_interrupt
from almondstack.control.messages import OrderStatus
from almondstack.control.sent_calls import MAX_CALL_DELAY_S
from almondstack.jobs import Task
from almondstack.placement import Worker

__all__ = ["may_repeat_start", "may_stop_unconfirmed"]

_MAX_STARTS = 2
"""Number of starts that are sent for one run."""

_MAX_STARTS_IF_LIMITED = 12
"""Number of starts that are sent for one run of a step with ``max_unavailable``."""

_MIN_REPEAT_S = 0.5
"""Minimum time between two of these starts, in seconds: some fail at once."""

_ENDED_STATUSES = (OrderStatus.OLD_RUN, OrderStatus.FENCED)
"""Outcomes after which no earlier start of the run can be carried out any more."""


def may_repeat_start(
    task: Task, current: CurrentRun, status: OrderStatus | None, now_s: float
) -> bool:
    """Whether the start of a run is sent again, of which an earlier one had no answer.

    Parameters
    ----------
    task, current : Task, CurrentRun
        The task and the state of its run.
    status : OrderStatus or None
        The outcome of a start that has just become known, if any.
    now_s : float
        Present monotonic time in seconds.
    """
    if not task.job.is_open or task.is_stopping or not current.is_unclear:
        return False
    if task.step.max_unavailable is None:
        return status is OrderStatus.UNCLEAR and current.tries < _MAX_STARTS
    if current.is_refused or current.is_start_open or current.tries >= _MAX_STARTS_IF_LIMITED:
        return False
    if status is OrderStatus.NOT_SENT:
        # The next list shows when the worker can be reached again.
        return False
    sent_s = task.assigned_s if current.repeated_s is None else current.repeated_s
    return now_s - sent_s >= _MIN_REPEAT_S


def may_stop_unconfirmed(
    task: Task,
    current: CurrentRun,
    workers: Mapping[str, Worker],
    status: OrderStatus | None,
    now_s: float,
) -> bool:
    """Whether a run may be stopped whose start was neither confirmed nor ruled out.

    Explanation
    -----------
    A limit holds for runs of open jobs on workers that don't drain.  A run whose start was
    sent by a previous owner is stopped at once: its worker rejects that owner's calls.
    Parameters as those of :func:`may_repeat_start`; ``workers`` are the registered ones.
    """
    if task.step.max_unavailable is None or not task.job.is_open or task.is_stopping:
        return True
    worker = workers.get(task.worker)
    if status in _ENDED_STATUSES or (worker is not None and worker.info.is_draining):
        return True
    if current.unanswered_s is None or now_s - current.unanswered_s > MAX_CALL_DELAY_S:
        return True
    return current.is_refused and may_interrupt(task, workers, now_s)
