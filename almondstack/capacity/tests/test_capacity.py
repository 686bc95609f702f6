"""Where instances go when demand moves, and how a wave goes through a pool."""

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


def test_quiet_pools_are_emptied_to_the_least_only_after_a_while():
    idle = _pool("idle", 6, excess_since_s=9.0)
    assert plan_moves([idle], [], "spare", _SIZE, 10.0) == []
    idle.excess_since_s = 0.0
    assert _targets(plan_moves([idle], [], "spare", _SIZE, 10.0)) == [("idle", "spare")] * 4


def test_an_instance_with_lasting_tasks_stays():
    idle = _pool("idle", 4, excess_since_s=0.0, long_running_tasks=1)
    assert plan_moves([idle], [], "spare", _SIZE, 10.0) == []


def test_the_first_second_of_a_burst_counts_what_arrives():
    hot = _pool("hot", 2, PoolNeed(running_millis=10_000, arriving_millis=96_000.0))
    moves = plan_moves([hot], _candidates("spare", 9), "spare", _SIZE, 0.0)
    assert len(moves) == 5


def test_without_a_spare_pool_instances_go_only_where_they_are_wanted():
    idle = _pool("idle", 6, excess_since_s=0.0)
    assert plan_moves([idle], [], "", _SIZE, 10.0) == []


def test_a_wave_begins_with_what_is_off_and_ends_with_lasting_tasks():
    members = [
        WaveMember("lasting", long_running_tasks=1, used_millis=900),
        WaveMember("busy", used_millis=100),
        WaveMember("off", is_off=True),
        WaveMember("empty"),
    ]
    names = [member.name for member in next_members(members, down=0, most_at_once=4)]
    assert names == ["off", "empty", "busy", "lasting"]


def test_a_wave_never_takes_more_than_it_may_and_one_to_empty_ahead():
    members = [WaveMember(str(number)) for number in range(9)]
    assert len(next_members(members, down=2, most_at_once=2)) == 1
    assert len(next_members(members, down=0, most_at_once=2)) == 3


def test_two_bursts_share_what_there_is():
    """One pool's backlog held 23 of 30 instances while another's burst got none."""
    hog = _pool("hog", 23, PoolNeed(waiting_millis=600_000), used=16_000)
    other = _pool("other", 3, PoolNeed(waiting_millis=200_000))
    moves = plan_moves([hog, other], [], "spare", _SIZE, 0.0)
    assert _targets(moves) == [("hog", "other")] * 4


def test_late_work_gets_no_instances_but_keeps_those_that_nobody_lacks():
    late = _pool("late", 6, PoolNeed(late_millis=64_000), excess_since_s=0.0)
    assert _targets(plan_moves([late], _candidates("spare", 3), "spare", _SIZE, 10.0)) == []
    late.need.late_millis = 0
    assert len(plan_moves([late], [], "spare", _SIZE, 10.0)) == 4


def test_late_work_gives_way_to_a_burst_elsewhere_at_once():
    late = _pool("late", 6, PoolNeed(late_millis=90_000))
    hot = _pool("hot", 2, PoolNeed(waiting_millis=60_000))
    moves = plan_moves([late, hot], [], "spare", _SIZE, 0.0)
    assert _targets(moves) == [("late", "hot")] * 3


def _forecast(times_s, *, can_wait=False, core_ms=1_000.0):
    """Return the forecast of jobs that came at these times."""
    forecast = ArrivalForecast(lead_s=2.0)
    for time_s in times_s:
        forecast.add(time_s, core_ms, can_wait=can_wait)
    return forecast


def _onset_millis(can_wait):
    """Return what is expected 0.3 s after a burst has begun, with five jobs a tenth of a second."""
    return _forecast([10.0 + number * 0.02 for number in range(15)], can_wait=can_wait).millis(10.3)


def test_burst_of_short_jobs_is_seen_when_it_begins():
    """Short jobs can't wait for instances, so their first tenths of a second must count in full."""
    assert 37_500.0 <= _onset_millis(can_wait=False) <= 75_000.0


def test_burst_of_jobs_that_can_wait_is_followed_at_the_plain_rate():
    assert _onset_millis(can_wait=True) == pytest.approx(30_000.0)


def test_burst_that_grows_is_met_before_its_peak():
    """Jobs come 10, 20, 40 a second; instances ordered now work in 2 s (quiet-1 from 16 s)."""
    times = [10.0 + number / 10 for number in range(10)]
    times += [11.0 + number / 20 for number in range(20)]
    times += [12.0 + number / 40 for number in range(40)]
    assert _forecast(times).millis(12.99) > 1.5 * 40_000.0


def test_burst_of_a_few_large_jobs_is_not_taken_for_many():
    """A job sixteen times as large as most sent forty instances (lbna-almond quiet-1, 19.9 s)."""
    forecast = _forecast([10.0 + number / 10 for number in range(40)], can_wait=True)
    forecast.add(14.0, 16_000.0)
    assert forecast.millis(14.0) < 2 * 10 * 1_000.0


def test_steady_short_jobs_are_not_taken_for_a_burst():
    forecast = _forecast([10.0 + number * 0.05 for number in range(100)])
    assert forecast.millis(14.99) == pytest.approx(20_000.0, rel=0.06)


def test_a_few_short_jobs_after_silence_are_not_taken_for_a_burst():
    forecast = _forecast([10.0 + number * 0.02 for number in range(3)])
    assert forecast.millis(10.1) <= 3_000.0


def test_a_burst_that_ends_asks_for_nothing_more():
    forecast = _forecast([10.0 + number * 0.02 for number in range(100)])
    assert forecast.millis(15.1) == 0.0


def test_burst_that_begins_finds_instances_that_are_not_on_their_way_to_the_spare_pool():
    """Fourteen of thirty left for the spare pool as a burst began (lbna-almond quiet-1, 3 s)."""
    idle = _pool("idle", 20, excess_since_s=0.0)
    moves = plan_moves([idle], [], "spare", _SIZE, 10.0, max_to_spare=5)
    assert _targets(moves) == [("idle", "spare")] * 5
    assert plan_moves([idle], [], "spare", _SIZE, 10.0, max_to_spare=-1) == []


def test_burst_that_is_over_leaves_far_too_much_for_a_short_time_only():
    """A pool had 142 instances and work for 50, for 6 s after its burst (trouble-3, 26 s)."""
    over = _pool("over", 30, PoolNeed(waiting_millis=8 * _SIZE), excess_since_s=9.0)
    over.large_excess_since_s = 9.0
    assert plan_moves([over], [], "spare", _SIZE, 9.5) == []
    # It wants ten, half as many more stay for a while.
    assert len(plan_moves([over], [], "spare", _SIZE, 10.0)) == 30 - 15
    assert len(plan_moves([over], [], "spare", _SIZE, 12.0)) == 30 - 10
