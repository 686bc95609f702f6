"""Moves of instances between pools, round by round."""

import sys
import time

from almondstack.capacity import (
    ArrivalForecast,
    Candidate,
    Move,
    PoolNeed,
    PoolState,
    gross_instances,
    plan_moves,
    wanted_instances,
)
from almondstack.control.instance_desk import InstanceDesk
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.jobs import ActiveJob, TaskStatus
from almondstack.placement import Policies, Worker
from almondstack.placement.order import is_late, objective_s
from almondstack.placement.zones import Doubt, find_doubt

__all__ = ["BalanceRounds", "usual_size_millis"]

_MOVE_OVERHEAD_S = 0.5
"""From the decision on a move to its order, and from its end to the first run, in seconds."""

_REGISTRATION_S = 3.0
"""A worker that has not registered so long after its instance came up is not counted on."""


_LEAST_UNHEARD = 2
"""One instance without a registered worker says nothing of its zone."""

_SETTLING_S = 60.0
"""A fleet that nobody has sent work to for so long gives instances away, in seconds."""


class BalanceRounds:
    """Follows the demand of each pool and plans moves.

    Explanation
    -----------
    Pools of a fleet that has just been started keep what they have until the
    first work comes: nothing is known yet of who will ask, and a pool that was
    emptied needs a move before it serves.

    Parameters
    ----------
    table : RunTable
        Jobs and what runs where.
    planner : Planner
        Knows the pool of each job.
    desk : InstanceDesk
        Knows which instances may get an order.
    move_s : float
        How long a move takes, in seconds.
    """

    __slots__ = (
        "_desk",
        "_excess_since_s",
        "_forecasts",
        "_gross_since_s",
        "_is_settled",
        "_lead_s",
        "_planner",
        "_started_s",
        "_table",
        "_unregistered",
    )

    def __init__(
        self, table: RunTable, planner: Planner, desk: InstanceDesk, move_s: float
    ) -> None:
        self._table = table
        self._planner = planner
        self._desk = desk
        self._lead_s = move_s + _MOVE_OVERHEAD_S
        self._forecasts: dict[str, ArrivalForecast] = {}
        self._excess_since_s: dict[str, float] = {}
        self._gross_since_s: dict[str, float] = {}
        self._unregistered: dict[str, tuple[str, float]] = {}
        self._is_settled = False
        self._started_s = time.monotonic()

    def settle(self) -> None:
        """Say that demand was seen, by this owner or one before, so that excess is known."""
        self._is_settled = True

    def note_job(self, job: ActiveJob, now_s: float) -> None:
        """Count a job that has just come."""
        if not job.submission.is_long_running:
            self.settle()
        policy = self._planner.policy_of(job.submission)
        core_ms = sum(
            step.count * step.cpu_millis * step.estimate_ms / 1000.0
            for step in job.submission.steps
            if not step.is_long_running
        )
        slack_s = objective_s(job, policy) - job.chain_ms / 1000.0
        forecast = self._forecasts.setdefault(policy.name, ArrivalForecast(self._lead_s))
        forecast.add(now_s, core_ms, can_wait=slack_s >= self._lead_s)

    def pools(
        self, instances: list[InstanceInfo], policies: Policies, taken: set[str], now_s: float
    ) -> list[PoolState]:
        """Return the state of each pool that is paid for."""
        needs = self._needs(policies, now_s)
        size_millis = usual_size_millis(instances)
        states = []
        for pool, is_off in policies.pools.items():
            if is_off:
                continue
            candidates, coming = self._members(instances, pool, taken, now_s)
            states.append(PoolState(pool, needs[pool], candidates, coming))
        for state in states:
            wanted = wanted_instances(state, size_millis)
            state.excess_since_s = self._note_excess(self._excess_since_s, state, wanted, now_s)
            state.gross_since_s = self._note_excess(
                self._gross_since_s, state, gross_instances(wanted), now_s
            )
        return states

    def spares(
        self, instances: list[InstanceInfo], spare_pool: str, taken: set[str], now_s: float
    ) -> tuple[list[Candidate], int]:
        """Return the instances of the spare pool that may go anywhere, and how many go there."""
        return self._members(instances, spare_pool, taken, now_s, is_off=True)

    def plan(
        self,
        states: list[PoolState],
        spares: list[Candidate],
        spare_pool: str,
        most_to_spare: int,
        size_millis: int,
        now_s: float,
    ) -> list[Move]:
        """Return the moves to make, with at most so many to the spare pool."""
        moves = plan_moves(states, spares, spare_pool, size_millis, now_s, most_to_spare)
        return [move for move in moves if self._desk.may_go(move.instance, move.target)]

    def _needs(self, policies: Policies, now_s: float) -> dict[str, PoolNeed]:
        needs = {pool: PoolNeed() for pool in policies.pools}
        for queue, forecast in self._forecasts.items():
            policy = policies.queues.get(queue)
            if policy is not None and policy.pool in needs:
                needs[policy.pool].arriving_millis += forecast.millis(now_s)
        for (pool, account), need in self._needs_by_account().items():
            if pool in needs:
                room_millis = self._room_millis(account, policies)
                needs[pool].lasting_millis += need.lasting_millis
                needs[pool].running_millis += need.running_millis
                needs[pool].waiting_millis += min(need.waiting_millis, room_millis)
                needs[pool].late_millis += need.late_millis
        return needs

    def _needs_by_account(self) -> dict[tuple[str, str], PoolNeed]:
        now_unix_ms = time.time() * 1000.0
        needs: dict[tuple[str, str], PoolNeed] = {}
        for job in self._table.jobs.values():
            if job.is_open:
                policy = self._planner.policy_of(job.submission)
                need = needs.setdefault((policy.pool, job.submission.account), PoolNeed())
                _add_need(job, need, now_unix_ms, is_late=is_late(job, policy, now_unix_ms))
        return needs

    def _room_millis(self, account: str, policies: Policies) -> int:
        """Return how much more an account may have running; more instances would be idle."""
        policy = policies.accounts.get(account)
        if policy is None or not policy.ceiling.cpu_millis:
            return sys.maxsize
        return max(0, policy.ceiling.cpu_millis - self._table.usage.used(account).cpu_millis)

    def _members(
        self,
        instances: list[InstanceInfo],
        pool: str,
        taken: set[str],
        now_s: float,
        *,
        is_off: bool = False,
    ) -> tuple[list[Candidate], int]:
        """Return a pool's instances that work, and how many are on their way to it.

        Explanation
        -----------
        Those in a zone or rack that can't be reached count as neither: nobody could use them.
        """
        candidates = []
        coming = 0
        doubt = self._doubt(instances)
        for info in instances:
            if info.pool != pool or info.state is InstanceState.DOWN or info.name in taken:
                continue
            if doubt.covers(info.zone, info.rack):
                continue
            if info.state is InstanceState.UP and self._desk.is_free(info.name, now_s):
                worker = self._table.workers.get(info.worker)
                if is_off or (worker is not None and _is_usable(worker, now_s)):
                    candidates.append(_candidate(info, worker))
                elif worker is None and self._is_expected(info, now_s):
                    coming += 1
            elif info.state is not InstanceState.MAINTENANCE:
                coming += 1
        return candidates, coming

    def _doubt(self, instances: list[InstanceInfo]) -> Doubt:
        """Return where workers can't be reached, with zones of which none is registered."""
        doubt = find_doubt(self._table.workers.values())
        registered = {worker.info.zone for worker in self._table.workers.values()}
        unheard = [
            info.zone
            for info in instances
            if info.worker and info.state is InstanceState.UP and info.zone not in registered
        ]
        zones = {zone for zone in unheard if unheard.count(zone) >= _LEAST_UNHEARD}
        return doubt._replace(zones=doubt.zones | zones)

    def _is_expected(self, info: InstanceInfo, now_s: float) -> bool:
        """Whether an instance that is up without a worker may still get one."""
        name, since_s = self._unregistered.get(info.name, ("", now_s))
        if name != info.worker:
            since_s = now_s
        self._unregistered[info.name] = (info.worker, since_s)
        return now_s - since_s < _REGISTRATION_S

    def _note_excess(
        self, since_s: dict[str, float], state: PoolState, most: int, now_s: float
    ) -> float | None:
        """Note in ``since_s`` whether a pool has more than ``most``; return since when."""
        is_settled = self._is_settled or now_s - self._started_s >= _SETTLING_S
        if not is_settled or state.size <= most:
            since_s.pop(state.name, None)
            return None
        return since_s.setdefault(state.name, now_s)


def _add_need(job: ActiveJob, need: PoolNeed, now_unix_ms: float, *, is_late: bool) -> None:
    running_millis = 0
    for task in job.tasks():
        if task.step.is_filler or task.status is TaskStatus.DONE:
            continue
        if task.step.is_long_running:
            need.lasting_millis += task.step.cpu_millis
        elif task.is_assigned:
            running_millis += task.step.cpu_millis
    waiting_millis = _waiting_millis(job, now_unix_ms)
    if is_late:
        need.late_millis += running_millis + waiting_millis
        return
    need.running_millis += running_millis
    need.waiting_millis += waiting_millis


def _waiting_millis(job: ActiveJob, now_unix_ms: float) -> int:
    """Return what the tasks ask for whose turn has come; later occurrences don't count yet."""
    waiting_millis = 0
    for tasks in job.ready_steps(now_unix_ms):
        step = tasks[0].step
        if not step.is_long_running and not step.is_filler:
            waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
            waiting_millis += waiting * step.cpu_millis
    return waiting_millis


def usual_size_millis(instances: list[InstanceInfo]) -> int:
    """Return the capacity of the middle instance, in thousandths of a core."""
    sizes = sorted(info.cpu_millis for info in instances)
    return max(1, sizes[len(sizes) // 2]) if sizes else 1


def _is_usable(worker: Worker, now_s: float) -> bool:
    is_sound = worker.is_reachable and worker.set_aside_until_s <= now_s
    return is_sound and not worker.info.is_draining


def _candidate(info: InstanceInfo, worker: Worker | None) -> Candidate:
    tasks = worker.tasks if worker is not None else []
    return Candidate(
        info.name,
        info.cpu_millis,
        sum(task.step.cpu_millis for task in tasks),
        sum(task.step.is_long_running for task in tasks),
    )
