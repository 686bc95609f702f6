"""Computes the demand of each pool from its open jobs and from forecast arrivals."""

import math
import sys
import time

from almondstack.capacity import ArrivalForecast, PoolNeed
from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.jobs import ActiveJob, Step, TaskStatus
from almondstack.placement import Policies
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

    __slots__ = ("_computed_s", "_forecasts", "_last_needs", "_lead_s", "_planner", "_table")

    def __init__(self, table: RunTable, planner: Planner, move_s: float) -> None:
        self._table = table
        self._planner = planner
        self._lead_s = move_s + _MOVE_OVERHEAD_S
        self._forecasts: dict[str, ArrivalForecast] = {}
        self._computed_s: float | None = None
        self._last_needs: dict[str, PoolNeed] = {}

    def note_job(self, job: ActiveJob, now_s: float) -> None:
        """Add a new job to the arrival forecast of its queue."""
        self._computed_s = None
        policy = self._planner.policy_of(job.submission)
        core_ms = sum(
            step.count * step.cpu_millis * step.estimate_ms / 1000.0
            for step in job.submission.steps
            if not step.is_long_running
        )
        slack_s = objective_s(job, policy) - job.chain_ms / 1000.0
        forecast = self._forecasts.setdefault(policy.name, ArrivalForecast(self._lead_s))
        forecast.add(now_s, core_ms, can_wait=slack_s >= self._lead_s)

    def needs(self, policies: Policies, now_s: float) -> dict[str, PoolNeed]:
        """Return the present demand of each pool; computed once for each ``now_s``."""
        if self._computed_s != now_s or self._last_needs.keys() != policies.pools.keys():
            self._last_needs = self._compute(policies, now_s)
            self._computed_s = now_s
        return self._last_needs

    def _compute(self, policies: Policies, now_s: float) -> dict[str, PoolNeed]:
        needs = {pool: PoolNeed() for pool in policies.pools}
        for queue, forecast in self._forecasts.items():
            policy = policies.queues.get(queue)
            if policy is not None and policy.pool in needs:
                needs[policy.pool].arriving_millis += forecast.millis(now_s)
        for (pool, account), need in self._needs_by_account().items():
            if pool in needs:
                room_millis = self._account_room_millis(account, policies)
                needs[pool].lasting_millis += need.lasting_millis
                needs[pool].running_millis += need.running_millis
                needs[pool].waiting_millis += min(need.waiting_millis, room_millis)
                needs[pool].late_millis += need.late_millis
                needs[pool].min_instances = max(needs[pool].min_instances, need.min_instances)
        return needs

    def _needs_by_account(self) -> dict[tuple[str, str], PoolNeed]:
        now_unix_ms = time.time() * 1000.0
        needs: dict[tuple[str, str], PoolNeed] = {}
        for job in self._table.jobs.values():
            if job.is_open:
                policy = self._planner.policy_of(job.submission)
                need = needs.setdefault((policy.pool, job.submission.account), PoolNeed())
                add_need(job, need, now_unix_ms, is_late=is_late(job, policy, now_unix_ms))
        return needs

    def _account_room_millis(self, account: str, policies: Policies) -> int:
        """Return how many more thousandths of a core an account may use; more would be idle."""
        policy = policies.accounts.get(account)
        if policy is None or not policy.ceiling.cpu_millis:
            return sys.maxsize
        return max(0, policy.ceiling.cpu_millis - self._table.usage.used(account).cpu_millis)


def add_need(job: ActiveJob, need: PoolNeed, now_unix_ms: float, *, is_late: bool) -> None:
    """Add the demand of a job to that of its pool; late work is counted separately."""
    running_millis = 0
    for task in job.tasks():
        if task.step.is_filler or task.status is TaskStatus.DONE:
            continue
        if task.step.is_long_running:
            need.lasting_millis += task.step.cpu_millis
            need.min_instances = max(need.min_instances, _min_instances(task.step))
        elif task.is_assigned:
            running_millis += task.step.cpu_millis
    waiting_millis = _waiting_millis(job, now_unix_ms)
    if is_late:
        need.late_millis += running_millis + waiting_millis
        return
    need.running_millis += running_millis
    need.waiting_millis += waiting_millis


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
