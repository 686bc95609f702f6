"""Computes the demand of each pool from its open jobs and from forecast arrivals."""

import math
import sys
import time
from statistics import median_low

from almondstack.capacity import ArrivalForecast, PoolNeed
from almondstack.control.account_demands import AccountDemands
from almondstack.control.fleet_shares import FleetCapacity, FleetShares, may_be_short
from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.jobs import ActiveJob, Step, TaskStatus
from almondstack.placement import Policies, Resources
from almondstack.placement.entitlements import Entitlements
from almondstack.placement.order import is_late, objective_s

__all__ = ["PoolNeeds", "add_need"]

_MOVE_OVERHEAD_S = 0.5
"""Time from deciding on a move to its order, plus from its end to the first run, in seconds."""


class PoolNeeds:
    """Computes the demand of each pool.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the policy of each job.
    move_s : float
        How long a move takes, in seconds.
    """

    __slots__ = (
        "_computed_s",
        "_entitlements",
        "_forecasts",
        "_last_needs",
        "_lead_s",
        "_planner",
        "_shares",
        "_table",
    )

    def __init__(self, table: RunTable, planner: Planner, move_s: float) -> None:
        self._table = table
        self._planner = planner
        self._lead_s = move_s + _MOVE_OVERHEAD_S
        self._forecasts: dict[str, ArrivalForecast] = {}
        self._computed_s: float | None = None
        self._last_needs: dict[str, PoolNeed] = {}
        self._shares = FleetShares()
        self._entitlements = Entitlements()

    @property
    def entitlements(self) -> Entitlements:
        """What each client account may use of the fleet, as of the last :meth:`needs`."""
        return self._entitlements

    def note_job(self, job: ActiveJob, now_s: float) -> None:
        """Add a new job to the arrival forecast of its queue."""
        self._computed_s = None
        policy = self._planner.policy_of(job.submission)
        core_ms = sum(
            step.count * step.cpu_millis * job.mean_ms(number) / 1000.0
            for number, step in enumerate(job.submission.steps)
            if not step.is_long_running
        )
        self._shares.note_job(policy.name, job.submission.account, core_ms)
        slack_s = objective_s(job, policy) - job.chain_ms / 1000.0
        forecast = self._forecasts.setdefault(policy.name, ArrivalForecast(self._lead_s))
        forecast.add(now_s, core_ms, can_wait=slack_s >= self._lead_s)

    def needs(
        self, policies: Policies, now_s: float, capacity: FleetCapacity | None = None
    ) -> dict[str, PoolNeed]:
        """Return the present demand of each pool; computed once for each ``now_s``.

        Parameters
        ----------
        policies : Policies
            The present policies.
        now_s : float
            Monotonic time in seconds.
        capacity : FleetCapacity, optional
            What is divided between the client accounts; without it, none is limited.
        """
        if self._computed_s != now_s or self._last_needs.keys() != policies.pools.keys():
            self._last_needs = self._compute(policies, now_s, capacity or FleetCapacity())
            self._computed_s = now_s
        return self._last_needs

    def _compute(
        self, policies: Policies, now_s: float, capacity: FleetCapacity
    ) -> dict[str, PoolNeed]:
        arriving = {queue: forecast.millis(now_s) for queue, forecast in self._forecasts.items()}
        typical = self.typical_capacity()
        late_jobs: set[str] = set()
        now_unix_ms = time.time() * 1000.0
        by_account = self._needs_by_account(typical, now_unix_ms, late_jobs)
        needs = self._sum_by_pool(by_account, arriving, policies)
        self._entitlements = Entitlements()
        demands = AccountDemands({account for _, account in by_account}, typical)
        if demands.is_competing and may_be_short(needs, policies, capacity):
            self._add_demands(demands, policies, now_unix_ms, late_jobs)
            self._entitlements = self._shares.divide(
                needs, by_account, demands, arriving, policies, capacity
            )
        return needs

    def _add_demands(
        self, demands: AccountDemands, policies: Policies, now_unix_ms: float, late_jobs: set[str]
    ) -> None:
        """Add the jobs of the pools that are paid for."""
        for job in self._table.jobs.values():
            policy = self._planner.policy_of(job.submission)
            if job.is_open and not policies.pools.get(policy.pool, True):
                demands.add(job, policy, now_unix_ms, is_late=job.id in late_jobs)

    def _sum_by_pool(
        self,
        by_account: dict[tuple[str, str], PoolNeed],
        arriving: dict[str, float],
        policies: Policies,
    ) -> dict[str, PoolNeed]:
        """Return the need of each pool within the ceilings of the accounts."""
        needs = {pool: PoolNeed() for pool in policies.pools}
        for queue, millis in arriving.items():
            policy = policies.queues.get(queue)
            if policy is not None and policy.pool in needs:
                needs[policy.pool].arriving_millis += millis
        for (pool, account), need in by_account.items():
            if pool in needs:
                needs[pool].memory_mb += need.memory_mb
                filled = self._filled_within_ceiling(need, account, policies)
                needs[pool].filled_instances += filled
                needs[pool].lasting_filled_instances += min(need.lasting_filled_instances, filled)
                room_millis = self._account_room_millis(account, policies)
                needs[pool].lasting_millis += _lasting_within_ceiling(need, account, policies)
                needs[pool].running_millis += need.running_millis
                needs[pool].waiting_millis += min(need.waiting_millis, room_millis)
                needs[pool].late_millis += min(need.late_millis, _ceiling_millis(account, policies))
                needs[pool].min_instances = max(needs[pool].min_instances, need.min_instances)
        return needs

    def _needs_by_account(
        self, capacity: Resources, now_unix_ms: float, late_jobs: set[str]
    ) -> dict[tuple[str, str], PoolNeed]:
        """Return the need of each account in each pool; add late jobs to ``late_jobs``."""
        needs: dict[tuple[str, str], PoolNeed] = {}
        for job in self._table.jobs.values():
            if job.is_open:
                policy = self._planner.policy_of(job.submission)
                need = needs.setdefault((policy.pool, job.submission.account), PoolNeed())
                late = is_late(job, policy, now_unix_ms)
                add_need(job, need, now_unix_ms, is_late=late, capacity=capacity)
                if late:
                    late_jobs.add(job.id)
        return needs

    def typical_capacity(self) -> Resources:
        """Return the median of each resource over the registered workers; zeros without any."""
        capacities = [worker.info.capacity for worker in self._table.workers.values()]
        if not capacities:
            return Resources()
        return Resources(
            median_low(capacity.cpu_millis for capacity in capacities),
            median_low(capacity.memory_mb for capacity in capacities),
            median_low(capacity.gpus for capacity in capacities),
        )

    def _filled_within_ceiling(self, need: PoolNeed, account: str, policies: Policies) -> float:
        """Return the instances that an account's tasks fill within its ceiling."""
        policy = policies.accounts.get(account)
        if policy is None or not policy.ceiling.memory_mb:
            return need.filled_instances
        # An operator may write a negative ceiling, below which nothing runs.
        ceiling_mb = max(0, policy.ceiling.memory_mb)
        if need.memory_mb <= ceiling_mb:
            return need.filled_instances
        return need.filled_instances * ceiling_mb / need.memory_mb

    def _account_room_millis(self, account: str, policies: Policies) -> int:
        """Return how many more thousandths of a core an account may use; more would be idle."""
        used_millis = self._table.usage.used(account).cpu_millis
        return max(0, _ceiling_millis(account, policies) - used_millis)


def _ceiling_millis(account: str, policies: Policies) -> int:
    """Return the ceiling of an account in thousandths of a core; a huge number without one."""
    policy = policies.accounts.get(account)
    if policy is None or not policy.ceiling.cpu_millis:
        return sys.maxsize
    return max(0, policy.ceiling.cpu_millis)


def _lasting_within_ceiling(need: PoolNeed, account: str, policies: Policies) -> int:
    """Return the demand of long-running tasks that run or that the ceiling leaves room for."""
    within_millis = min(need.lasting_millis, _ceiling_millis(account, policies))
    return max(need.lasting_running_millis, within_millis)


def add_need(
    job: ActiveJob,
    need: PoolNeed,
    now_unix_ms: float,
    *,
    is_late: bool,
    capacity: Resources | None = None,
) -> None:
    """Add the demand of a job to that of its pool; late work is counted separately.

    Explanation
    -----------
    With the ``capacity`` of an instance, the instances that the job's tasks fill by other
    resources than processor time are added as well.
    """
    if capacity is not None:
        _add_filled(job, need, now_unix_ms, capacity, is_late=is_late)
    running_millis = 0
    for task in job.tasks():
        if task.step.is_filler or task.status is TaskStatus.DONE:
            continue
        if task.step.is_long_running:
            need.lasting_millis += task.step.cpu_millis
            need.lasting_running_millis += task.step.cpu_millis if task.is_assigned else 0
            need.min_instances = max(need.min_instances, _min_instances(task.step))
        elif task.is_assigned:
            running_millis += task.step.cpu_millis
    waiting_millis = _waiting_millis(job, now_unix_ms)
    if is_late:
        need.late_millis += running_millis + waiting_millis
        return
    need.running_millis += running_millis
    need.waiting_millis += waiting_millis


def _add_filled(
    job: ActiveJob, need: PoolNeed, now_unix_ms: float, capacity: Resources, *, is_late: bool
) -> None:
    """Add the instances that the running tasks and, unless they are late, the waiting ones fill."""
    for task in job.tasks():
        if task.is_assigned:
            _fill(task.step, 1, need, capacity)
    if is_late:
        return
    for tasks in job.ready_steps(now_unix_ms):
        waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
        _fill(tasks[0].step, waiting, need, capacity)


def _fill(step: Step, count: int, need: PoolNeed, capacity: Resources) -> None:
    need.memory_mb += count * step.memory_mb
    filled = count * _filled_share(step, capacity)
    need.filled_instances += filled
    if step.is_long_running:
        need.lasting_filled_instances += filled


def _filled_share(step: Step, capacity: Resources) -> float:
    """Return the share of an instance that a task fills by its memory or its accelerators.

    Explanation
    -----------
    Of tasks that take 40 of 64 GB, one fits on an instance, so that each fills it whole.
    One that fits on no instance brings none.
    """
    asked = ((step.memory_mb, capacity.memory_mb), (step.gpus, capacity.gpus))
    fitting = min((whole // part for part, whole in asked if part > 0), default=0)
    return 1.0 / fitting if fitting else 0.0


def _min_instances(step: Step) -> int:
    """Return the instances that a step with ``most_per_worker`` needs, plus one as a reserve."""
    if not step.most_per_worker:
        return 0
    return math.ceil(step.count / step.most_per_worker) + 1


def _waiting_millis(job: ActiveJob, now_unix_ms: float) -> int:
    """Return the thousandths of a core for waiting tasks; occurrences not yet due don't count."""
    waiting_millis = 0
    for tasks in job.ready_steps(now_unix_ms):
        step = tasks[0].step
        if not step.is_long_running and not step.is_filler:
            waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
            waiting_millis += waiting * step.cpu_millis
    return waiting_millis
