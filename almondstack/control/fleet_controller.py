"""Periodic decisions of the owner on instances: moves, maintenance and evacuation."""

import time
from collections.abc import Callable, Iterator

from almondstack.capacity import Candidate, Move, PoolState, wanted_instances
from almondstack.control.admission_waits import AdmissionWaits
from almondstack.control.entitlement_report import EntitlementReport
from almondstack.control.instance_manager import InstanceManager
from almondstack.control.long_running import may_interrupt
from almondstack.control.messages import InstanceInfo
from almondstack.control.paid_time_recorder import PaidTimeRecorder
from almondstack.control.planning import Planner
from almondstack.control.pool_balancer import PoolBalancer, median_size_millis
from almondstack.control.run_predictions import RunPredictions
from almondstack.control.runs import RunTable
from almondstack.control.services import OwnerServices
from almondstack.control.speed_monitor import SpeedMonitor
from almondstack.control.wave_controller import WaveController
from almondstack.jobs import ActiveJob, RecordKind, Task, record_key
from almondstack.jobs.admission_state import AdmissionState
from almondstack.ownership import Record
from almondstack.placement import Policies, RunTimes, Worker, has_room
from almondstack.placement.entitlements import Entitlements
from almondstack.placement.order import is_past_use

__all__ = ["FleetController"]

_INTERVAL_S = 0.1
"""Time between two rounds of decisions, in seconds."""

_WAVE_LIST_INTERVAL_S = 0.4
"""Time between two instance lists while a wave is active, in seconds."""

_MAX_SPARE_MOVES_SHARE = 0.25
"""Share of all instances that may be moving to the spare pool at one time: a burst that begins
meanwhile can use them only after they have moved there and back."""

_MS_PER_S = 1000.0
_TIMESTAMP_BYTES = 8
"""Size of a stored Unix time in milliseconds."""

_MIN_LISTED_SHARE = 0.8
"""Share of the registered workers that must be on listed instances before a worker on none of
them counts as lost: some registrations are always older or newer than the list."""


class FleetController:
    """Moves and maintains instances without ending the tasks on them.

    Explanation
    -----------
    An instance that is to be moved or maintained is drained first: it gets no new
    tasks, its short tasks end, and its long-running tasks are moved one at a time.
    The order follows when the instance is empty.  The time of each order is stored,
    so that orders of this owner and the next one to an instance do not alternate.

    Parameters
    ----------
    table : RunTable
        Jobs, workers and runs.
    planner : Planner
        Provides the policy of each job.
    services : OwnerServices
        The instance service, waves, policies and stored records.
    token : int
        The owner's fencing token.
    may_act : callable, optional
        Returns whether the owner may still act.
    """

    __slots__ = (
        "_admission",
        "_balancer",
        "_entitlement_report",
        "_last_round_s",
        "_logged_wanted",
        "_manager",
        "_moves",
        "_paid_time",
        "_planner",
        "_pools_with_incoming",
        "_predictions",
        "_services",
        "_speed_monitor",
        "_table",
        "_waves",
    )

    def __init__(
        self,
        table: RunTable,
        planner: Planner,
        services: OwnerServices,
        token: int,
        may_act: Callable[[], bool] = lambda: True,
    ) -> None:
        self._table = table
        self._planner = planner
        self._services = services
        self._manager = InstanceManager(services, token, may_act)
        self._waves = WaveController(services, self._manager)
        self._balancer = PoolBalancer(table, planner, self._manager, services.control.move_s)
        self._paid_time = PaidTimeRecorder(services.events, services.metrics)
        self._entitlement_report = EntitlementReport(services.events, services.metrics)
        self._predictions = RunPredictions(table, services.events, services.metrics)
        self._admission = AdmissionWaits(
            table,
            planner,
            services.index.admission,
            self._predictions.run_times,
            services.control.move_s,
            time.monotonic(),
        )
        self._speed_monitor = SpeedMonitor(
            table, self._predictions.run_times, services.events, services.metrics
        )
        table.set_end_listener(self._note_run_end)
        self._last_round_s = 0.0
        self._pools_with_incoming: set[str] = set()
        self._moves: list[Move] = []
        self._logged_wanted: dict[str, int] = {}

    @property
    def run_times(self) -> RunTimes:
        """What was learned of the times that tasks take."""
        return self._predictions.run_times

    @property
    def speed_monitor(self) -> SpeedMonitor:
        """Judges the speeds of workers."""
        return self._speed_monitor

    @property
    def admission(self) -> AdmissionState:
        """Expected waits of new work, and the accounts whose demand is beyond their entitlement."""
        return self._admission.state_at(time.monotonic())

    @property
    def entitlements(self) -> Entitlements:
        """What each client account may use of the fleet, as of the last round of decisions."""
        return self._balancer.entitlements

    def has_incoming_instances(self, pool: str) -> bool:
        """Whether instances were on their way to a pool in the last round."""
        return pool in self._pools_with_incoming

    def start(self) -> None:
        """Start to list instances; called once the stored jobs were taken over."""
        if self._has_past_work():
            self._balancer.mark_demand_seen()
        self._manager.start()

    def close(self) -> None:
        """Send no more orders."""
        self._manager.close()

    def note_job(self, job: ActiveJob, now_s: float) -> None:
        """Predict the times of a new job's tasks, and count it in the demand of its pool."""
        self._predictions.predict(job)
        self._balancer.note_job(job, now_s)

    def run_round(self, now_s: float) -> None:
        """Decide which orders are due; :meth:`send_orders` sends them after :meth:`records`."""
        self._manager.interval_s = (
            _WAVE_LIST_INTERVAL_S
            if self._waves.is_active
            else self._services.control.instances_interval_s
        )
        self._manager.refresh(now_s)
        if now_s - self._last_round_s < _INTERVAL_S or not self._manager.has_list:
            return
        self._last_round_s = now_s
        if self._manager.is_fenced or not self._services.directory.is_loaded:
            return
        self._decide(now_s)

    def records(self) -> list[Record]:
        """Return the records that must be stored before :meth:`send_orders`."""
        instances = [*self._waves.due, *(move.instance for move in self._moves)]
        keys = [record_key(RecordKind.INSTANCE, name) for name in instances]
        keys += [record_key(RecordKind.MAINTENANCE, name) for name in self._waves.due]
        timestamp = int(time.time() * 1000).to_bytes(_TIMESTAMP_BYTES, "big")
        return [*self._waves.records(), *(Record(key, timestamp) for key in keys)]

    def send_orders(self) -> None:
        """Send the orders of this round."""
        self._waves.send_orders()
        moves, self._moves = self._moves, []
        for move in moves:
            self._services.metrics.count("instance.moves")
            self._manager.move(move.instance, move.target)

    def _note_run_end(self, task: Task, took_ms: float) -> None:
        """Learn from a run that ended as done; those of slow workers say little of their kind."""
        self._speed_monitor.note_end(task, took_ms, task.assigned_s + took_ms / _MS_PER_S)
        if not self._speed_monitor.speeds.was_slow_since(task.worker, task.assigned_s):
            self._predictions.note_end(task, took_ms)

    def _has_past_work(self) -> bool:
        """Whether jobs other than long-running ones were submitted before this owner started."""
        is_open = any(not job.submission.is_long_running for job in self._table.jobs.values())
        return is_open or any(entry.state.is_final for _, entry in self._services.index.entries())

    def _decide(self, now_s: float) -> None:
        """Decide on maintenance and moves from the instances that are listed now."""
        policies = self._services.policies()
        instances = self._manager.instances()
        self._predictions.run_round(now_s)
        self._lose_unlisted_workers(instances, now_s)
        evacuated = self._evacuated_instances(instances)
        states = self._balancer.pools(instances, policies, evacuated, now_s)
        self._hand_on(states, policies, now_s)
        spare_pools = {pool for pool, is_off in policies.pools.items() if is_off}
        draining = self._run_waves(instances, states, spare_pools, now_s) | evacuated
        moves = self._plan_moves(instances, policies, spare_pools, draining, now_s)
        draining |= {move.instance for move in moves}
        if self.entitlements.is_short:
            self._stop_useless_runs(moves, instances, now_s)
        ready = [move for move in moves if self._is_empty(move.instance, instances)]
        self._moves = ready[: max(0, self._manager.remaining_orders - len(self._waves.due))]
        self._reserve(instances, draining, now_s)

    def _hand_on(self, states: list[PoolState], policies: Policies, now_s: float) -> None:
        """Hand the entitlements and the states of the pools on to placement and admission."""
        self._planner.entitlements = self.entitlements
        self._entitlement_report.note(self.entitlements, now_s)
        self._pools_with_incoming = {state.name for state in states if state.coming}
        # The targets are those of the last round, since moves are planned later in this one.
        self._admission.update(
            states,
            policies,
            self.entitlements,
            now_s,
            time.time() * _MS_PER_S,
            self._balancer.targets,
        )

    def _run_waves(
        self,
        instances: list[InstanceInfo],
        states: list[PoolState],
        spare_pools: set[str],
        now_s: float,
    ) -> set[str]:
        """Report the sizes of pools, run the maintenance waves, and return what they drain."""
        workers = self._table.workers
        size_millis = median_size_millis(instances)
        wanted = {state.name: wanted_instances(state, size_millis) for state in states}
        self._log_pools(states, wanted)
        self._paid_time.record(instances, states, wanted, workers, now_s)
        pool_excess = {state.name: float(state.size - wanted[state.name]) for state in states}
        return self._waves.run_round(instances, workers, spare_pools, pool_excess, now_s)

    def _evacuated_instances(self, instances: list[InstanceInfo]) -> set[str]:
        """Return the instances in evacuated availability zones."""
        zones = self._services.directory.evacuated_zones()
        return {info.name for info in instances if info.zone in zones}

    def _plan_moves(
        self,
        instances: list[InstanceInfo],
        policies: Policies,
        spare_pools: set[str],
        excluded: set[str],
        now_s: float,
    ) -> list[Move]:
        spare_pool = min(spare_pools, default="")
        states = self._balancer.pools(instances, policies, excluded, now_s)
        spares: list[Candidate] = []
        incoming = 0
        if spare_pool:
            spares, incoming = self._balancer.spares(instances, spare_pool, excluded, now_s)
        max_to_spare = max(1, round(_MAX_SPARE_MOVES_SHARE * len(instances))) - incoming
        size_millis = median_size_millis(instances)
        return self._balancer.plan(states, spares, spare_pool, max_to_spare, size_millis, now_s)

    def _lose_unlisted_workers(self, instances: list[InstanceInfo], now_s: float) -> None:
        """Declare runs on unlisted workers lost, if the list covers most registered workers."""
        listed = {info.worker for info in instances}
        workers = self._table.workers
        listed_count = sum(worker in listed for worker in workers)
        if workers and listed_count >= _MIN_LISTED_SHARE * len(workers):
            self._table.mark_unlisted_lost(listed, self._manager.list_requested_s, now_s)

    def _log_pools(self, states: list[PoolState], wanted: dict[str, int]) -> None:
        """Write an event when the wanted sizes of pools have changed."""
        if wanted == self._logged_wanted:
            return
        self._logged_wanted = wanted
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

    def _reserve(self, instances: list[InstanceInfo], draining: set[str], now_s: float) -> None:
        """Reserve workers of draining or ordered instances; move long-running tasks away."""
        for info in instances:
            worker = self._table.workers.get(info.worker)
            if worker is None:
                continue
            is_ordered = self._manager.is_order_open(info.name, worker.info.life, now_s)
            worker.is_reserved = info.name in draining or is_ordered
            if info.name in draining:
                self._move_long_running(worker, now_s)

    def _stop_useless_runs(
        self, moves: list[Move], instances: list[InstanceInfo], now_s: float
    ) -> None:
        """Stop runs whose ends are of no use any more on instances that other pools wait for."""
        now_unix_ms = time.time() * 1000.0
        workers = {info.name: info.worker for info in instances}
        for move in moves:
            worker = self._table.workers.get(workers[move.instance])
            for task in worker.tasks if worker is not None else ():
                policy = self._planner.policy_of(task.job.submission)
                if not task.step.is_long_running and is_past_use(task, policy, now_unix_ms):
                    self._table.request_stop(task, now_s)

    def _move_long_running(self, worker: Worker, now_s: float) -> None:
        """Stop a worker's long-running tasks, as far as allowed, so that they start elsewhere."""
        evacuated = self._services.directory.evacuated_zones()
        is_evacuated = worker.info.zone in evacuated
        for task in worker.tasks:
            if not task.step.is_long_running:
                continue
            if is_evacuated and not has_room(task, self._workers_elsewhere(task, evacuated), now_s):
                continue
            if may_interrupt(task, self._table.workers, now_s):
                self._table.request_stop(task, now_s)

    def _workers_elsewhere(self, task: Task, evacuated: frozenset[str]) -> Iterator[Worker]:
        """Iterate over the workers of a task's pool that are outside the evacuated zones."""
        pool = self._table.workers[task.worker].info.pool
        workers = self._table.workers_of(pool)
        return (worker for worker in workers if worker.info.zone not in evacuated)
