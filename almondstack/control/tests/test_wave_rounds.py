"""Waves: what counts as begun, and how many are down."""

import msgspec
import pytest

from almondstack.control.messages import InstanceInfo, InstanceState, WaveRequest
from almondstack.control.wave_rounds import WaveRounds
from almondstack.jobs import JobIndex, RecordKind, record_key


class _Desk:
    """Takes orders as ``InstanceDesk`` does, and answers when the test says so."""

    def __init__(self):
        self.ordered = []
        self.done = set()
        self.reports = []

    def is_free(self, instance, now_s):
        return instance not in self.ordered

    def maintained(self, wave):
        return set(self.done)

    def maintain(self, instance, wave):
        self.ordered.append(instance)

    def report(self, wave, is_completed, done):
        self.reports.append(is_completed)
        done()


class _Services:
    def __init__(self, *requests):
        self.book = JobIndex()
        self.directory = self
        self.requests = list(requests)

    def evacuated_zones(self) -> frozenset[str]:
        """No zone is evacuated here."""
        return frozenset()

    def waves(self):
        return self.requests


def _instances(**states):
    return [InstanceInfo(name, "p", state, "a", "r", 16_000, "") for name, state in states.items()]


_UP, _BUSY = InstanceState.UP, InstanceState.MAINTENANCE


@pytest.fixture
def wave():
    """Return the rounds of a wave over two instances, one at a time."""
    services, desk = _Services(WaveRequest(1, ("a", "b"), 20.0, 1)), _Desk()
    return WaveRounds(services, desk), desk, services


def _round(rounds, **states):
    rounds.round(_instances(**states), {}, set(), {}, 0.0)
    rounds.send()


def test_one_after_another_and_completed_at_the_end(wave):
    rounds, desk, _ = wave
    _round(rounds, a=_UP, b=_UP)
    assert desk.ordered == ["a"]
    _round(rounds, a=_BUSY, b=_UP)
    assert desk.ordered == ["a"]
    desk.done.add("a")
    _round(rounds, a=_UP, b=_UP)
    assert desk.ordered == ["a", "b"]
    desk.done.add("b")
    _round(rounds, a=_UP, b=_BUSY)
    assert True not in desk.reports
    _round(rounds, a=_UP, b=_UP)
    assert desk.reports[-1] is True and not rounds.is_active


def test_a_refused_order_leaves_the_wave_uncompleted(wave):
    """An order that the service had refused counted as begun."""
    rounds, desk, _ = wave
    _round(rounds, a=_UP, b=_UP)
    desk.ordered.clear()
    desk.done.add("b")
    _round(rounds, a=_UP, b=_UP)
    assert True not in desk.reports
    assert desk.ordered == ["a"]


def test_what_has_begun_is_stored_and_not_done_again(wave):
    rounds, desk, services = wave
    desk.done.add("a")
    _round(rounds, a=_UP, b=_UP)
    (record,) = rounds.records()
    assert msgspec.msgpack.decode(record.value) == ["a"] and rounds.records() == []
    services.book.apply(record_key(RecordKind.WAVE, "1"), record.value)
    later, later_desk = WaveRounds(services, _Desk()), None
    later_desk = later._desk
    _round(later, a=_UP, b=_UP)
    assert later_desk.ordered == ["b"]


def test_an_instance_whose_worker_is_not_registered_is_not_taken_for_empty(wave):
    rounds, desk, _ = wave
    lapsed = [InstanceInfo("a", "p", _UP, "a", "r", 16_000, "i-1")]
    rounds.round(lapsed, {}, set(), {}, 0.0)
    rounds.send()
    assert desk.ordered == []
    rounds.round(lapsed, {}, {"p"}, {}, 0.0)
    rounds.send()
    assert desk.ordered == ["a"]


def test_an_instance_that_is_gone_does_not_hold_the_wave_up(wave):
    rounds, desk, _ = wave
    desk.done.add("a")
    _round(rounds, a=_UP)
    assert desk.reports[-1] is True
