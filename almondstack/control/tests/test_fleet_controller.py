"""Which instances get no new tasks."""

import time

import pytest

from almondstack.capacity import Move
from almondstack.control.fleet_controller import FleetController
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.control.planning import Planner
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex, RecordKind, record_key
from almondstack.placement import Policies
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    assign,
    make_job,
    make_step,
    make_table,
    make_worker,
)


class _Services:
    """The owner's services that the controller uses, without a network."""

    def __init__(self):
        self.index = JobIndex()
        self.control = ControlSettings()
        self.events = EventLog("test")
        self.metrics = LocalMetrics()
        self.instances = self
        self.directory = self
        self.zones = frozenset()
        self.replies = []
        self.ordered_ms = int(time.time() * 1000)

    def evacuated_zones(self):
        """Return the zones that the test evacuates."""
        return self.zones

    def move(self, instance, pool, token):
        """Return the next status that the test has set."""
        return self.replies.pop(0)


@pytest.fixture
def services():
    """Return services whose job index holds an order of the previous owner to instance ``m``."""
    services = _Services()
    timestamp = services.ordered_ms.to_bytes(8, "big")
    services.index.apply(record_key(RecordKind.INSTANCE, "m"), timestamp)
    return services


def _is_reserved(services, life_ms, controller=None, name="m"):
    worker = make_worker(life=life_ms)
    controller = controller or FleetController(make_table(), None, services, 2)
    controller._table.workers.clear()
    controller._table.add_worker(worker, 0.0)
    info = InstanceInfo(name, "p", InstanceState.UP, "a", "r", 4_000, worker.id)
    controller._reserve([info], set(), time.monotonic())
    return worker.is_reserved


def test_burst_a_moved_instance_gets_tasks_from_the_next_owner_at_once(services):
    """When an owner ended in a burst, the instances that it had moved stayed idle."""
    assert not _is_reserved(services, services.ordered_ms + 1_500)


def test_an_order_of_the_previous_owner_may_still_be_executed(services):
    assert _is_reserved(services, services.ordered_ms - 10_000)
    assert not _is_reserved(services, services.ordered_ms - 10_000, name="other")


def test_an_unclear_order_keeps_its_instance_reserved_until_it_is_done(services):
    controller = FleetController(make_table(), None, services, 2)
    manager = controller._manager
    services.replies = [OrderStatus.UNCLEAR, OrderStatus.DONE]
    manager.move("n", "q")
    manager._orders.run_next()
    assert _is_reserved(services, services.ordered_ms, controller, "n")
    manager._orders.run_next()
    assert _is_reserved(services, services.ordered_ms, controller, "n")
    manager._pending.clear()
    assert not _is_reserved(services, services.ordered_ms, controller, "n")
    assert not manager.can_order("n", time.monotonic())


def test_flood_an_instance_that_another_pool_is_owed_ends_runs_that_are_of_no_use(services):
    """Guards against instances that drain for seconds, each for one run of no use."""
    now_ms = time.time() * 1000.0
    old, new = (
        make_job(make_step(), id=str(number), accepted_ms=int(accepted_ms))
        for number, accepted_ms in enumerate((now_ms - 60_000.0, now_ms))
    )
    worker = make_worker()
    table = make_table(old, new, workers=[worker])
    for job in (old, new):
        assign(table, job.steps_of(0)[0][0], worker)
    planner = Planner(table, AllowAllAdvisor(), Policies)
    controller = FleetController(table, planner, services, 2)
    info = InstanceInfo("m", "p", InstanceState.UP, "a", "r", 4_000, worker.id)
    controller._stop_useless_runs([Move("m", "p", "q")], [info], time.monotonic())
    assert [name for _, name, _ in table._orders.stops] == [old.steps_of(0)[0][0].name]


def _two_workers(services, other_zone="b"):
    """Evacuate zone ``a``; return two workers and a long-running task on the first, in ``a``."""
    services.zones = frozenset({"a"})
    workers = make_worker("w1", zone="a"), make_worker("w2", zone=other_zone)
    job = make_job(make_step(is_long_running=True, max_unavailable=1))
    table = make_table(job, workers=workers)
    task = job.steps_of(0)[0][0]
    assign(table, task, workers[0])
    controller = FleetController(table, None, services, 2)
    infos = [
        InstanceInfo(f"m{n}", "p", InstanceState.UP, worker.info.zone, "r", 4_000, worker.id)
        for n, worker in enumerate(workers)
    ]
    controller._reserve(infos, controller._evacuated_instances(infos), time.monotonic())
    return workers, task


def test_evacuation_reserves_workers_and_stops_long_running_tasks(services):
    workers, task = _two_workers(services)
    assert workers[0].is_reserved and not workers[1].is_reserved
    assert task.is_stopping


def test_evacuation_of_all_zones_leaves_long_running_tasks_at_work(services):
    """Stopped tasks could not start anywhere else."""
    workers, task = _two_workers(services, other_zone="a")
    assert all(worker.is_reserved for worker in workers)
    assert not task.is_stopping
