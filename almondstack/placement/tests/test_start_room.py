"""A worker gets no more starts than it can be told within a fraction of a second."""

import pytest

from almondstack.placement import PoolRound, Usage
from almondstack.testing.job_builders import make_job, make_step, make_worker


def _workers(*rooms):
    workers = [make_worker(f"w{number}") for number in range(len(rooms))]
    for worker, room in zip(workers, rooms, strict=True):
        worker.start_room = room
    return workers


def _placed(pool_round, step):
    tasks = make_job(step).steps_of(0)[0]
    return [worker.id for one in pool_round.place(tasks) for worker in one.workers]


def test_small_tasks_go_to_several_workers_if_one_has_many_starts_to_be_told():
    """Guards against 3,000 starts that wait for one worker (review/11, LOST)."""
    pool_round = PoolRound(_workers(2, 1, 0), Usage({}), 0.0)
    assert _placed(pool_round, make_step(9, cpu_millis=1)) == ["w0", "w0", "w1"]


def test_a_worker_with_room_is_not_reserved_while_it_is_told_of_others():
    """Guards against a worker kept free for tasks that have room (LOST)."""
    pool_round = PoolRound(_workers(1, 0), Usage({}), 0.0)
    assert _placed(pool_round, make_step(3, cpu_millis=1)) == ["w0"]
    assert pool_round.reservations == [] and pool_round.blocked == []


def test_a_task_that_no_worker_has_room_for_still_reserves_one():
    """Guards against large tasks that starve (LOST)."""
    workers = _workers(None, None)
    workers[0].put(make_job(make_step(1, cpu_millis=2_000)).steps_of(0)[0][0])
    workers[1].put(make_job(make_step(1, cpu_millis=2_000)).steps_of(0)[0][0])
    pool_round = PoolRound(workers, Usage({}), 0.0)
    assert _placed(pool_round, make_step(1, cpu_millis=3_000)) == []
    assert len(pool_round.reservations) == 1


@pytest.mark.parametrize("room", [0, 1])
def test_a_gang_is_placed_as_a_whole_whatever_waits(room):
    """Guards against a gang that is wider than the bound and never starts (LOST)."""
    pool_round = PoolRound(_workers(room), Usage({}), 0.0)
    assert _placed(pool_round, make_step(3, is_gang=True)) == ["w0"] * 3
