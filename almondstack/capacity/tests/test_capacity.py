"""Planned moves of instances, demand forecasts, and the order of a maintenance wave."""

import pytest

from almondstack.capacity import (
    ArrivalForecast,
    Candidate,
    PoolNeed,
    PoolState,
    WaveMember,
    next_members,
    plan_moves,
)

_SIZE = 16_000


def _candidates(pool, count, used=0, long_running_tasks=0):
    return [Candidate(f"{pool}{n}", _SIZE, used, long_running_tasks) for n in range(count)]


def _pool(name, count, need=None, excess_since_s=None, **fields):
    return PoolState(
        name, need or PoolNeed(), _candidates(name, count, **fields), 0, excess_since_s
    )


def _targets(moves):
    return sorted((move.source, move.target) for move in moves)


def test_burst_is_served_from_the_spare_pool_first():
    hot = _pool("hot", 2, PoolNeed(waiting_millis=80_000))
    idle = _pool("idle", 4, excess_since_s=0.0)
    moves = plan_moves([hot, idle], _candidates("spare", 3), "spare", _SIZE, 10.0)
    assert ("spare", "hot") in _targets(moves)
    assert _targets(moves).count(("spare", "hot")) == 3
    assert ("idle", "hot") in _targets(moves)


def test_idle_pools_shrink_to_the_minimum_only_after_the_hold_time():
    idle = _pool("idle", 6, excess_since_s=9.0)
    assert plan_moves([idle], [], "spare", _SIZE, 10.0) == []
    idle.excess_since_s = 0.0
    assert _targets(plan_moves([idle], [], "spare", _SIZE, 10.0)) == [("idle", "spare")] * 4


def test_an_instance_with_long_running_tasks_is_not_moved():
    idle = _pool("idle", 4, excess_since_s=0.0, long_running_tasks=1)
    assert plan_moves([idle], [], "spare", _SIZE, 10.0) == []


def test_burst_in_its_first_second_is_sized_by_the_arriving_demand():
    hot = _pool("hot", 2, PoolNeed(running_millis=10_000, arriving_millis=96_000.0))
    moves = plan_moves([hot], _candidates("spare", 9), "spare", _SIZE, 0.0)
    assert len(moves) == 5


def test_without_a_spare_pool_excess_instances_stay():
    idle = _pool("idle", 6, excess_since_s=0.0)
    assert plan_moves([idle], [], "", _SIZE, 10.0) == []


def test_a_wave_begins_with_instances_that_are_off_and_ends_with_long_running_tasks():
    members = [
        WaveMember("lasting", long_running_tasks=1, used_millis=900),
        WaveMember("busy", used_millis=100),
        WaveMember("off", is_off=True),
        WaveMember("empty"),
    ]
    names = [member.name for member in next_members(members, down=0, most_at_once=4)]
    assert names == ["off", "empty", "busy", "lasting"]


def test_a_wave_takes_at_most_its_limit_and_one_to_drain_ahead():
    members = [WaveMember(str(number)) for number in range(9)]
    assert len(next_members(members, down=2, most_at_once=2)) == 1
    assert len(next_members(members, down=0, most_at_once=2)) == 3


def test_two_bursts_share_scarce_instances():
    """The backlog of one pool kept 23 of 30 instances while a burst in another pool got none."""
    large = _pool("large", 23, PoolNeed(waiting_millis=600_000), used=16_000)
    other = _pool("other", 3, PoolNeed(waiting_millis=200_000))
    moves = plan_moves([large, other], [], "spare", _SIZE, 0.0)
    assert _targets(moves) == [("large", "other")] * 4


def test_late_work_gets_no_instances_but_keeps_those_that_no_pool_lacks():
    late = _pool("late", 6, PoolNeed(late_millis=64_000), excess_since_s=0.0)
    assert _targets(plan_moves([late], _candidates("spare", 3), "spare", _SIZE, 10.0)) == []
    late.need.late_millis = 0
    assert len(plan_moves([late], [], "spare", _SIZE, 10.0)) == 4


def test_late_work_yields_instances_to_a_burst_in_another_pool_at_once():
    late = _pool("late", 6, PoolNeed(late_millis=90_000))
    hot = _pool("hot", 2, PoolNeed(waiting_millis=60_000))
    moves = plan_moves([late, hot], [], "spare", _SIZE, 0.0)
    assert _targets(moves) == [("late", "hot")] * 3


def _forecast(times_s, *, can_wait=False, core_ms=1_000.0):
    """Return the forecast after jobs that arrive at these times."""
    forecast = ArrivalForecast(lead_s=2.0)
    for time_s in times_s:
        forecast.add(time_s, core_ms, can_wait=can_wait)
    return forecast


def _onset_millis(can_wait):
    """Return the forecast 0.3 s after the start of a burst of 50 jobs a second."""
    return _forecast([10.0 + number * 0.02 for number in range(15)], can_wait=can_wait).millis(10.3)


def test_burst_of_short_jobs_is_forecast_from_its_first_tenths_of_a_second():
    """Short jobs can't wait for instances, so growth within 0.3 s must raise the forecast."""
    assert 37_500.0 <= _onset_millis(can_wait=False) <= 75_000.0


def test_burst_of_jobs_that_can_wait_is_forecast_without_growth():
    """The first half second of a burst counted as if it had lasted a whole half second."""
    assert _onset_millis(can_wait=True) == pytest.approx(50_000.0, rel=0.2)


def test_burst_that_grows_is_forecast_above_its_present_rate():
    """Jobs arrive at 10, 20, then 40 a second; instances ordered now are in service in 2 s."""
    times = [10.0 + number / 10 for number in range(10)]
    times += [11.0 + number / 20 for number in range(20)]
    times += [12.0 + number / 40 for number in range(40)]
    assert _forecast(times).millis(12.99) > 1.5 * 40_000.0


@pytest.mark.parametrize("jobs_per_s", [40, 70, 120, 240])
@pytest.mark.parametrize("jobs", [18, 24, 36])
def test_burst_is_forecast_from_its_first_tens_of_jobs(jobs_per_s, jobs):
    """After half a second of 70 jobs a second the forecast was still that of a smaller burst."""
    times = [10.0 + number / jobs_per_s for number in range(jobs)]
    millis = _forecast(times, can_wait=True).millis(times[-1])
    seen_share = min(1.0, jobs / jobs_per_s / 0.35)
    assert millis >= 0.9 * seen_share * jobs_per_s * 1_000.0
    assert millis <= 1.1 * jobs_per_s * 1_000.0


def test_one_large_job_does_not_double_the_forecast():
    """A single job of 16 times the usual work had made the planner move 40 instances."""
    forecast = _forecast([10.0 + number / 10 for number in range(40)], can_wait=True)
    forecast.add(14.0, 16_000.0)
    assert forecast.millis(14.0) < 2 * 10 * 1_000.0


def test_steady_short_jobs_are_forecast_at_their_rate():
    forecast = _forecast([10.0 + number * 0.05 for number in range(100)])
    assert forecast.millis(14.99) == pytest.approx(20_000.0, rel=0.06)


def test_a_few_short_jobs_after_an_idle_time_are_no_burst():
    forecast = _forecast([10.0 + number * 0.02 for number in range(3)])
    assert forecast.millis(10.1) <= 3_000.0


def test_the_forecast_is_zero_after_a_burst_has_ended():
    forecast = _forecast([10.0 + number * 0.02 for number in range(100)])
    assert forecast.millis(15.1) == 0.0


def test_moves_to_the_spare_pool_at_one_time_are_bounded():
    """14 of 30 instances were moving to the spare pool when a burst began."""
    idle = _pool("idle", 20, excess_since_s=0.0)
    moves = plan_moves([idle], [], "spare", _SIZE, 10.0, max_to_spare=5)
    assert _targets(moves) == [("idle", "spare")] * 5
    assert plan_moves([idle], [], "spare", _SIZE, 10.0, max_to_spare=-1) == []


def test_a_large_excess_after_a_burst_is_given_up_sooner_than_a_small_one():
    """For 6 s after a burst, a pool kept 142 instances with work for 50."""
    over = _pool("over", 30, PoolNeed(waiting_millis=8 * _SIZE), excess_since_s=9.0)
    over.large_excess_since_s = 9.0
    assert plan_moves([over], [], "spare", _SIZE, 9.5) == []
    # The pool wants 10 instances; up to 15 stay until EXCESS_HOLD_S has passed.
    assert len(plan_moves([over], [], "spare", _SIZE, 10.0)) == 30 - 15
    assert len(plan_moves([over], [], "spare", _SIZE, 12.0)) == 30 - 10
