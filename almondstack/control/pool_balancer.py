"""Tracks the demand of pools, and plans moves of instances between them."""

import time
from collections import Counter
from collections.abc import Sequence

from almondstack.capacity import (
    Candidate,
    Move,
    PoolState,
    TargetHold,
    held_need,
    large_excess_limit,
    plan_moves,
    target_sizes,
    wanted_instances,
)
from almondstack.control.fleet_shares import FleetCapacity
from almondstack.control.instance_manager import InstanceManager
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.pool_needs import PoolNeeds
from almondstack.control.runs import RunTable
from almondstack.jobs import ActiveJob, Task
from almondstack.placement import Policies, Resources, Worker
from almondstack.placement.entitlements import Entitlements
from almondstack.placement.unreachable import UnreachableDomains, find_unreachable

__all__ = ["PoolBalancer", "median_size_millis"]

_REGISTRATION_TIMEOUT_S = 3.0
"""A worker that has not registered this long after its instance came up is not expected,
in seconds."""

_MIN_UNREGISTERED = 2
"""Instances without registered workers from which on a zone with no registered worker counts as
unreachable: a single one shows nothing about its zone."""

_UNUSABLE_STATES = frozenset({InstanceState.DOWN, InstanceState.MAINTENANCE})

_MS_PER_S = 1000.0

_RELEASE_AFTER_S = 60.0
"""Time after which a newly started fleet without demand releases instances, in seconds."""


class PoolBalancer:
    """Tracks the demand of each pool and plans moves.

    Explanation
    -----------
    Pools of a newly started fleet keep their instances until the first work arrives:
    the demand is not known yet, and a pool without instances has to wait for a move
    before it can run anything.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the policy of each job.
    manager : InstanceManager
        Provides the instances that may get an order.
    move_s : float
        How long a move takes, in seconds.
    """

    __slots__ = (
        "_excess_since_s",
        "_large_excess_since_s",
        "_has_seen_demand",
        "_hold",
        "_manager",
        "_move_s",
        "_needs",
        "_started_s",
        "_table",
        "_targets",
        "_unregistered",
    )

    def __init__(
        self, table: RunTable, planner: Planner, manager: InstanceManager, move_s: float
    ) -> None:
        self._table = table
        self._manager = manager
        self._move_s = move_s
        self._needs = PoolNeeds(table, planner, move_s)
        self._excess_since_s: dict[str, float] = {}
        self._large_excess_since_s: dict[str, float] = {}
        self._unregistered: dict[str, tuple[str, float]] = {}
        self._has_seen_demand = False
        self._hold = TargetHold()
        self._targets: dict[str, int] = {}
        self._started_s = time.monotonic()

    @property
    def entitlements(self) -> Entitlements:
        """What each client account may use of the fleet, as of the last :meth:`pools`."""
        return self._needs.entitlements

    @property
    def targets(self) -> dict[str, int]:
        """Target size of each pool in instances, as of the last :meth:`plan`."""
        return self._targets

    def mark_demand_seen(self) -> None:
        """Record that this or an earlier owner has seen demand, so that excess may be released."""
        self._has_seen_demand = True

    def note_job(self, job: ActiveJob, now_s: float) -> None:
        """Count a new job in the demand of its pool."""
        if not job.submission.is_long_running:
            self.mark_demand_seen()
        self._needs.note_job(job, now_s)

    def pools(
        self, instances: list[InstanceInfo], policies: Policies, excluded: set[str], now_s: float
    ) -> list[PoolState]:
        """Return the state of each pool that is paid for."""
        unreachable = self._unreachable(instances)
        capacity = self._capacity(instances, policies, excluded, unreachable, now_s)
        needs = self._needs.needs(policies, now_s, capacity)
        size_millis = median_size_millis(instances)
        states = []
        for pool, is_off in policies.pools.items():
            if is_off:
                continue
            candidates, coming = self._members(instances, pool, excluded, unreachable, now_s)
            states.append(PoolState(pool, needs[pool], candidates, coming))
        for state in states:
            wanted = wanted_instances(state, size_millis)
            state.excess_since_s = self._track_excess(self._excess_since_s, state, wanted, now_s)
            state.large_excess_since_s = self._track_excess(
                self._large_excess_since_s, state, large_excess_limit(wanted), now_s
            )
        self._hold_needs(states, size_millis, now_s)
        return states

    def _hold_needs(self, states: list[PoolState], size_millis: int, now_s: float) -> None:
        if not self.entitlements.is_short:
            self._hold.clear()
            return
        for state in states:
            need = held_need(state.need, size_millis)
            state.held = self._hold.note(state.name, need, now_s)

    def spares(
        self, instances: list[InstanceInfo], spare_pool: str, excluded: set[str], now_s: float
    ) -> tuple[list[Candidate], int]:
        """Return the movable instances of the spare pool, and how many others will be soon."""
        unreachable = self._unreachable(instances)
        return self._members(instances, spare_pool, excluded, unreachable, now_s, is_off=True)

    def plan(
        self,
        states: list[PoolState],
        spares: list[Candidate],
        spare_pool: str,
        max_to_spare: int,
        size_millis: int,
        now_s: float,
    ) -> list[Move]:
        """Return the moves to make, at most ``max_to_spare`` of them to the spare pool.

        Explanation
        -----------
        Moves that the instance service has refused before are left out.
        """
        self._targets = target_sizes(states, len(spares), size_millis)
        moves = plan_moves(
            states, spares, spare_pool, size_millis, now_s, max_to_spare, self._move_s
        )
        return [move for move in moves if self._manager.may_move(move.instance, move.target)]

    def _members(
        self,
        instances: list[InstanceInfo],
        pool: str,
        excluded: set[str],
        unreachable: UnreachableDomains,
        now_s: float,
        *,
        is_off: bool = False,
    ) -> tuple[list[Candidate], int]:
        """Return a pool's usable instances, and how many others will be usable soon.

        Explanation
        -----------
        The latter are being moved to the pool, or their worker has yet to register.  If
        the pool is off, an instance is usable without a worker.  Instances in ``excluded``
        count as neither, nor do those in an unreachable zone or rack, since nothing can
        run there.
        """
        candidates = []
        coming = 0
        held = self._table.held_tasks.by_worker(now_s)
        for info in instances:
            if info.pool != pool or info.state is InstanceState.DOWN or info.name in excluded:
                continue
            if unreachable.covers(info.zone, info.rack):
                continue
            if info.state is InstanceState.UP and self._manager.can_order(info.name, now_s):
                worker = self._table.workers.get(info.worker)
                if is_off or (worker is not None and _is_usable(worker, now_s)):
                    awaiting = held.get(info.worker, ())
                    candidates.append(self._candidate(info, worker, now_s, awaiting))
                elif worker is None and self._may_still_register(info, now_s):
                    coming += 1
            elif info.state is not InstanceState.MAINTENANCE:
                coming += 1
        return candidates, coming

    def _candidate(
        self,
        info: InstanceInfo,
        worker: Worker | None,
        now_s: float,
        awaiting: Sequence[Task] = (),
    ) -> Candidate:
        """Return what a move goes by; tasks that await the worker count as if they ran there."""
        tasks = [*worker.tasks, *awaiting] if worker is not None else []
        candidate = Candidate(
            info.name,
            info.cpu_millis,
            sum(task.step.cpu_millis for task in tasks),
            sum(task.step.is_long_running for task in tasks),
        )
        if worker is not None and self.entitlements.is_short:
            candidate.ends_in_s = max((_ends_in_s(task, now_s) for task in tasks), default=0.0)
            candidate.is_draining = worker.is_reserved
        return candidate

    def _capacity(
        self,
        instances: list[InstanceInfo],
        policies: Policies,
        excluded: set[str],
        unreachable: UnreachableDomains,
        now_s: float,
    ) -> FleetCapacity:
        """Return what the usable instances of all pools have, and those that will soon be."""
        usable = [
            info
            for info in instances
            if info.pool in policies.pools
            and info.state not in _UNUSABLE_STATES
            and info.name not in excluded
            and not unreachable.covers(info.zone, info.rack)
            and (policies.pools[info.pool] or self._is_serving(info, now_s))
        ]
        typical = self._needs.typical_capacity()
        whole = Resources()
        for info in usable:
            worker = self._table.workers.get(info.worker)
            memory = typical if worker is None else worker.info.capacity
            whole.add(Resources(info.cpu_millis, memory.memory_mb, memory.gpus))
        return FleetCapacity(len(usable), whole)

    def _is_serving(self, info: InstanceInfo, now_s: float) -> bool:
        """Whether an instance that is paid for accepts tasks, or will soon."""
        if info.state is not InstanceState.UP:
            return True
        worker = self._table.workers.get(info.worker)
        if worker is None:
            return self._may_still_register(info, now_s)
        return _is_usable(worker, now_s)

    def _unreachable(self, instances: list[InstanceInfo]) -> UnreachableDomains:
        """Return the unreachable domains, including zones without any registered worker."""
        unreachable = find_unreachable(self._table.workers.values())
        registered = {worker.info.zone for worker in self._table.workers.values()}
        unregistered = Counter(
            info.zone
            for info in instances
            if info.worker and info.state is InstanceState.UP and info.zone not in registered
        )
        zones = {zone for zone, count in unregistered.items() if count >= _MIN_UNREGISTERED}
        return unreachable._replace(zones=unreachable.zones | zones)

    def _may_still_register(self, info: InstanceInfo, now_s: float) -> bool:
        """Whether the worker of an instance that is up may still register."""
        name, since_s = self._unregistered.get(info.name, ("", now_s))
        if name != info.worker:
            since_s = now_s
        self._unregistered[info.name] = (info.worker, since_s)
        return now_s - since_s < _REGISTRATION_TIMEOUT_S

    def _track_excess(
        self, since_s: dict[str, float], state: PoolState, limit: int, now_s: float
    ) -> float | None:
        """Return since when a pool has had more than ``limit`` instances, kept in ``since_s``."""
        may_release = self._has_seen_demand or now_s - self._started_s >= _RELEASE_AFTER_S
        if not may_release or state.size <= limit:
            since_s.pop(state.name, None)
            return None
        return since_s.setdefault(state.name, now_s)


def median_size_millis(instances: list[InstanceInfo]) -> int:
    """Return the median capacity of the instances in thousandths of a core; 1 without any."""
    sizes = sorted(info.cpu_millis for info in instances)
    return max(1, sizes[len(sizes) // 2]) if sizes else 1


def _is_usable(worker: Worker, now_s: float) -> bool:
    is_healthy = worker.is_reachable and worker.set_aside_until_s <= now_s
    return is_healthy and not worker.info.is_draining


def _ends_in_s(task: Task, now_s: float) -> float:
    """Return when a run should end, in seconds; one that is overdue may take as long again."""
    if task.step.is_long_running:
        return 0.0
    elapsed_s = now_s - task.assigned_s
    left_s = task.job.median_ms(task.key.step) / _MS_PER_S - elapsed_s
    return left_s if left_s > 0 else elapsed_s
