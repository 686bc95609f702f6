"""Which instances get nothing new."""

import time

import pytest

from almondstack.control.fleet_rounds import FleetRounds
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex, RecordKind, record_key
from almondstack.testing.job_builders import assign, make_job, make_step, make_table, make_worker


class _Services:
    """What the rounds use of the owner's services, without a network."""

    def __init__(self):
        self.book = JobIndex()
        self.control = ControlSettings()
        self.events = EventLog("test")
        self.metrics = NullMetrics()
        self.instances = self
        self.directory = self
        self.zones = frozenset()
        self.replies = []
        self.ordered_ms = int(time.time() * 1000)

    def evacuated_zones(self):
        """Return the zones that the test has evacuated."""
        return self.zones

    def move(self, instance, pool, token):
        """Answer an order as the test has said."""
        return self.replies.pop(0)


@pytest.fixture
def fleet():
    """Return the rounds of a new owner, whose instance ``m`` the owner before has ordered."""
    services = _Services()
    stamp = services.ordered_ms.to_bytes(8, "big")
    services.book.apply(record_key(RecordKind.INSTANCE, "m"), stamp)
    return services


def _is_reserved(services, life_ms, rounds=None, name="m"):
    worker = make_worker(life=life_ms)
    rounds = rounds or FleetRounds(make_table(), None, services, 2)
    rounds._table.workers.clear()
    rounds._table.adopt(worker, 0.0, 1e15)
    info = InstanceInfo(name, "p", InstanceState.UP, "a", "r", 4_000, worker.id)
    rounds._reserve([info], set(), time.monotonic())
    return worker.is_reserved


def test_burst_an_instance_that_has_moved_works_for_the_next_owner_at_once(fleet):
    """An owner dies in a burst; what it had moved stood idle (magnolia-pay, trouble-3)."""
    assert not _is_reserved(fleet, fleet.ordered_ms + 1_500)


def test_an_order_of_the_owner_before_may_still_arrive(fleet):
    assert _is_reserved(fleet, fleet.ordered_ms - 10_000)
    assert not _is_reserved(fleet, fleet.ordered_ms - 10_000, name="other")


def test_an_unclear_order_of_its_own_keeps_an_instance_empty_until_it_is_done(fleet):
    rounds = FleetRounds(make_table(), None, fleet, 2)
    desk = rounds._desk
    fleet.replies = [OrderStatus.UNCLEAR, OrderStatus.DONE]
    desk.move("n", "q")
    desk._orders.run_next()
    assert _is_reserved(fleet, fleet.ordered_ms, rounds, "n")
    desk._orders.run_next()
    assert _is_reserved(fleet, fleet.ordered_ms, rounds, "n")
    desk._pending.clear()
    assert not _is_reserved(fleet, fleet.ordered_ms, rounds, "n")
    assert not desk.is_free("n", time.monotonic())


def _lasting_pair(services, other_zone="b"):
    """Return rounds with a lasting task on a worker in zone ``a``, and another worker."""
    services.zones = frozenset({"a"})
    workers = make_worker("w1", zone="a"), make_worker("w2", zone=other_zone)
    job = make_job(make_step(is_long_running=True, max_unavailable=1))
    table = make_table(job, workers=workers)
    task = job.steps_of(0)[0][0]
    assign(table, task, workers[0])
    rounds = FleetRounds(table, None, services, 2)
    infos = [
        InstanceInfo(f"m{n}", "p", InstanceState.UP, worker.info.zone, "r", 4_000, worker.id)
        for n, worker in enumerate(workers)
    ]
    rounds._reserve(infos, rounds._evacuated(infos), time.monotonic())
    return workers, task


def test_evacuation_workers_of_the_zone_get_nothing_new_and_lasting_tasks_leave(fleet):
    workers, task = _lasting_pair(fleet)
    assert workers[0].is_reserved and not workers[1].is_reserved
    assert task.is_stopping


def test_evacuation_of_all_zones_leaves_lasting_tasks_at_work(fleet):
    """Stopped, they could start nowhere."""
    workers, task = _lasting_pair(fleet, other_zone="a")
    assert all(worker.is_reserved for worker in workers)
    assert not task.is_stopping
