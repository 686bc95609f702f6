"""Workers that are reserved for tasks without room: which, how many and for how long."""

import time

import pytest

from almondstack.control.planning import Planner
from almondstack.placement import Policies, PoolRound, Resources, Usage
from almondstack.placement.reservations import ReservationLimits, used_share
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    assign,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)

_GB = 1_000


def _lasting(memory_mb, id):
    return make_job(make_step(is_long_running=True, cpu_millis=500, memory_mb=memory_mb), id=id)


def _place(pool, job):
    return pool.place(job.steps_of(0)[0])


def _workers(count):
    return [make_worker(f"w{n}", capacity=Resources(16_000, 64 * _GB)) for n in range(count)]


def test_lasting_tasks_without_room_keep_no_other_task_waiting():
    """Guards against lasting tasks that stop all other work of their service (review/7).

    Three tasks that found no room reserved all three workers in each round, where other
    lasting tasks took the room that they waited for: 20 of 20 small jobs never started.
    """
    workers = _workers(3)
    usage = Usage({})
    for number, memory_mb in enumerate((26 * _GB, 26 * _GB, 40 * _GB)):
        _place(PoolRound([workers[number]], usage, 0.0), _lasting(memory_mb, f"l{number}"))
    pool = PoolRound(workers, usage, 0.0)
    for number in range(3):
        assert _place(pool, _lasting(40 * _GB, f"large{number}")) == []
    assert pool.reservations == []
    assert _place(pool, make_job(make_step(cpu_millis=500, memory_mb=100), id="small"))


def test_a_lasting_task_that_is_being_stopped_leaves_its_room():
    worker = _workers(1)[0]
    leaving = _lasting(40 * _GB, "leaving")
    _place(PoolRound([worker], Usage({}), 0.0), leaving)
    leaving.steps_of(0)[0][0].is_stopping = True
    pool = PoolRound([worker], Usage({}), 0.0)
    assert _place(pool, _lasting(40 * _GB, "large")) == []
    assert [reserved.id for _, reserved in pool.reservations] == ["w0"]


@pytest.mark.parametrize("count, reserved", [(1, 1), (2, 1), (3, 1), (6, 3), (12, 4)])
def test_at_most_half_of_the_workers_are_reserved(count, reserved):
    """Guards against tasks without room that reserve a whole pool (review/7)."""
    workers = _workers(count)
    usage = Usage({})
    for number, worker in enumerate(workers):
        _place(PoolRound([worker], usage, 0.0), make_job(id=f"short{number}"))
    pool = PoolRound(workers, usage, 0.0)
    for number in range(count):
        _place(pool, make_job(make_step(cpu_millis=16_000), id=f"large{number}"))
    assert len(pool.reservations) == reserved


def _starts_by_time(cpu_millis, until_s):
    """Return when small jobs start beside a run that never ends and a large task without room."""
    worker = make_worker(cpu_millis=4_000)
    present = make_job(make_step(cpu_millis=cpu_millis), id="present")
    large = make_job(make_step(cpu_millis=4_000), id="large", accepted_ms=1)
    table = make_table(present, large, workers=(worker,))
    assign(table, present.steps_of(0)[0][0], worker)
    policies = Policies(1, {"q": make_policy()}, {}, {"p": False})
    planner = Planner(table, AllowAllAdvisor(), lambda: policies)
    small = make_job(make_step(cpu_millis=100), id="small", accepted_ms=int(time.time() * 1000))
    table.jobs["small"] = small
    for tenth in range(int(until_s * 10)):
        started = planner.plan(tenth / 10, 0.0)
        if any(task.job is small for task in started):
            return tenth / 10
    return None


def test_a_task_without_room_holds_up_small_ones_for_less_than_three_seconds():
    """Guards against a reservation without an end while half of a pool is unused (review/7)."""
    assert 1.0 < _starts_by_time(1_000, 30.0) < 3.0


def test_in_a_busy_pool_a_reservation_lasts_longer_but_ends():
    assert 5.0 < _starts_by_time(3_000, 30.0) < 15.0


def test_a_pool_in_which_nothing_waits_starts_a_new_stretch():
    limits = ReservationLimits()
    limits.note_round("p", True, 0.0)
    limits.retain([])
    assert limits.may_reserve("p", 0.9, 60.0)


def test_the_used_share_is_that_of_the_scarcest_resource():
    worker = _workers(1)[0]
    _place(PoolRound([worker], Usage({}), 0.0), _lasting(48 * _GB, "l"))
    assert used_share([worker]) == pytest.approx(0.75)
    assert used_share([]) == 0
