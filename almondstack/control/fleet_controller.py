"""What the owner does with instances, round by round."""

import time
from collections.abc import Iterator

from almondstack.capacity import Candidate, Move, PoolState, wanted_instances
from almondstack.control.admission import AdmissionRounds
from almondstack.control.instance_manager import InstanceManager
from almondstack.control.long_running import may_interrupt
from almondstack.control.messages import InstanceInfo
from almondstack.control.paid_time_recorder import PaidTimeRecorder
from almondstack.control.planning import Planner
from almondstack.control.pool_balancer import PoolBalancer, median_size_millis
from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices
from almondstack.control.wave_controller import WaveController
from almondstack.jobs import ActiveJob, RecordKind, Task, record_key
from almondstack.ownership import Record
from almondstack.placement import Policies, Worker, has_room
from almondstack.placement.backlog import EstimateCorrection

__all__ = ["FleetController"]

_INTERVAL_S = 0.1
"""Time between two looks at pools and waves, in seconds."""

_FAST_LIST_S = 0.4
"""How often instances are listed while a wave is on, in seconds."""

_MOST_GOING_SHARE = 0.25
"""Share of all instances that may be on their way to the spare pool at one time, since a burst
that begins meanwhile can't have them before they are there and back."""

_STAMP_BYTES = 8
"""Size of a stored time of day in milliseconds."""

_COVERED_SHARE = 0.8
"""Share of the registered workers that instances must carry before one that none carries
counts as gone; some registrations are always older or newer than the list."""


class FleetController:
    """Maintains and moves instances without cutting tasks off.

    Explanation
    -----------
    An instance that is to go is first given nothing new; its short tasks end,
    its lasting ones are moved one at a time; the order follows when it is
    empty.  The time of each order is stored, so that the next owner does not
    take turns with this one at an instance.

    Parameters
    ----------
    table : RunTable
        What runs where.
    planner : Planner
        Knows the pool of each job.
    services : OwnerServices
        Instances, waves, policies.
    token : int
        The owner's fencing token.
    """

    __slots__ = (
        "_admission",
        "_balance",
        "_coming",
        "_desk",
        "_moves",
        "_paid",
        "_rounded_s",
        "_services",
        "_table",
        "_waves",
        "_written",
    )

    def __init__(
        self,
        table: RunTable,
        planner: Planner,
        services: OwnerServices,
        token: int,
    ) -> None:
        self._table = table
        self._services = services
        self._desk = InstanceManager(services, token)
        self._waves = WaveController(services, self._desk)
        self._balance = PoolBalancer(table, planner, self._desk, services.control.move_s)
        self._admission = AdmissionRounds(table, planner)
        self._paid = PaidTimeRecorder(services.events, services.metrics)
        table.follow_ends(self._admission.note_end)
        self._rounded_s = 0.0
        self._coming: set[str] = set()
        self._moves: list[Move] = []
        self._written: dict[str, int] = {}

    @property
    def correction(self) -> EstimateCorrection:
        """How callers' estimates relate to what runs take."""
        return self._admission.correction

    @property
    def waits_ms(self) -> dict[str, int]:
        """How long new work would wait, by pool and client account."""
        return self._admission.waits_ms

    def has_incoming_instances(self, pool: str) -> bool:
        """Whether instances were on their way to a pool in the last round."""
        return pool in self._coming

    def start(self) -> None:
        """Start to list instances, after what is stored of the jobs was taken over."""
        if self._has_history():
            self._balance.settle()
        self._desk.start()

    def close(self) -> None:
        """Give no more orders."""
        self._desk.close()

    def note_job(self, job: ActiveJob, now_s: float) -> None:
        """Count a job that has just come."""
        self._balance.note_job(job, now_s)

    def run_round(self, now_s: float) -> None:
        """Decide what is due; :meth:`send_orders` orders it once :meth:`records` are stored."""
        self._desk.interval_s = (
            _FAST_LIST_S if self._waves.is_active else self._services.control.instances_interval_s
        )
        self._desk.refresh(now_s)
        if now_s - self._rounded_s < _INTERVAL_S or not self._desk.is_known:
            return
        self._rounded_s = now_s
        if self._desk.is_fenced or not self._services.directory.is_read:
            return
        self._decide(now_s)

    def records(self) -> list[Record]:
        """Return what must be stored before :meth:`send_orders`."""
        instances = [*self._waves.due, *(move.instance for move in self._moves)]
        stamp = int(time.time() * 1000).to_bytes(_STAMP_BYTES, "big")
        notes = [Record(record_key(RecordKind.INSTANCE, name), stamp) for name in instances]
        return [*self._waves.records(), *notes]

    def send_orders(self) -> None:
        """Give the orders of this round."""
        self._waves.send_orders()
        moves, self._moves = self._moves, []
        for move in moves:
            self._services.metrics.count("instance.moves")
            self._desk.move(move.instance, move.target)

    def _has_history(self) -> bool:
        """Whether work that ends was handed in before."""
        is_open = any(not job.submission.is_long_running for job in self._table.jobs.values())
        return is_open or any(entry.state.is_final for _, entry in self._services.book.entries())

    def _decide(self, now_s: float) -> None:
        policies = self._services.policies()
        instances = self._desk.instances()
        self._lose_unlisted(instances, now_s)
        spare_pools = {pool for pool, is_off in policies.pools.items() if is_off}
        workers = self._table.workers
        evacuated = self._evacuated(instances)
        states = self._balance.pools(instances, policies, evacuated, now_s)
        size_millis = median_size_millis(instances)
        self._coming = {state.name for state in states if state.coming}
        self._admission.round(states, policies, time.time() * 1000.0)
        wanted = {state.name: wanted_instances(state, size_millis) for state in states}
        self._write_pools(states, wanted)
        self._paid.note(instances, states, wanted, workers, now_s)
        ranks = {state.name: float(state.size - wanted[state.name]) for state in states}
        emptied = self._waves.run_round(instances, workers, spare_pools, ranks, now_s) | evacuated
        moves = self._plan_moves(instances, policies, spare_pools, emptied, now_s)
        emptied |= {move.instance for move in moves}
        ready = [move for move in moves if self._is_empty(move.instance, instances)]
        self._moves = ready[: max(0, self._desk.room - len(self._waves.due))]
        self._reserve(instances, emptied, now_s)

    def _evacuated(self, instances: list[InstanceInfo]) -> set[str]:
        """Return the instances of availability zones whose workers are to get nothing more."""
        zones = self._services.directory.evacuated_zones()
        return {info.name for info in instances if info.zone in zones}

    def _plan_moves(
        self,
        instances: list[InstanceInfo],
        policies: Policies,
        spare_pools: set[str],
        taken: set[str],
        now_s: float,
    ) -> list[Move]:
        spare_pool = min(spare_pools, default="")
        states = self._balance.pools(instances, policies, taken, now_s)
        spares: list[Candidate] = []
        going = 0
        if spare_pool:
            spares, going = self._balance.spares(instances, spare_pool, taken, now_s)
        most_to_spare = max(1, round(_MOST_GOING_SHARE * len(instances))) - going
        size_millis = median_size_millis(instances)
        return self._balance.plan(states, spares, spare_pool, most_to_spare, size_millis, now_s)

    def _lose_unlisted(self, instances: list[InstanceInfo], now_s: float) -> None:
        """Compare runs with the instances, if these are known to carry all workers."""
        listed = {info.worker for info in instances}
        workers = self._table.workers
        covered = sum(worker in listed for worker in workers)
        if workers and covered >= _COVERED_SHARE * len(workers):
            self._table.lose_unlisted(listed, self._desk.asked_s, now_s)

    def _write_pools(self, states: list[PoolState], wanted: dict[str, int]) -> None:
        """Write a line when what pools want has changed."""
        if wanted == self._written:
            return
        self._written = wanted
        self._services.events.write(
            "pools-want",
            pools={
                state.name: {
                    "size": state.size,
                    "coming": state.coming,
                    "wanted": wanted[state.name],
                    "asked_millis": round(state.need.total_millis),
                    "arriving_millis": round(state.need.arriving_millis),
                    "lasting_millis": state.need.lasting_millis,
                }
                for state in states
            },
        )

    def _is_empty(self, instance: str, instances: list[InstanceInfo]) -> bool:
        worker_id = next(info.worker for info in instances if info.name == instance)
        worker = self._table.workers.get(worker_id)
        return worker is None or (worker.is_reserved and not worker.tasks)

    def _reserve(self, instances: list[InstanceInfo], emptied: set[str], now_s: float) -> None:
        """Give instances that are to go nothing new, and move their lasting tasks away."""
        for info in instances:
            worker = self._table.workers.get(info.worker)
            if worker is None:
                continue
            is_ordered = self._desk.is_order_open(info.name, worker.info.life, now_s)
            worker.is_reserved = info.name in emptied or is_ordered
            if info.name in emptied:
                self._move_lasting(worker, now_s)

    def _move_lasting(self, worker: Worker, now_s: float) -> None:
        """Stop the lasting tasks of a worker that may be away, to have them start elsewhere."""
        evacuated = self._services.directory.evacuated_zones()
        is_evacuated = worker.info.zone in evacuated
        for task in worker.tasks:
            if not task.step.is_long_running:
                continue
            if is_evacuated and not has_room(task, self._others(task, evacuated), now_s):
                continue
            if may_interrupt(task, self._table.workers, now_s):
                self._table.ask_stop(task, now_s)

    def _others(self, task: Task, evacuated: frozenset[str]) -> Iterator[Worker]:
        """Iterate over the workers of a task's pool that are outside the evacuated zones."""
        pool = self._table.workers[task.worker].info.pool
        workers = self._table.workers_of(pool)
        return (worker for worker in workers if worker.info.zone not in evacuated)
