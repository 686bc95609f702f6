"""Ranks steps by the order in which they get workers."""

from almondstack.jobs import ActiveJob, Task
from almondstack.placement.policies import QueuePolicy

__all__ = [
    "LATE_BAND",
    "LATE_FACTOR",
    "Rank",
    "is_late",
    "is_past_use",
    "is_worthless",
    "objective_s",
    "pressing_share",
    "rank_of",
    "slack_s",
]

Rank = tuple[int, bool, int, float]

LATE_FACTOR = 3.0
"""An end later than this multiple of the job's objective is of no use to its caller."""

LATE_BAND = 2
"""From this first element of a rank on, a job can no longer end within its objective."""

_MS_PER_S = 1000.0


def objective_s(job: ActiveJob, policy: QueuePolicy) -> float:
    """Return the time from acceptance in which a job should end, in seconds."""
    return (policy.stretch * job.chain_ms + policy.objective_ms) / _MS_PER_S


def rank_of(tasks: list[Task], policy: QueuePolicy, now_unix_ms: float) -> Rank:
    """Return the rank of a step; the lowest gets workers first.

    Explanation
    -----------
    Long-running tasks come first, since each second without them has a cost.  Then
    come jobs that can still end within their objective, then late jobs, then those
    whose end can no longer be of use.  Within each of these bands, urgent queues
    come first, then the job with the least slack, so a job that has begun usually
    continues before a newer one.
    """
    job = tasks[0].job
    if tasks[0].step.is_long_running:
        return 0, tasks[0].step.is_filler, policy.urgency, 0.0
    released_ms = _released_ms(tasks[0])
    objective = objective_s(job, policy)
    due_s = released_ms / _MS_PER_S + objective
    remaining_s = job.remaining_chain_ms(tasks[0].key.step) / _MS_PER_S
    slack_s = due_s - remaining_s - now_unix_ms / _MS_PER_S
    return _lateness(slack_s, objective), False, policy.urgency, slack_s


def is_late(job: ActiveJob, policy: QueuePolicy, now_unix_ms: float) -> bool:
    """Return whether a job can no longer end within its objective."""
    ready = job.ready_steps(now_unix_ms)
    return any(rank_of(tasks, policy, now_unix_ms)[0] >= LATE_BAND for tasks in ready)


def is_worthless(job: ActiveJob, policy: QueuePolicy, now_unix_ms: float) -> bool:
    """Return whether a job can no longer end early enough to be of use to its caller."""
    ready = job.ready_steps(now_unix_ms)
    return any(rank_of(tasks, policy, now_unix_ms)[0] > LATE_BAND for tasks in ready)


def slack_s(tasks: list[Task], policy: QueuePolicy, now_unix_ms: float) -> float:
    """Return how long a step may wait without its job being late, in seconds."""
    return rank_of(tasks, policy, now_unix_ms)[-1]


def pressing_share(remaining_s: float, slack: float) -> float:
    """Return the part of a job's demand that must run now for it to end in time.

    Parameters
    ----------
    remaining_s : float
        Seconds from the start of its present step to its end.
    slack : float
        Seconds that it may wait without being late.

    Examples
    --------
    >>> pressing_share(1.0, 3.0), pressing_share(1.0, 0.0)
    (0.25, 1.0)
    """
    if slack <= 0 or remaining_s <= 0:
        return 1.0
    return remaining_s / (remaining_s + slack)


def is_past_use(task: Task, policy: QueuePolicy, now_unix_ms: float) -> bool:
    """Return whether a task's job should have ended so long ago that its end is of no use."""
    last_s = LATE_FACTOR * objective_s(task.job, policy)
    return now_unix_ms / _MS_PER_S > _released_ms(task) / _MS_PER_S + last_s


def _released_ms(task: Task) -> float:
    """Return when a task's occurrence was due, or its job accepted, in Unix milliseconds."""
    submission = task.job.submission
    if submission.is_scheduled:
        return submission.due_ms(task.key.occurrence)
    return submission.accepted_ms


def _lateness(slack_s: float, objective: float) -> int:
    if slack_s >= 0:
        return 1
    return LATE_BAND if slack_s >= -(LATE_FACTOR - 1) * objective else LATE_BAND + 1
