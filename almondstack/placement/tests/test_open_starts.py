"""A task goes where a start of an earlier run of it may still be carried out, or waits."""

import pytest

from almondstack.placement import PoolRound, Usage
from almondstack.placement.open_starts import workers_beside_open_starts
from almondstack.testing.job_builders import make_job, make_step, make_worker

_NOW_S = 100.0
_LATER_S = 113.0


def _workers(*ids):
    workers = [make_worker(id) for id in ids]
    for worker in workers:
        worker.last_answer_s = _NOW_S
    return workers


def _task(*open_on, **fields):
    """Return a task of two, with starts of earlier runs on these workers."""
    task = make_job(make_step(2, **fields)).steps_of(0)[0][0]
    for worker in open_on:
        task.open_starts.note(worker, _LATER_S)
    return task


def _ids(task, workers, now_s=_NOW_S):
    return [worker.id for worker in workers_beside_open_starts(task, workers, now_s)]


def test_a_task_goes_to_the_worker_of_an_open_start_until_it_cannot_arrive():
    """Guards against a second run beside a start that a later life carries out (TWICE)."""
    task = _task("w2")
    assert _ids(task, _workers("w1", "w2")) == ["w2"]
    assert _ids(task, _workers("w1", "w2"), _LATER_S) == ["w1", "w2"]


@pytest.mark.parametrize("is_failed_there", [True, False])
def test_a_task_waits_if_the_worker_of_an_open_start_is_away_or_fails_it(is_failed_there):
    """Guards against attempts that are used up on a worker that fails all that it starts."""
    task = _task("w2")
    if is_failed_there:
        task.failed_on.add("w2")
    assert _ids(task, _workers("w1", "w2") if is_failed_there else _workers("w1")) == []


def test_a_task_waits_until_the_present_life_has_listed_its_runs():
    """Guards against a start on a life that runs an earlier run of the task (TWICE)."""
    (worker,) = _workers("w2")
    worker.last_answer_s = 0.0
    assert _ids(_task("w2"), [worker]) == []


def test_a_task_waits_for_the_end_of_an_earlier_run_that_is_listed():
    """Guards against a start beside an earlier run that is being stopped (TWICE)."""
    task = _task("w2", is_long_running=True)
    first, second = _workers("w1", "w2")
    second.former_tasks = frozenset([task.name])
    assert _ids(task, [first, second]) == []


def test_a_lasting_task_goes_elsewhere_if_the_worker_of_an_open_start_is_away():
    """Guards against a lasting task that stands still for 13 s beside idle workers (LOST)."""
    task = _task("w2", is_long_running=True)
    assert _ids(task, _workers("w1", "w2")) == ["w2"]
    assert _ids(task, _workers("w1")) == ["w1"]


def test_other_tasks_of_its_step_do_not_wait():
    """Guards against a step that stands still for one of its tasks (LOST)."""
    held = _task("w9")
    placed = PoolRound(_workers("w1", "w2"), Usage({}), _NOW_S).place(held.siblings)
    assert [task.name for one in placed for task in one.tasks] == [held.siblings[1].name]


def test_a_gang_has_its_member_on_the_worker_of_an_open_start():
    """Guards against a member of a gang that runs twice (TWICE)."""
    held = _task("w1", is_gang=True)
    held.siblings[1].open_starts.note("w2", _LATER_S)
    placed = PoolRound(_workers("w2", "w1"), Usage({}), _NOW_S).place(held.siblings)
    assert [worker.id for worker in placed[0].workers] == ["w1", "w2"]
    alone = PoolRound(_workers("w1", "w3"), Usage({}), _NOW_S)
    gang = _task("w2", is_gang=True).siblings
    assert alone.place(gang) == [] and alone.reservations == []
