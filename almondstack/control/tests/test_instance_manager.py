"""Orders to instances: how many are in flight, and in which order they are sent."""

import threading
import time
from collections import Counter
from types import SimpleNamespace

import pytest

from almondstack.control import instance_manager
from almondstack.control.instance_manager import InstanceManager
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.control.paced_calls import PacedCalls
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex, RecordKind, record_key

_WAIT_S = 10.0


class _Services:
    """An instance service that answers orders once enough of them are in flight."""

    def __init__(self, most_under_way=1):
        self.index = JobIndex()
        self.control = ControlSettings(instance_orders_per_s=1_000.0)
        self.events = EventLog("test")
        self.metrics = LocalMetrics()
        self.instances = self
        self.under_way = threading.Barrier(most_under_way)

    def move(self, instance, pool, token):
        """Answer once the set number of orders is in flight."""
        self.under_way.wait(_WAIT_S)
        return OrderStatus.DONE


def _set_list(manager, *names):
    for name in names:
        manager._instances[name] = InstanceInfo(name, "q", InstanceState.UP, "a", "r", 4_000, "")


def test_burst_orders_to_many_instances_run_in_parallel():
    """In a burst a pool needs dozens of instances at once."""
    services = _Services(most_under_way=4)
    manager = InstanceManager(services, 1)
    manager.start()
    for number in range(4):
        manager.move(f"m{number}", "p")
    # Each order waits for the three others, so orders sent in sequence would not end.
    manager._orders.close()
    for thread in manager._orders._threads:
        thread.join(_WAIT_S)
    assert not services.under_way.broken
    assert all(pending.replied_s is not None for pending in manager._pending.values())


def test_an_ordered_instance_is_shown_as_moving_and_gets_no_other_order():
    manager = InstanceManager(_Services(), 1)
    _set_list(manager, "m", "n")
    manager.move("m", "p")
    shown = {info.name: (info.pool, info.state) for info in manager.instances()}
    assert shown == {"m": ("p", InstanceState.MOVING), "n": ("q", InstanceState.UP)}
    assert not manager.can_order("m", 0.0) and manager.can_order("n", 0.0)


def test_burst_no_order_waits_behind_many_others():
    """Eighty orders to move instances to the spare pool delayed the moves for a burst."""
    manager = InstanceManager(_Services(), 1)
    remaining = manager.remaining_orders
    assert 0 < remaining < 80
    for number in range(remaining):
        manager.move(f"m{number}", "spare")
    assert manager.remaining_orders == 0
    assert manager._orders.run_next()
    assert manager.remaining_orders == 1


def test_orders_keep_to_the_rate_of_the_service():
    calls = PacedCalls("x", threads=4, per_s=50.0)
    starts = [calls.reserve_s(1.0) for _ in range(51)]
    assert starts[0] == 0.0 and starts[50] == 1.0


def test_close_ends_the_threads_after_the_calls_put_before():
    made = []
    calls = PacedCalls("x", threads=2, per_s=1_000.0)
    calls.put(lambda: made.append(1))
    calls.close()
    assert calls.run_next() and not calls.run_next() and made == [1]


class _FailingServices(_Services):
    """A service whose first list, first order and first report fail with an unforeseen error."""

    def __init__(self):
        super().__init__()
        self.directory = self
        self.calls = Counter()
        self.is_reported = threading.Event()

    def _fail_first(self, name):
        self.calls[name] += 1
        if self.calls[name] == 1:
            raise ValueError("injected error")

    def instances_list(self):
        """Return one instance, except at the first call."""
        self._fail_first("list")
        return [InstanceInfo("m", "q", InstanceState.UP, "a", "r", 4_000, "")]

    def move(self, instance, pool, token):
        """Execute the order, except at the first call."""
        self._fail_first("move")
        return OrderStatus.DONE

    def report_wave(self, number, is_completed):
        """Store the report, except at the first call."""
        self._fail_first("report")


@pytest.fixture
def failing(monkeypatch):
    """Return services that fail once, a started manager, and the reported errors."""
    reported = []
    monkeypatch.setattr(threading, "excepthook", reported.append)
    monkeypatch.setattr(instance_manager, "_RETRY_PAUSE_S", 0.01)
    services = _FailingServices()
    services.instances = SimpleNamespace(instances=services.instances_list, move=services.move)
    manager = InstanceManager(services, 1)
    manager.start()
    yield services, manager, reported
    manager.close()


def test_a_list_that_fails_unforeseen_is_requested_again(failing):
    """Guards against an owner that moves and maintains nothing after one error."""
    _, manager, reported = failing
    manager.refresh(100.0)
    _wait_until(lambda: manager.has_list)
    assert [info.name for info in manager.instances()] == ["m"] and len(reported) == 1


def test_a_report_that_fails_unforeseen_is_sent_again(failing):
    services, manager, reported = failing
    manager.report(1, True, services.is_reported.set)
    assert services.is_reported.wait(_WAIT_S) and len(reported) == 1


def test_an_order_that_fails_unforeseen_is_sent_again(failing):
    """The service may have executed it, so its instance gets no other order meanwhile."""
    services, manager, reported = failing
    manager.move("m", "p")
    _wait_until(lambda: services.calls["move"] == 2)
    assert not manager.can_order("m", 0.0) and len(reported) == 1


def _stored_order(services, instance, age_s, kinds=(RecordKind.INSTANCE, RecordKind.MAINTENANCE)):
    timestamp = int((time.time() - age_s) * 1000).to_bytes(8, "big")
    for kind in kinds:
        services.index.apply(record_key(kind, instance), timestamp)


class _Maintained(_Services):
    """An instance service that answers with the test's statuses."""

    def __init__(self, *statuses):
        super().__init__()
        self.statuses = list(statuses)
        self.calls = []

    def maintain(self, instance, wave, token):
        """Answer with the next status."""
        self.calls.append(instance)
        return self.statuses.pop(0)


def test_an_owner_that_may_not_act_any_more_sends_no_order():
    """Guards against an owner that wakes up and orders beside its successor (review/10).

    It was suspended while the store's answer to the record of an order was on its way, and
    began an upkeep beside the one that its successor had begun (LIMIT).
    """
    services = _Maintained(OrderStatus.DONE)
    allowed = [False]
    manager = InstanceManager(services, 1, lambda: allowed[0])
    manager.maintain("m", 1)
    assert manager._orders.run_next() and services.calls == []
    assert manager.started_maintenance(1) == set()
    allowed[0] = True
    assert manager.can_order("m", time.monotonic() + 1.0)
    manager.maintain("m", 1)
    assert manager._orders.run_next() and manager.started_maintenance(1) == {"m"}


def test_a_report_is_not_written_while_another_process_may_own_the_jobs(monkeypatch):
    """Guards against a late report that replaces what the successor has reported."""
    monkeypatch.setattr(instance_manager, "_RETRY_PAUSE_S", 0.0)
    services = _FailingServices()
    services.calls["report"] = 1
    allowed = [False]
    manager = InstanceManager(services, 1, lambda: allowed[0])
    manager._send_report(1, False, services.is_reported.set)
    assert services.calls["report"] == 1 and not services.is_reported.is_set()
    allowed[0] = True
    manager._calls.get()()
    assert services.calls["report"] == 2 and services.is_reported.is_set()


def test_an_order_of_the_owner_before_is_open_until_the_service_has_answered_this_one():
    """Guards against an order that is carried out after its sender was replaced (review/10)."""
    services = _Maintained(OrderStatus.REFUSED, OrderStatus.DONE)
    _stored_order(services, "m", age_s=6.0)
    _stored_order(services, "old", age_s=60.0)
    manager = InstanceManager(services, 2)
    now_s = time.monotonic()
    assert manager.may_begin_maintenance("m", now_s) and not manager.may_begin_maintenance(
        "old", now_s
    )
    for is_open in (True, False):
        _stored_order(services, "m", age_s=0.0)
        manager.maintain("m", 1)
        assert manager._orders.run_next()
        assert manager.may_begin_maintenance("m", now_s) is is_open


def test_a_move_of_the_owner_before_begins_no_maintenance():
    """Guards against instances that are kept free after each change of owner.

    On teawa-gangs, trouble-3, nearly all instances of a wave had been moved shortly before.
    """
    services = _Services()
    _stored_order(services, "m", age_s=1.0, kinds=[RecordKind.INSTANCE])
    manager = InstanceManager(services, 2)
    assert not manager.may_begin_maintenance("m", time.monotonic())
    assert not manager.can_order("m", time.monotonic())


def test_an_order_of_the_owner_before_is_not_waited_for_without_end():
    services = _Services()
    _stored_order(services, "m", age_s=1.0)
    manager = InstanceManager(services, 2)
    assert not manager.may_begin_maintenance("m", time.monotonic() + 60.0)


def test_an_order_of_the_owner_before_is_waited_for_whatever_its_time_of_day():
    """Guards against orders of two owners in turn within the lease of an instance (ONE).

    The times of day of two machines differ by 4 s if one was set back and the other ahead; by
    their difference an order that was stored just now was older than the lease.
    """
    for age_s in (-4.0, 4.0):
        services = _Services()
        _stored_order(services, "m", age_s=age_s)
        manager = InstanceManager(services, 2)
        now_s = time.monotonic()
        assert not manager.can_order("m", now_s)
        assert manager.is_order_open("m", 0, now_s)
        assert manager.can_order("m", now_s + 4.0)


def test_an_upkeep_of_the_owner_before_may_begin_whatever_its_time_of_day():
    """Guards against a second upkeep beside that of a late order (LIMIT): the clocks are 4 s apart.

    The order was stored 10 s ago; by the two clocks it is 14 s old.
    """
    services = _Services()
    _stored_order(services, "m", age_s=14.0)
    manager = InstanceManager(services, 2)
    assert manager.may_begin_maintenance("m", time.monotonic())


def test_an_order_that_was_read_long_ago_is_not_waited_for(monkeypatch):
    """The record says nothing about its age if the time of day was set since."""
    services = _Services()
    _stored_order(services, "m", age_s=0.0)
    read_s = time.monotonic()
    monkeypatch.setattr(instance_manager.time, "monotonic", lambda: read_s + 20.0)
    manager = InstanceManager(services, 2)
    assert manager.can_order("m", read_s + 20.0)
    assert not manager.may_begin_maintenance("m", read_s + 20.0)


def test_an_unanswered_order_counts_as_open_also_after_a_refusal():
    """Guards against an order without an answer that is executed after a later one was refused."""
    services = _Maintained(OrderStatus.UNCLEAR, OrderStatus.REFUSED)
    manager = InstanceManager(services, 1)
    manager.maintain("m", 1)
    assert manager._orders.run_next() and manager._orders.run_next()
    assert manager.may_begin_maintenance("m", time.monotonic())


def _wait_until(is_done):
    until_s = time.monotonic() + _WAIT_S
    while not is_done():
        assert time.monotonic() < until_s
        time.sleep(0.005)
