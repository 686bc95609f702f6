"""Waves: which maintenance counts as started, and how many instances are down at once."""

import msgspec
import pytest

from almondstack.control.messages import InstanceInfo, InstanceState, WaveRequest
from almondstack.control.wave_controller import WaveController
from almondstack.jobs import JobIndex, RecordKind, record_key


class _InstanceManager:
    """Records orders; the test adds the instances whose maintenance has started."""

    def __init__(self):
        self.ordered = []
        self.done = set()
        self.reports = []

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
    controller.run_round(_instances(**states), {}, set(), {}, 0.0)
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
    controller, manager, _ = wave
    manager.done.add("a")
    _round(controller, a=_UP)
    assert manager.reports[-1] is True
