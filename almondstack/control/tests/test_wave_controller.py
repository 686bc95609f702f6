"""Waves: which maintenance counts as started, and how many instances are down at once."""

import msgspec
import pytest

from almondstack.control.messages import InstanceInfo, InstanceState, WaveRequest
from almondstack.control.wave_controller import WaveController
from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex, RecordKind, record_key


class _InstanceManager:
    """Records orders; the test adds the instances whose maintenance has started."""

    def __init__(self):
        self.ordered = []
        self.done = set()
        self.reports = []
        self.list_requested_s = 0.0
        self.possible = set()

    def may_begin_maintenance(self, instance, now_s):
        return instance in self.possible

    def predecessor_order_age_s(self, instance):
        return 1.0

    def can_order(self, instance, now_s):
        return instance not in self.ordered

    def started_maintenance(self, wave):
        return set(self.done)

    def maintain(self, instance, wave):
        self.ordered.append(instance)

    def report(self, wave, is_completed, done):
        self.reports.append(is_completed)
        done()


class _Services:
    def __init__(self, *requests):
        self.index = JobIndex()
        self.events = EventLog("test")
        self.directory = self
        self.requests = list(requests)

    def evacuated_zones(self) -> frozenset[str]:
        """Return no zone."""
        return frozenset()

    def waves(self):
        return self.requests


def _instances(**states):
    return [InstanceInfo(name, "p", state, "a", "r", 16_000, "") for name, state in states.items()]


_UP, _IN_MAINTENANCE = InstanceState.UP, InstanceState.MAINTENANCE


@pytest.fixture
def wave():
    """Return the controller of a wave over two instances, one at a time, with its services."""
    services, manager = _Services(WaveRequest(1, ("a", "b"), 20.0, 1)), _InstanceManager()
    return WaveController(services, manager), manager, services


def _round(controller, **states):
    """Run a round with a list of the instances that was requested since the last round."""
    now_s = controller._manager.list_requested_s + 2.0
    controller._manager.list_requested_s = now_s - 0.5
    _round_with_old_list(controller, now_s, **states)


def _round_with_old_list(controller, now_s, **states):
    controller.run_round(_instances(**states), {}, set(), {}, now_s)
    controller.send_orders()


def test_instances_are_maintained_in_sequence_and_the_wave_completes(wave):
    controller, manager, _ = wave
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == ["a"]
    _round(controller, a=_IN_MAINTENANCE, b=_UP)
    assert manager.ordered == ["a"]
    manager.done.add("a")
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == ["a", "b"]
    manager.done.add("b")
    _round(controller, a=_UP, b=_IN_MAINTENANCE)
    assert True not in manager.reports
    _round(controller, a=_UP, b=_UP)
    assert manager.reports[-1] is True and not controller.is_active


def test_a_refused_order_leaves_the_wave_uncompleted(wave):
    """An order that the service had refused counted as started maintenance."""
    controller, manager, _ = wave
    _round(controller, a=_UP, b=_UP)
    manager.ordered.clear()
    manager.done.add("b")
    _round(controller, a=_UP, b=_UP)
    assert True not in manager.reports
    assert manager.ordered == ["a"]


def test_started_maintenance_is_stored_and_not_repeated(wave):
    controller, manager, services = wave
    manager.done.add("a")
    _round(controller, a=_UP, b=_UP)
    (record,) = controller.records()
    assert msgspec.msgpack.decode(record.value) == ["a"] and controller.records() == []
    services.index.apply(record_key(RecordKind.WAVE, "1"), record.value)
    later, later_manager = WaveController(services, _InstanceManager()), None
    later_manager = later._manager
    _round(later, a=_UP, b=_UP)
    assert later_manager.ordered == ["b"]


def test_an_instance_with_an_unregistered_worker_does_not_count_as_empty(wave):
    controller, manager, _ = wave
    lapsed = [InstanceInfo("a", "p", _UP, "a", "r", 16_000, "i-1")]
    controller.run_round(lapsed, {}, set(), {}, 0.0)
    controller.send_orders()
    assert manager.ordered == []
    controller.run_round(lapsed, {}, {"p"}, {}, 0.0)
    controller.send_orders()
    assert manager.ordered == ["a"]


def test_an_instance_that_is_not_listed_does_not_block_the_wave(wave):
    """An instance that two lists in a row lack, both requested after the wave, is gone."""
    controller, manager, _ = wave
    manager.done.add("a")
    for _ in range(3):
        assert True not in manager.reports
        _round(controller, a=_UP)
    assert manager.reports[-1] is True


def test_a_wave_on_instances_added_after_the_last_list_is_not_completed(wave):
    """Guards against a wave said to be completed before its instances were ever listed (review/5).

    The service could not be reached when instances were added and due for maintenance;
    they were taken for gone, and never got it (MIXED).
    """
    controller, manager, _ = wave
    for now_s in (1.0, 2.0, 3.0, 4.0):
        _round_with_old_list(controller, now_s)
    assert True not in manager.reports and controller.is_active
    manager.list_requested_s = 5.0
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == ["a"]


def test_an_instance_that_one_list_lacks_is_maintained(wave):
    """Guards against an instance that was missed between two pages of one list."""
    controller, manager, _ = wave
    manager.done.add("a")
    _round(controller, a=_UP)
    _round(controller, a=_UP)
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == ["b"] and True not in manager.reports


def test_an_instance_with_an_order_of_the_owner_before_counts_as_down(wave):
    """Guards against two upkeeps at once after a change of the owner (review/10, LIMIT).

    The successor found the ordered instance up, began with another one, and the order of the
    owner before was carried out later.
    """
    controller, manager, _ = wave
    manager.possible = {"b"}
    manager.can_order = lambda instance, now_s: instance != "b"
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == []
    manager.can_order = lambda instance, now_s: True
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == ["b"]


def test_more_open_orders_than_may_be_down_are_waited_for(wave):
    controller, manager, _ = wave
    manager.possible = {"a", "b"}
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == []
    manager.possible = {"a"}
    _round(controller, a=_UP, b=_UP)
    assert manager.ordered == ["a"]


def test_an_instance_in_maintenance_leaves_no_room_for_one_with_an_open_order(wave):
    controller, manager, _ = wave
    manager.possible = {"b"}
    _round(controller, a=_IN_MAINTENANCE, b=_UP)
    assert manager.ordered == []
