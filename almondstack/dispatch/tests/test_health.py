"""Tests of ejection, trial calls and gradual readmission, on a manual clock."""

import pytest

from almondstack.dispatch import HealthReport, HealthSettings, HealthTracker
from almondstack.testing.clocks import ManualClock

_POOL = ["u1", "u2", "u3", "u4"]
_SETTINGS = HealthSettings()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def tracker(clock):
    tracker = HealthTracker(_SETTINGS, clock)
    for name in _POOL:
        for _ in range(5):
            tracker.note_success(name)
    return tracker


def _fail(tracker, name, times=10):
    for _ in range(times):
        tracker.note_failure(name, _POOL)


def test_failing_upstream_is_ejected_and_gets_one_trial_call_at_a_time(tracker, clock):
    _fail(tracker, "u1")
    assert not tracker.may_accept("u1", used=0, held=8)
    clock.advance(_SETTINGS.longest_ejection_s)
    assert tracker.may_accept("u1", used=0, held=8)
    tracker.note_start("u1")
    assert not tracker.may_accept("u1", used=1, held=8)


def test_failed_trial_lengthens_the_ejection(tracker, clock):
    _fail(tracker, "u1", times=6)
    clock.advance(_SETTINGS.longest_ejection_s)
    tracker.note_failure("u1", _POOL)
    clock.advance(_SETTINGS.ejection_s)
    assert not tracker.may_accept("u1", used=0, held=8)


def test_readmitted_upstream_takes_up_load_gradually(tracker, clock):
    _fail(tracker, "u1")
    clock.advance(_SETTINGS.longest_ejection_s)
    tracker.note_success("u1")
    assert tracker.may_accept("u1", used=0, held=8)
    assert not tracker.may_accept("u1", used=1, held=8)
    clock.advance(_SETTINGS.slow_start_s / 2)
    assert tracker.may_accept("u1", used=3, held=8)
    assert not tracker.may_accept("u1", used=4, held=8)
    clock.advance(_SETTINGS.slow_start_s)
    assert tracker.may_accept("u1", used=7, held=8)


def test_ejection_leaves_part_of_the_pool_in_service(tracker):
    for name in ("u1", "u2", "u3"):
        _fail(tracker, name)
    assert sum(tracker.is_ejected(name) for name in _POOL) <= 2


def test_uniform_failures_eject_no_upstream(tracker):
    for _ in range(20):
        for name in _POOL:
            tracker.note_failure(name, _POOL)
    assert not any(tracker.is_ejected(name) for name in _POOL)


def test_unreachable_pool_gets_trial_calls_after_the_short_ejection(tracker, clock):
    for name in _POOL:
        for _ in range(8):
            tracker.note_connect_failure(name, _POOL)
    assert all(tracker.is_unreachable(name) for name in _POOL)
    clock.advance(_SETTINGS.longest_unreachable_s)
    assert not any(tracker.is_unreachable(name) for name in _POOL)
    assert all(tracker.may_accept(name, used=0, held=8) for name in _POOL)


def test_successful_probe_readmits_unreachable_but_not_failing_upstreams(tracker):
    for _ in range(3):
        tracker.note_connect_failure("u1", _POOL)
    _fail(tracker, "u2")
    tracker.note_probe("u1")
    tracker.note_probe("u2")
    assert tracker.may_accept("u1", used=0, held=8)
    assert not tracker.may_accept("u2", used=0, held=8)


def test_reports_of_other_entries_raise_suspicion_but_never_eject(tracker, clock):
    _fail(tracker, "u1")
    other = HealthTracker(_SETTINGS, clock)
    other.merge_reports(tracker.reports())
    assert other.suspected(_POOL) == {"u1"}
    assert other.may_accept("u1", used=0, held=8)
    clock.advance(_SETTINGS.window_s)
    assert other.suspected(_POOL) == set()
    other.merge_reports([HealthReport("u2", failure_ratio=0.1, volume=9.0)])
    assert other.suspected(_POOL) == set()


def test_overloaded_upstream_pauses_without_being_suspected(tracker, clock):
    tracker.note_overload("u1")
    assert not tracker.may_accept("u1", used=0, held=8)
    clock.advance(_SETTINGS.overload_pause_s)
    assert tracker.may_accept("u1", used=0, held=8)
    assert not tracker.is_suspected("u1")
