"""How long new work of an account would wait in a pool."""

from collections.abc import Mapping

from almondstack.jobs import ActiveJob, Submission, Task, TaskStatus, chain_lengths_ms
from almondstack.placement.order import LATE_FACTOR
from almondstack.placement.policies import AccountPolicy, QueuePolicy

__all__ = ["Backlog", "EstimateCorrection", "excess_wait_ms", "is_in_time", "wait_key"]

_STEP_MS = 100
"""Waits are told in steps of this many milliseconds, so that few changes are told."""

_MOST_WAIT_MS = 60_000
_RUNNING_SHARE = 0.5
"""On average half of a run is still to come."""


class EstimateCorrection:
    """Learns how callers' estimates of a queue relate to what runs take.

    Examples
    --------
    >>> correction = EstimateCorrection()
    >>> for _ in range(50):
    ...     correction.note("q", estimate_ms=1_000, took_ms=2_000)
    >>> round(correction.factor("q"), 1)
    1.9
    """

    __slots__ = ("_sums",)

    _PRIOR_MS = 5_000.0
    _DECAY = 0.995

    def __init__(self) -> None:
        self._sums: dict[str, tuple[float, float]] = {}

    def note(self, queue: str, estimate_ms: float, took_ms: float) -> None:
        """Take a run that ended well into account."""
        if estimate_ms <= 0:
            return
        estimated, taken = self._sums.get(queue, (self._PRIOR_MS, self._PRIOR_MS))
        self._sums[queue] = (
            estimated * self._DECAY + estimate_ms,
            taken * self._DECAY + took_ms,
        )

    def factor(self, queue: str) -> float:
        """Return by what an estimate of the queue is to be multiplied."""
        estimated, taken = self._sums.get(queue, (1.0, 1.0))
        return taken / estimated


class Backlog:
    """Work that waits in one pool, by account, in milliseconds of one core.

    Parameters
    ----------
    room_millis : int
        What the pool can give to work that ends, in thousandths of a core.
    """

    __slots__ = ("_has_waiting", "_room_millis", "_work_ms")

    def __init__(self, room_millis: int) -> None:
        self._room_millis = room_millis
        self._work_ms: dict[str, float] = {}
        self._has_waiting = False

    def add(self, job: ActiveJob, factor: float) -> None:
        """Count what is left of a job that can still end in time."""
        work_ms = sum(_work_left_ms(task) for task in job.tasks())
        account = job.submission.account
        self._work_ms[account] = self._work_ms.get(account, 0.0) + work_ms * factor

    def note_waiting(self) -> None:
        """Note that some task whose turn has come finds no room."""
        self._has_waiting = True

    def waits_ms(self, accounts: Mapping[str, AccountPolicy]) -> dict[str, int]:
        """Return how long new work of each account would wait, in milliseconds.

        Explanation
        -----------
        Accounts share the pool by weight, so each waits for its own work at its
        own share, or longer if its ceiling allows less than that; an account
        without work here waits for nothing.
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
            work_ms = self._work_ms[account] * 1000.0
            wait_ms = min(work_ms / share_millis, self._total_ms())
            ceiling_millis = _ceiling_millis(account, accounts)
            if ceiling_millis:
                wait_ms = max(wait_ms, work_ms / ceiling_millis)
            waits[account] = _rounded(min(wait_ms, _MOST_WAIT_MS))
        return {account: wait_ms for account, wait_ms in waits.items() if wait_ms}

    def _total_ms(self) -> float:
        """Return how long all of the work keeps the pool busy; no account waits longer."""
        return sum(self._work_ms.values()) * 1000.0 / max(1, self._room_millis)


def is_in_time(wait_ms: float, chain_ms: float, objective_ms: float) -> bool:
    """Whether a job that waits that long can still end within its objective.

    Examples
    --------
    >>> is_in_time(wait_ms=500, chain_ms=1_000, objective_ms=2_200)
    True
    >>> is_in_time(wait_ms=1_500, chain_ms=1_000, objective_ms=2_200)
    False
    """
    return wait_ms + chain_ms <= objective_ms


def wait_key(pool: str, account: str) -> str:
    """Return under which name the wait of an account in a pool is told."""
    return f"{pool}/{account}"


def excess_wait_ms(
    waits_ms: Mapping[str, int], submission: Submission, policy: QueuePolicy
) -> float:
    """Return by how much a job that came now would end too late to be worth anything.

    Explanation
    -----------
    A job that would end late is taken all the same: for its caller, a late end is
    better than none.

    Parameters
    ----------
    waits_ms : mapping of str to int
        How long new work would wait, by :func:`wait_key`.
    submission : Submission
        The job.
    policy : QueuePolicy
        Of its queue.
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
    work_ms = step.cpu_millis * step.estimate_ms / 1000.0
    return work_ms * _RUNNING_SHARE if task.is_assigned else work_ms


def _ceiling_millis(account: str, accounts: Mapping[str, AccountPolicy]) -> int:
    policy = accounts.get(account)
    return policy.ceiling.cpu_millis if policy is not None else 0


def _rounded(wait_ms: float) -> int:
    return int(wait_ms // _STEP_MS) * _STEP_MS
