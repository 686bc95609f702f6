"""Until when, and where, starts without an answer may still be carried out.

Explanation
-----------
A call without an answer may be carried out within ``MAX_CALL_DELAY_S``.  A life of a worker
that was told to stop the run, or has ended it, rejects its start; the next life under that id
has seen neither and carries it out, unless it has seen a higher fencing token before.  So a
task whose run was given up gets its next run on the same worker until no start of an earlier
one can arrive any more: if that worker starts again, its former life has ended that next run
(:mod:`almondstack.placement.open_starts`).
"""

from almondstack.control.current_runs import CurrentRun
from almondstack.control.poll_replies import START_REPLY_TIMEOUT_S
from almondstack.control.sent_calls import MAX_CALL_DELAY_S
from almondstack.jobs import Task

__all__ = [
    "bound_inherited",
    "may_reach_lost_worker",
    "may_reach_next_life",
    "note_open_starts",
]


def may_reach_next_life(task: Task, current: CurrentRun, now_s: float) -> bool:
    """Whether a start of a task, sent to its worker's former life, may still reach the next.

    Explanation
    -----------
    Of the starts of a previous owner the outcome is never known.
    """
    if task.open_starts.may_arrive(task.worker, now_s):
        return True
    is_known = current.answers >= current.tries and not current.is_inherited
    last_s = max(task.assigned_s + START_REPLY_TIMEOUT_S, _last_start_s(task, current))
    if current.is_start_open and current.sent_s is None and not current.is_inherited:
        # The news that it is being sent may be on its way.
        last_s = now_s
    return not is_known and now_s < last_s + MAX_CALL_DELAY_S


def may_reach_lost_worker(task: Task, current: CurrentRun, now_s: float) -> bool:
    """Whether a start of a task may be carried out if its worker, which is away, starts again.

    Explanation
    -----------
    Which starts of a previous owner have an answer is not known; they count as answered.
    A task that lasts has to be at work again within seconds, and is not kept.
    """
    if task.step.is_long_running:
        return False
    if task.open_starts.may_arrive(task.worker, now_s):
        return True
    if current.is_inherited or current.answers >= current.tries:
        return False
    return now_s < _last_start_s(task, current) + MAX_CALL_DELAY_S


def note_open_starts(task: Task, current: CurrentRun, now_s: float) -> float | None:
    """Note on a task that its run is given up, if a start of it has no answer.

    Returns
    -------
    float or None
        Until when the start may be carried out, in monotonic seconds; None if each has an
        answer, as far as this owner knows.
    """
    unknown = current.unanswered if current.is_inherited else current.tries - current.answers
    if unknown <= 0:
        return None
    sent_s = now_s if current.is_start_open else _last_start_s(task, current)
    until_s = sent_s + MAX_CALL_DELAY_S
    if until_s <= now_s:
        return None
    task.open_starts.note(task.worker, until_s)
    return until_s


def bound_inherited(task: Task, now_s: float) -> None:
    """Bound the open starts that a previous owner has recorded, of which the ages are not known."""
    task.open_starts.bound(now_s + MAX_CALL_DELAY_S)


def _last_start_s(task: Task, current: CurrentRun) -> float:
    """Return when a start of a run was last sent, or found to have no answer."""
    times_s = (current.sent_s, current.unanswered_s, current.repeated_s)
    return max(task.assigned_s, *(time_s or 0.0 for time_s in times_s))
