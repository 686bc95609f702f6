"""Estimates how long new work of a client account would wait in a pool."""

from collections.abc import Mapping

from almondstack.jobs import ActiveJob, Submission, Task, TaskStatus, chain_lengths_ms
from almondstack.jobs.admission_state import wait_key
from almondstack.placement.order import LATE_FACTOR
from almondstack.placement.policies import AccountPolicy, QueuePolicy

__all__ = [
    "Backlog",
    "excess_wait_ms",
    "is_in_time",
    "wait_key",
    "waits_beyond_ms",
]

_MILLIS_PER_CORE = 1000.0

_WAIT_STEP_MS = 100
"""Waits are rounded down to a multiple of this, so that small changes are not published."""

_MAX_WAIT_MS = 60_000
_REMAINING_RUN_SHARE = 0.5
"""On average, half of the work of a running task remains."""


class Backlog:
    """Remaining work in one pool by client account, in milliseconds of one core.

    Parameters
    ----------
    room_millis : int
        Capacity of the pool for tasks that are not long-running, in thousandths of a core.
    planned_millis : int, optional
        That capacity once the instances that the pool is to get are in service; at least
        ``room_millis``, which is also the default.
    lead_ms : float, optional
        Milliseconds until these instances are in service.
    """

    __slots__ = ("_has_waiting", "_lead_ms", "_planned_millis", "_room_millis", "_work_ms")

    def __init__(self, room_millis: int, planned_millis: int = 0, lead_ms: float = 0.0) -> None:
        self._room_millis = room_millis
        self._planned_millis = max(room_millis, planned_millis)
        self._lead_ms = lead_ms
        self._work_ms: dict[str, float] = {}
        self._has_waiting = False

    @property
    def has_waiting(self) -> bool:
        """Whether a ready task finds no worker with room."""
        return self._has_waiting

    @property
    def work_ms(self) -> Mapping[str, float]:
        """Remaining work by client account, in milliseconds of one core."""
        return self._work_ms

    def add(self, job: ActiveJob) -> None:
        """Add the predicted remaining work of a job that can still end in time."""
        work_ms = sum(_work_left_ms(task) for task in job.tasks())
        work_ms += sum(_step_work_ms(job, number) for number in job.unopened_steps())
        account = job.submission.account
        self._work_ms[account] = self._work_ms.get(account, 0.0) + work_ms

    def note_waiting(self) -> None:
        """Record that a ready task finds no worker with room."""
        self._has_waiting = True

    def waits_ms(self, accounts: Mapping[str, AccountPolicy]) -> dict[str, int]:
        """Return how long new work of each account would wait, in milliseconds.

        Explanation
        -----------
        Accounts share the pool by weight, so the wait of an account is its own
        work divided by its share, or by its ceiling if that is lower.  Accounts
        that would not wait are left out; the result is empty while no ready task
        lacks room.
        """
        if not self._has_waiting:
            return {}
        weights = {
            account: accounts[account].weight if account in accounts else 1.0
            for account, work_ms in self._work_ms.items()
            if work_ms > 0
        }
        total = sum(weights.values())
        waits = {}
        for account, weight in weights.items():
            share_millis = max(1.0, self._room_millis * weight / total)
            work_ms = self._work_ms[account] * _MILLIS_PER_CORE
            wait_ms = min(work_ms / share_millis, self.total_ms)
            ceiling_millis = _ceiling_millis(account, accounts)
            if ceiling_millis:
                wait_ms = max(wait_ms, work_ms / ceiling_millis)
            waits[account] = _rounded(min(wait_ms, _MAX_WAIT_MS))
        return {account: wait_ms for account, wait_ms in waits.items() if wait_ms}

    @property
    def total_ms(self) -> float:
        """Milliseconds for which all work keeps the pool busy: a bound on each account's wait."""
        return sum(self._work_ms.values()) * _MILLIS_PER_CORE / max(1, self._room_millis)

    @property
    def planned_total_ms(self) -> float:
        """Milliseconds for which all work keeps the pool busy if it grows as planned.

        Examples
        --------
        >>> backlog = Backlog(1_000, planned_millis=4_000, lead_ms=2_000)
        >>> backlog._work_ms["a"] = 10_000
        >>> backlog.total_ms, backlog.planned_total_ms
        (10000.0, 4000.0)
        """
        if self.total_ms <= self._lead_ms:
            return self.total_ms
        part = max(1, self._room_millis) / max(1, self._planned_millis)
        return self._lead_ms + (self.total_ms - self._lead_ms) * part


def waits_beyond_ms(
    backlogs: Mapping[str, Backlog],
    entitled_millis: Mapping[str, int],
) -> dict[str, int]:
    """Return the waits of accounts whose demand is beyond their entitlement, in milliseconds.

    Explanation
    -----------
    The wait is the time in which the account's work in all pools drains at the rate of its
    entitlement.  It is no longer than all work in the pool takes with the instances that the
    pool is to get, since others may leave room.

    Parameters
    ----------
    backlogs : mapping of str to Backlog
        Remaining work by pool.
    entitled_millis : mapping of str to int
        Entitlement in thousandths of a core, of each such account.
    """
    found = {}
    short = {pool: backlog for pool, backlog in backlogs.items() if backlog.has_waiting}
    for account, millis in entitled_millis.items():
        work_ms = sum(backlog.work_ms.get(account, 0.0) for backlog in backlogs.values())
        drain_ms = min(work_ms * _MILLIS_PER_CORE / max(1, millis), _MAX_WAIT_MS)
        for pool, backlog in short.items():
            wait_ms = min(drain_ms, backlog.planned_total_ms)
            found[wait_key(pool, account)] = _rounded(wait_ms)
    return found


def is_in_time(wait_ms: float, chain_ms: float, objective_ms: float) -> bool:
    """Return whether a job that waits ``wait_ms`` can still end within its objective.

    Examples
    --------
    >>> is_in_time(wait_ms=500, chain_ms=1_000, objective_ms=2_200)
    True
    >>> is_in_time(wait_ms=1_500, chain_ms=1_000, objective_ms=2_200)
    False
    """
    return wait_ms + chain_ms <= objective_ms


def excess_wait_ms(
    waits_ms: Mapping[str, float], submission: Submission, policy: QueuePolicy
) -> float:
    """Return the milliseconds by which a job that arrives now would miss its last useful end.

    Explanation
    -----------
    The last useful end is ``LATE_FACTOR`` times the objective.  A job that would end
    between the objective and that time is accepted, since a late end is still of use to
    its caller.  Scheduled and long-running jobs never exceed it: the result is 0.

    Parameters
    ----------
    waits_ms : mapping of str to float
        How long new work would wait, in milliseconds, by :func:`wait_key`.
    submission : Submission
        The job.
    policy : QueuePolicy
        Policy of the job's queue.
    """
    if submission.is_scheduled or submission.is_long_running:
        return 0.0
    wait_ms = waits_ms.get(wait_key(policy.pool, submission.account), 0)
    chain_ms = max(chain_lengths_ms(submission.steps), default=0)
    last_ms = LATE_FACTOR * (policy.stretch * chain_ms + policy.objective_ms)
    if not wait_ms or is_in_time(wait_ms, chain_ms, last_ms):
        return 0.0
    return wait_ms + chain_ms - last_ms


def _work_left_ms(task: Task) -> float:
    step = task.step
    if task.status is TaskStatus.DONE or step.is_long_running or step.is_filler:
        return 0.0
    work_ms = step.cpu_millis * task.job.mean_ms(task.key.step) / _MILLIS_PER_CORE
    return work_ms * _REMAINING_RUN_SHARE if task.is_assigned else work_ms


def _step_work_ms(job: ActiveJob, number: int) -> float:
    """Return the work of a step of which no task exists yet, in milliseconds of one core."""
    step = job.submission.steps[number]
    if step.is_long_running or step.is_filler:
        return 0.0
    return step.count * step.cpu_millis * job.mean_ms(number) / _MILLIS_PER_CORE


def _ceiling_millis(account: str, accounts: Mapping[str, AccountPolicy]) -> int:
    policy = accounts.get(account)
    return policy.ceiling.cpu_millis if policy is not None else 0


def _rounded(wait_ms: float) -> int:
    return int(wait_ms // _WAIT_STEP_MS) * _WAIT_STEP_MS
