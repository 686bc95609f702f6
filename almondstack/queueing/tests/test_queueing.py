"""Tests of shares, expected waits and limits of the scheduler, on a manual clock."""

import pytest

from almondstack.bench.pool_simulation import Load, PoolSimulation
from almondstack.bench.share_distance import report_shares
from almondstack.core import Reason, RequestError
from almondstack.model import Team
from almondstack.queueing import (
    QueueingSettings,
    RunTimeEstimator,
)
from almondstack.testing.scheduling import SchedulerHarness, make_call
from almondstack.testing.settable_usage import SettableUsage

_NORTH = Team(name="north", share=1, ceiling=64)
_SOUTH = Team(name="south", share=3, ceiling=64)


def test_share_distance_is_bounded_under_backlog():
    teams = (_NORTH, _SOUTH, Team(name="east", share=2, ceiling=64))
    load = Load(teams=teams, parts=(1, 1, 1), entries=1, instances=2, seconds=15)
    report = report_shares(load, PoolSimulation(load, QueueingSettings()).run())
    assert report.use > 0.99
    assert report.p95 < 0.1


def test_team_running_at_other_entries_gets_fewer_starts():
    usage = SettableUsage()
    harness = SchedulerHarness((_NORTH, _SOUTH), slots=4, usage=usage)
    items = _admit_both(harness, count=40)
    before = harness.scheduler.running_count("score", "north")
    usage.set_totals({("score", "south"): 24})
    for _ in range(700):
        harness.clock.advance(0.05)
        items += _admit_both(harness, count=1)
        running = [item.grant for item in items if item.grant and not item.grant.is_finished]
        harness.scheduler.finish(min(running, key=lambda grant: grant.started_s))
    assert before == 4
    assert harness.scheduler.running_count("score", "north") >= 6


def _admit_both(harness, count):
    deadline_s = harness.clock.monotonic() + 1000
    teams = (_NORTH, _SOUTH) * count
    return [harness.scheduler.admit(make_call(team, deadline_s)) for team in teams]


def test_expected_wait_beyond_the_deadline_is_rejected_with_retry_after():
    harness = SchedulerHarness((_NORTH,), instances=1, slots=1)
    deadline_s = harness.clock.monotonic() + 1000
    for _ in range(10):
        item = harness.scheduler.admit(make_call(_NORTH, deadline_s))
        harness.clock.advance(1.0)
        harness.scheduler.finish(item.grant, 1.0)
    for _ in range(8):
        harness.scheduler.admit(make_call(_NORTH, deadline_s))
    with pytest.raises(RequestError) as caught:
        harness.scheduler.admit(make_call(_NORTH, harness.clock.monotonic() + 4))
    assert caught.value.reason is Reason.WAIT_EXCEEDS_DEADLINE
    assert 2 <= caught.value.retry_after_s <= 10


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_estimate_follows_a_tenfold_change_of_run_times(factor):
    estimator = RunTimeEstimator()
    for _ in range(200):
        estimator.record(1.0, bound_s=60.0)
    for _ in range(100):
        estimator.record(factor, bound_s=60.0)
    assert estimator.mean_s == pytest.approx(factor, rel=0.2)
    assert estimator.p90_s == pytest.approx(factor, rel=0.35)


def test_waiting_limits_per_team_and_per_pool():
    settings = QueueingSettings(max_waiting=3, max_waiting_per_team=2)
    harness = SchedulerHarness((_NORTH, _SOUTH), instances=1, slots=1, settings=settings)
    deadline_s = harness.clock.monotonic() + 1000
    reasons = []
    for team in (_NORTH, _NORTH, _NORTH, _NORTH, _SOUTH, _SOUTH):
        try:
            harness.scheduler.admit(make_call(team, deadline_s))
        except RequestError as error:
            reasons.append(error.reason)
    assert reasons == [Reason.TEAM_QUEUE_FULL, Reason.QUEUE_FULL]


def test_urgent_call_exceeds_the_team_share_after_its_patience():
    harness = SchedulerHarness((_NORTH, _SOUTH), instances=1, slots=4)
    deadline_s = harness.clock.monotonic() + 1000
    running = [harness.scheduler.admit(make_call(_NORTH, deadline_s)) for _ in range(4)]
    for _ in range(5):
        harness.scheduler.admit(make_call(_SOUTH, deadline_s))
    urgent = harness.scheduler.admit(make_call(_NORTH, deadline_s, is_urgent=True))
    harness.scheduler.finish(running[0].grant)
    assert urgent.grant is None
    harness.clock.advance(0.3)
    harness.scheduler.finish(running[1].grant)
    assert urgent.grant is not None
