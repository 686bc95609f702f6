"""Sums up the demand of each client account over all pools."""

from collections.abc import Collection

from almondstack.jobs import ActiveJob, Step, Task, TaskStatus
from almondstack.placement import QueuePolicy, Resources
from almondstack.placement.entitlements import AccountDemand
from almondstack.placement.order import pressing_share, slack_s

__all__ = ["AccountDemands", "PoolAmount"]

_MS_PER_S = 1000.0

_MIN_ACCOUNTS = 2
"""Number of accounts with open jobs from which on accounts may compete."""


class PoolAmount:
    """A demand in one pool.

    Attributes
    ----------
    millis : float
        Thousandths of a core.
    filled_instances : float
        Instances that its tasks fill by their memory.
    """

    __slots__ = ("filled_instances", "millis")

    def __init__(self) -> None:
        self.millis = 0.0
        self.filled_instances = 0.0


_NOTHING = PoolAmount()


class AccountDemands:
    """Demand of each client account over all pools.

    Parameters
    ----------
    accounts : collection of str
        The accounts with open jobs.
    capacity : Resources
        Capacity of a typical instance; zeros if none is known.
    """

    __slots__ = ("_by_account", "_capacity", "_is_competing", "_can_wait")

    def __init__(self, accounts: Collection[str], capacity: Resources) -> None:
        self._is_competing = len(accounts) >= _MIN_ACCOUNTS
        self._capacity = capacity
        self._by_account: dict[str, AccountDemand] = {}
        self._can_wait: dict[tuple[str, str], PoolAmount] = {}

    @property
    def is_competing(self) -> bool:
        """Whether at least two accounts have open jobs."""
        return self._is_competing

    def all(self) -> list[AccountDemand]:
        """Return the demand of each account."""
        return list(self._by_account.values())

    def can_wait(self, pool: str, account: str) -> PoolAmount:
        """Return what of an account's waiting demand in a pool need not run now to end in time.

        The caller must not change it.
        """
        return self._can_wait.get((pool, account), _NOTHING)

    def add(
        self, job: ActiveJob, policy: QueuePolicy, now_unix_ms: float, *, is_late: bool
    ) -> None:
        """Add the demand of a job; of a job that can't end in time, only long-running tasks.

        Explanation
        -----------
        Fillers are left out, since they use what others leave.
        """
        demand = self._of(job.submission.account)
        for step, held, running in _held_tasks(job):
            if step.is_long_running:
                self._add(demand.lasting, step, held)
                self._add(demand.lasting_running, step, running)
            elif not is_late:
                self._add(demand.running, step, running)
        if not is_late:
            self._add_waiting(job, policy, demand.waiting, now_unix_ms)

    def add_arriving(self, account: str, millis: float) -> None:
        """Add the demand of an account's jobs that are yet to come, in thousandths of a core."""
        self._of(account).waiting.cpu_millis += round(millis)

    def _add_waiting(
        self, job: ActiveJob, policy: QueuePolicy, waiting: Resources, now_unix_ms: float
    ) -> None:
        key = policy.pool, job.submission.account
        for tasks in job.ready_steps(now_unix_ms):
            step = tasks[0].step
            if not step.is_long_running and not step.is_filler:
                count = sum(task.status is TaskStatus.WAITING for task in tasks)
                self._add(waiting, step, count)
                slack = slack_s(tasks, policy, now_unix_ms)
                can_wait = self._can_wait.setdefault(key, PoolAmount())
                self._add_can_wait(can_wait, tasks[0], count, slack)

    def _add_can_wait(self, can_wait: PoolAmount, task: Task, count: int, slack: float) -> None:
        """Add what can wait of ``count`` tasks of a step that has ``slack`` seconds of slack."""
        remaining_s = task.job.remaining_chain_ms(task.key.step) / _MS_PER_S
        pressing = count * pressing_share(remaining_s, slack)
        self._add_amount(can_wait, task.step, count - pressing)

    def _add_amount(self, amount: PoolAmount, step: Step, tasks: float) -> None:
        amount.millis += tasks * step.cpu_millis
        if self._capacity.memory_mb > 0:
            amount.filled_instances += tasks * self._filled_mb(step) / self._capacity.memory_mb

    def _add(self, sums: Resources, step: Step, count: int) -> None:
        sums.cpu_millis += count * step.cpu_millis
        sums.memory_mb += count * self._filled_mb(step)
        sums.gpus += count * step.gpus

    def _filled_mb(self, step: Step) -> int:
        """Return the memory that a task takes up, with its part of what fits no other such task.

        Explanation
        -----------
        Of tasks that take 40 of 64 GB, one fits on an instance, so that each takes up 64 GB.
        One that fits on no instance takes up none.
        """
        if step.memory_mb <= 0 or self._capacity.memory_mb <= 0:
            return max(0, step.memory_mb)
        fitting = self._capacity.memory_mb // step.memory_mb
        return self._capacity.memory_mb // fitting if fitting else 0

    def _of(self, account: str) -> AccountDemand:
        found = self._by_account.get(account)
        if found is None:
            found = self._by_account[account] = AccountDemand(account)
        return found


def _held_tasks(job: ActiveJob) -> list[tuple[Step, int, int]]:
    """Return each step but fillers, with two numbers of its tasks: those held, and those that run.

    Explanation
    -----------
    Held are the tasks that run, and of long-running steps also those that wait.
    """
    steps = job.submission.steps
    held = [0] * len(steps)
    running = [0] * len(steps)
    for task in job.tasks():
        is_running = task.status is TaskStatus.ASSIGNED
        is_lasting = task.step.is_long_running and task.status is not TaskStatus.DONE
        held[task.key.step] += is_running or is_lasting
        running[task.key.step] += is_running
    return [
        (step, held[number], running[number])
        for number, step in enumerate(steps)
        if held[number] and not step.is_filler
    ]
