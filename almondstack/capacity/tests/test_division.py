"""Sizes of the pools of a short fleet, by what their accounts are entitled to."""

from almondstack.capacity import (
    HEADROOM,
    Candidate,
    HeldNeed,
    PoolNeed,
    PoolState,
    TargetHold,
    plan_moves,
)
from almondstack.capacity.division import divided_targets

_SIZE = 16_000
_MOVE_S = 1.5


def _need(asked, entitled, *, lasting=0):
    """Return a need in whole instances."""
    need = PoolNeed(lasting * _SIZE, waiting_millis=asked * _SIZE)
    need.entitled = PoolNeed(lasting * _SIZE, waiting_millis=int(entitled * _SIZE / HEADROOM))
    return need


def _pool(name, count, need, *, ends_in_s=0.0, is_draining=False, coming=0, lasting=0):
    candidates = [
        Candidate(f"{name}{number}", _SIZE, _SIZE, lasting, ends_in_s, is_draining)
        for number in range(count)
    ]
    return PoolState(name, need, candidates, coming)


def _targets(*pools, spares=0):
    return divided_targets(list(pools), spares + sum(pool.size for pool in pools), _SIZE)


def _moved(*pools):
    return [(move.source, move.target) for move in plan_moves(list(pools), [], "", _SIZE, 0.0)]


def test_flood_in_one_pool_is_owed_its_share_and_not_a_proportion_of_its_demand():
    """Guards against 101 to 131 instances for a flood beside 13 for a pool that asked for 119."""
    flooded = _pool("flooded", 26, _need(400, 10))
    burst = _pool("burst", 4, _need(22, 20))
    assert _targets(flooded, burst) == {"flooded": 10, "burst": 20}


def test_burst_a_pool_gets_what_it_is_owed_although_its_first_jobs_will_be_late():
    """Guards against a pool that lags behind its burst: later jobs need the instances."""
    flooded = _pool("flooded", 26, _need(400, 10))
    burst = _pool("burst", 4, _need(22, 20))
    burst.held = HeldNeed(20, 20)
    assert _targets(flooded, burst)["burst"] == 20


def test_a_moments_rise_of_a_need_brings_no_instances_yet():
    burst = _pool("burst", 4, _need(22, 20))
    burst.held = HeldNeed(20, 8)
    assert _targets(_pool("flooded", 26, _need(400, 10)), burst)["burst"] == 8


def test_instances_that_nobody_is_owed_stay_where_they_are_wanted():
    """Guards against moves for demand that waits anyway: they cost more than they bring."""
    flooded = _pool("flooded", 20, _need(400, 10))
    other = _pool("other", 10, _need(400, 5))
    assert _targets(flooded, other) == {"flooded": 20, "other": 10}


def test_an_instance_that_nobody_is_owed_goes_to_whoever_wants_it():
    flooded = _pool("flooded", 10, _need(400, 10))
    idle = _pool("idle", 20, _need(1, 1))
    assert _targets(flooded, idle) == {"flooded": 28, "idle": 2}


def test_a_fleet_that_has_all_that_is_wanted_gives_it():
    assert _targets(_pool("a", 10, _need(8, 3)), _pool("b", 10, _need(4, 2))) == {"a": 10, "b": 5}


def test_less_than_is_owed_is_reduced_alike_but_not_below_lasting_work():
    """The case of a lost zone, while entitlements still count its instances."""
    lasting = _pool("lasting", 9, _need(10, 8, lasting=6))
    other = _pool("other", 9, _need(40, 20))
    targets = _targets(lasting, other)
    assert targets["lasting"] >= 6 and targets["other"] > 2
    assert sum(targets.values()) <= 18


def test_too_few_instances_even_for_the_minimum_reduce_nothing():
    targets = _targets(_pool("a", 1, _need(40, 9)), _pool("b", 1, _need(40, 7)))
    assert targets == {"a": 9, "b": 7}


def test_short_runs_let_an_instance_go_at_once():
    flooded = _pool("flooded", 16, _need(400, 10), ends_in_s=0.5 * _MOVE_S)
    burst = _pool("burst", 14, _need(30, 20), ends_in_s=9.0)
    assert _moved(flooded, burst) == [("flooded", "burst")] * 6


def test_instances_with_longer_runs_are_drained_only_for_a_large_difference():
    near = _pool("flooded", 12, _need(400, 10), ends_in_s=9.0)
    assert _moved(near, _pool("burst", 18, _need(30, 20), ends_in_s=9.0)) == []
    far = _pool("flooded", 16, _need(400, 10), ends_in_s=9.0)
    assert _moved(far, _pool("burst", 14, _need(30, 20))) == [("flooded", "burst")] * 3


def test_an_instance_that_drains_goes_on_draining():
    """Guards against draining that is begun and given up again, which serves neither pool."""
    burst = _pool("burst", 19, _need(30, 20), ends_in_s=9.0)
    flooded = _pool("flooded", 11, _need(400, 10), ends_in_s=9.0)
    flooded.candidates[7].is_draining = True
    moves = plan_moves([flooded, burst], [], "", _SIZE, 0.0)
    assert [move.instance for move in moves] == ["flooded7"]


def test_moves_at_one_time_are_bounded():
    flooded = _pool("flooded", 90, _need(400, 10))
    burst = _pool("burst", 2, _need(300, 80), coming=8)
    assert len(_moved(flooded, burst)) == 40 - 8


def test_an_instance_with_long_running_tasks_is_not_moved_in_a_shortage():
    assert _moved(_pool("a", 26, _need(400, 10), lasting=1), _pool("b", 4, _need(30, 20))) == []


def test_a_moments_need_moves_nothing_and_takes_nothing_away():
    hold = TargetHold()
    for tenth in range(4):
        held = hold.note("p", HeldNeed(9, 9), 10.0 + tenth / 10)
    assert held == (9, 9)
    assert hold.note("p", HeldNeed(3, 3), 10.4) == (9, 3)
    assert hold.note("p", HeldNeed(12, 12), 10.5) == (12, 3)
    assert hold.note("p", HeldNeed(12, 12), 10.6) == (12, 12)
    assert hold.note("p", HeldNeed(3, 3), 11.2) == (3, 3)
    hold.clear()
    assert hold.note("p", HeldNeed(5, 4), 11.7) == (5, 4)
