"""Shares, waits and bounds with the real scheduler on a clock moved by hand."""

import pytest

from almondstack.bench.path_simulation import Load, PoolSimulation
from almondstack.bench.share_distance import report_shares
from almondstack.core import Reason, RequestError
from almondstack.model import Team
from almondstack.queueing import (
    QueueingSettings,
    RunTimeEstimator,
    TeamUsage,
    UsageBook,
    UsageReport,
)
from almondstack.testing.clocks import ManualClock
from almondstack.testing.scheduling import SchedulerKit, make_call

_NORTH = Team(name="north", share=1, ceiling=64)
_SOUTH = Team(name="south", share=3, ceiling=64)


def test_share_distance_is_bounded_under_backlog():
    teams = (_NORTH, _SOUTH, Team(name="east", share=2, ceiling=64))
    load = Load(teams=teams, parts=(1, 1, 1), entries=1, instances=2, seconds=15)
    report = report_shares(load, PoolSimulation(load, QueueingSettings()).run())
    assert report.use > 0.99
    assert report.p95 < 0.1


def test_team_that_runs_elsewhere_gets_less_here():
    clock = ManualClock()
    book = UsageBook("e1", clock)
    kit = SchedulerKit((_NORTH, _SOUTH), slots=4, usage=book, clock=clock)
    deadline_s = clock.monotonic() + 1000
    for _ in range(40):
        kit.scheduler.admit(make_call(_NORTH, deadline_s))
        kit.scheduler.admit(make_call(_SOUTH, deadline_s))
    running = [kit.scheduler.running_count("score", name) for name in ("north", "south")]
    book.take(UsageReport("e2", (TeamUsage("score", "south", 24),)))
    items = _run_for(kit, book, seconds=8)
    assert items > 0
    after = [kit.scheduler.running_count("score", name) for name in ("north", "south")]
    assert after[0] > running[0] and after[1] < running[1]


def _run_for(kit, book, seconds):
    """End one call every 50 ms and refill both queues; return how many ended."""
    ended = 0
    deadline_s = kit.clock.monotonic() + 1000
    items = []
    for step in range(int(seconds / 0.05)):
        kit.clock.advance(0.05)
        book.take(UsageReport("e2", (TeamUsage("score", "south", 24),)))
        for team in (_NORTH, _SOUTH):
            items.append(kit.scheduler.admit(make_call(team, deadline_s)))
        pool = kit.scheduler._pools["score"]
        grants = [i.grant for i in items if i.grant is not None and not i.grant.is_finished]
        if grants:
            kit.scheduler.finish(grants[step % len(grants)])
            ended += 1
        elif pool.waiting_count:
            _finish_oldest(kit)
    return ended


def _finish_oldest(kit):
    """End a call that was started before the loop."""
    for item in list(kit.scheduler._by_id.values()):
        if item.grant is not None:
            kit.scheduler.finish(item.grant)
            return


def test_report_that_is_not_renewed_is_forgotten():
    clock = ManualClock()
    book = UsageBook("e1", clock)
    book.take(UsageReport("e2", (TeamUsage("score", "north", 5),)))
    assert book.running_elsewhere("score", "north") == 5
    clock.advance(10)
    assert book.running_elsewhere("score", "north") == 0


def test_wait_beyond_the_deadline_is_refused_with_a_time_to_come_back():
    kit = SchedulerKit((_NORTH,), instances=1, slots=1)
    deadline_s = kit.clock.monotonic() + 1000
    for _ in range(10):
        item = kit.scheduler.admit(make_call(_NORTH, deadline_s))
        kit.clock.advance(1.0)
        kit.scheduler.finish(item.grant, 1.0)
    for _ in range(8):
        kit.scheduler.admit(make_call(_NORTH, deadline_s))
    with pytest.raises(RequestError) as caught:
        kit.scheduler.admit(make_call(_NORTH, kit.clock.monotonic() + 4))
    assert caught.value.reason is Reason.WAIT_EXCEEDS_DEADLINE
    assert 2 <= caught.value.retry_after_s <= 10


@pytest.mark.parametrize("factor", [0.1, 10.0])
def test_estimate_recovers_from_run_times_that_change_tenfold(factor):
    estimator = RunTimeEstimator()
    for _ in range(200):
        estimator.learn(1.0, bound_s=60.0)
    for _ in range(100):
        estimator.learn(factor, bound_s=60.0)
    assert estimator.mean_s == pytest.approx(factor, rel=0.2)
    assert estimator.high_s == pytest.approx(factor, rel=0.35)


def test_bounds_per_team_and_per_pool():
    settings = QueueingSettings(max_waiting=3, max_waiting_per_team=2)
    kit = SchedulerKit((_NORTH, _SOUTH), instances=1, slots=1, settings=settings)
    deadline_s = kit.clock.monotonic() + 1000
    reasons = []
    for team in (_NORTH, _NORTH, _NORTH, _NORTH, _SOUTH, _SOUTH):
        try:
            kit.scheduler.admit(make_call(team, deadline_s))
        except RequestError as error:
            reasons.append(error.reason)
    assert reasons == [Reason.TEAM_QUEUE_FULL, Reason.QUEUE_FULL]


def test_urgent_call_overdraws_its_team_after_a_while():
    kit = SchedulerKit((_NORTH, _SOUTH), instances=1, slots=4)
    deadline_s = kit.clock.monotonic() + 1000
    running = [kit.scheduler.admit(make_call(_NORTH, deadline_s)) for _ in range(4)]
    for _ in range(5):
        kit.scheduler.admit(make_call(_SOUTH, deadline_s))
    urgent = kit.scheduler.admit(make_call(_NORTH, deadline_s, is_urgent=True))
    kit.scheduler.finish(running[0].grant)
    assert urgent.grant is None
    kit.clock.advance(0.3)
    kit.scheduler.finish(running[1].grant)
    assert urgent.grant is not None
