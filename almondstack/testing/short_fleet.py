"""A fleet whose pools, moves and placement are computed round by round, without a network."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from almondstack.capacity import Move
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.pool_balancer import PoolBalancer
from almondstack.jobs import ActiveJob, Task, TaskStatus
from almondstack.placement import AccountPolicy, Policies, QueuePolicy
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    ended,
    look,
    make_job,
    make_step,
    make_table,
    make_worker,
    running,
)

__all__ = ["ROUND_S", "IdleInstanceManager", "SettableTime", "ShortFleet"]

ROUND_S = 0.1
"""Time between two rounds, in seconds."""

_MOVE_S = 1.5
"""How long the move of an empty instance takes, in seconds."""

_MAX_MOVING_DIVISOR = 4
"""At most one of this many instances moves at a time."""

_SPARE_POOL = "off"
_OBJECTIVE_MS = 2_000
_STRETCH = 1.5
_SIZE_MILLIS = 16_000


class SettableTime:
    """Stands in for the module ``time`` where the time of day is read."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def time(self) -> float:
        """Return the time of day in seconds."""
        return self.now_s


class IdleInstanceManager:
    """An instance manager that allows every order."""

    def can_order(self, instance: str, now_s: float) -> bool:
        """Allow an order to any instance."""
        return True

    def may_move(self, instance: str, pool: str) -> bool:
        """Allow every move."""
        return True


class ShortFleet:
    """Instances of 16 cores that run tasks for exactly their estimate.

    Parameters
    ----------
    pools : mapping of str to int
        Instances of each pool at the start.
    spares : int
        Instances of the spare pool at the start.
    clock : SettableTime
        The time of day and, for simplicity, the monotonic time.
    accounts : mapping of str to AccountPolicy, optional
        Weights and ceilings.

    Attributes
    ----------
    moves : int
        Orders for moves so far.
    in_time : Counter
        Jobs of each account that ended within their objective.
    """

    def __init__(
        self,
        pools: Mapping[str, int],
        spares: int,
        clock: SettableTime,
        accounts: Mapping[str, AccountPolicy] | None = None,
    ) -> None:
        self._clock = clock
        self.table = make_table()
        queues = {
            pool: QueuePolicy(pool, pool, stretch=_STRETCH, objective_ms=_OBJECTIVE_MS)
            for pool in pools
        }
        is_off = {**dict.fromkeys(pools, False), _SPARE_POOL: True}
        self.policies = Policies(1, queues, dict(accounts or {}), is_off)
        advisor: Any = AllowAllAdvisor()
        manager: Any = IdleInstanceManager()
        self.planner = Planner(self.table, advisor, lambda: self.policies)
        self.balancer = PoolBalancer(self.table, self.planner, manager, _MOVE_S)
        self.balancer.mark_demand_seen()
        self._instances: dict[str, InstanceInfo] = {}
        self._arrivals: dict[str, float] = {}
        self._ends: dict[Task, float] = {}
        self._end_numbers: Counter[str] = Counter()
        self._jobs = 0
        self.moves = 0
        self.in_time: Counter[str] = Counter()
        for pool, count in {**pools, _SPARE_POOL: spares}.items():
            for number in range(count):
                self._put(f"{pool}-{number}", pool)

    def size(self, pool: str) -> int:
        """Return the instances of a pool, those that are moving to it included."""
        return sum(info.pool == pool for info in self._instances.values())

    def submit(self, pool: str, account: str, run_ms: int, tasks: int = 1) -> None:
        """Submit a job of tasks of one core."""
        self._jobs += 1
        job = make_job(
            make_step(tasks, estimate_ms=run_ms),
            id=f"{self._jobs:016x}",
            queue=pool,
            account=account,
            accepted_ms=round(self._clock.now_s * 1000),
        )
        self.table.add_job(job)
        self.balancer.note_job(job, self._clock.now_s)

    def lose(self, instances: int) -> None:
        """Mark the first ``instances`` instances as down; the runs on them are lost."""
        for name in list(self._instances)[:instances]:
            info = self._instances[name]
            self._instances[name] = info._replace(state=InstanceState.DOWN, worker="")
            self.table.mark_worker_lost(info.worker, "test", self._clock.now_s)
            self.table.workers.pop(info.worker, None)

    def run_round(self) -> None:
        """Play one round: ends of runs and moves, decisions on instances, placement."""
        self._clock.now_s = round(self._clock.now_s + ROUND_S, 3)
        now_s = self._clock.now_s
        self._end_runs(now_s)
        self._end_moves(now_s)
        self._move_instances(now_s)
        for task in self.planner.plan(now_s, now_s * 1000.0):
            self._ends[task] = now_s + task.step.estimate_ms / 1000.0

    def _put(self, name: str, pool: str) -> None:
        worker = make_worker(f"w-{name}", cpu_millis=_SIZE_MILLIS, pool=pool, zone="a")
        worker.last_answer_s = self._clock.now_s
        self.table.workers.pop(worker.id, None)
        self.table.add_worker(worker, self._clock.now_s)
        self._instances[name] = InstanceInfo(
            name, pool, InstanceState.UP, "a", "r", _SIZE_MILLIS, worker.id
        )

    def _end_runs(self, now_s: float) -> None:
        over = [task for task, end_s in self._ends.items() if end_s <= now_s]
        for task in over:
            del self._ends[task]
            worker = self.table.workers.get(task.worker)
            if worker is None or task.status is not TaskStatus.ASSIGNED:
                continue
            self._end_numbers[worker.id] += 1
            end = ended(task, number=self._end_numbers[worker.id])
            others = tuple(running(other) for other in worker.tasks if other is not task)
            self.table.note_poll(worker, now_s, look(ended=(end,), running=others), now_s)
            self._end_job(task.job, now_s)

    def _end_job(self, job: ActiveJob, now_s: float) -> None:
        if not job.is_over():
            return
        self.table.remove_job(job)
        objective_ms = _STRETCH * job.chain_ms + _OBJECTIVE_MS
        if now_s * 1000.0 - job.submission.accepted_ms <= objective_ms:
            self.in_time[job.submission.account] += 1

    def _end_moves(self, now_s: float) -> None:
        for name, at_s in list(self._arrivals.items()):
            if at_s <= now_s:
                del self._arrivals[name]
                self._put(name, self._instances[name].pool)

    def _move_instances(self, now_s: float) -> None:
        listed = list(self._instances.values())
        states = self.balancer.pools(listed, self.policies, set(), now_s)
        self.planner.entitlements = self.balancer.entitlements
        spares, incoming = self.balancer.spares(listed, _SPARE_POOL, set(), now_s)
        bound = max(1, len(listed) // _MAX_MOVING_DIVISOR) - incoming
        moves = self.balancer.plan(states, spares, _SPARE_POOL, bound, _SIZE_MILLIS, now_s)
        draining = {self._instances[move.instance].worker for move in moves}
        for worker in self.table.workers.values():
            worker.is_reserved = worker.id in draining
        for move in moves:
            self._start_if_empty(move, now_s)

    def _start_if_empty(self, move: Move, now_s: float) -> None:
        info = self._instances[move.instance]
        if self.table.workers[info.worker].tasks:
            return
        self.moves += 1
        self.table.workers.pop(info.worker)
        self._arrivals[move.instance] = now_s + _MOVE_S
        self._instances[move.instance] = info._replace(
            pool=move.target, state=InstanceState.MOVING, worker=""
        )
