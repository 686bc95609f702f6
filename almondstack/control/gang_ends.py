"""What the end of one member's run means for the other members of its gang."""

from typing import TYPE_CHECKING

from almondstack.jobs import RunEnd, Task

if TYPE_CHECKING:
    from almondstack.control.runs import RunTable

__all__ = ["end_gang"]


def end_gang(table: "RunTable", task: Task, end: RunEnd, now_s: float) -> None:
    """Release or stop the other members of a gang of which one run has ended.

    Parameters
    ----------
    table : RunTable
        The current runs.
    task : Task
        The member whose run has ended.
    end : RunEnd
        How it has ended.
    now_s : float
        Present monotonic time in seconds.
    """
    if end is RunEnd.DONE and not task.step.is_long_running:
        _close_gang(table, task)
    else:
        _stop_gang(table, task, now_s)


def _close_gang(table: "RunTable", task: Task) -> None:
    """Release the other members: the gang is done when one member ends as done."""
    for member in task.siblings:
        if member in table.runs:
            table.remove_run(member)


def _stop_gang(table: "RunTable", task: Task, now_s: float) -> None:
    for member in task.siblings:
        if member.is_assigned:
            table.request_stop(member, now_s)
