"""Moves of instances between pools, round by round."""

import time

from almondstack.capacity import (
    Candidate,
    Move,
    PoolState,
    large_excess_limit,
    plan_moves,
    wanted_instances,
)
from almondstack.control.instance_desk import InstanceDesk
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.planning import Planner
from almondstack.control.pool_needs import PoolNeeds
from almondstack.control.runs import RunTable
from almondstack.jobs import ActiveJob
from almondstack.placement import Policies, Worker
from almondstack.placement.unreachable import UnreachableDomains, find_unreachable

__all__ = ["BalanceRounds", "usual_size_millis"]

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
        "_gross_since_s",
        "_is_settled",
        "_needs",
        "_started_s",
        "_table",
        "_unregistered",
    )

    def __init__(
        self, table: RunTable, planner: Planner, desk: InstanceDesk, move_s: float
    ) -> None:
        self._table = table
        self._desk = desk
        self._needs = PoolNeeds(table, planner, move_s)
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
        self._needs.note_job(job, now_s)

    def pools(
        self, instances: list[InstanceInfo], policies: Policies, taken: set[str], now_s: float
    ) -> list[PoolState]:
        """Return the state of each pool that is paid for."""
        needs = self._needs.needs(policies, now_s)
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
            state.large_excess_since_s = self._note_excess(
                self._gross_since_s, state, large_excess_limit(wanted), now_s
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
        unreachable = self._unreachable(instances)
        for info in instances:
            if info.pool != pool or info.state is InstanceState.DOWN or info.name in taken:
                continue
            if unreachable.covers(info.zone, info.rack):
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

    def _unreachable(self, instances: list[InstanceInfo]) -> UnreachableDomains:
        """Return where workers can't be reached, with zones of which none is registered."""
        unreachable = find_unreachable(self._table.workers.values())
        registered = {worker.info.zone for worker in self._table.workers.values()}
        unheard = [
            info.zone
            for info in instances
            if info.worker and info.state is InstanceState.UP and info.zone not in registered
        ]
        zones = {zone for zone in unheard if unheard.count(zone) >= _LEAST_UNHEARD}
        return unreachable._replace(zones=unreachable.zones | zones)

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
