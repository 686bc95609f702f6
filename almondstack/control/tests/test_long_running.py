"""When long-running tasks may be interrupted."""

import pytest

from almondstack.control.long_running import may_interrupt
from almondstack.testing.job_builders import assign, make_job, make_step, make_table, make_worker


def _step_of_three(limit):
    job = make_job(make_step(3, is_long_running=True, max_unavailable=limit))
    workers = [make_worker(f"w{number}") for number in range(3)]
    table = make_table(job, workers=tuple(workers))
    tasks = job.steps_of(0)[0]
    for task, worker in zip(tasks, workers, strict=True):
        assign(table, task, worker)
        task.is_confirmed = task.is_at_work = True
    return tasks, table.workers


def test_one_of_three_may_be_interrupted_while_the_others_are_at_work():
    tasks, workers = _step_of_three(1)
    assert may_interrupt(tasks[0], workers, 10.0)


@pytest.mark.parametrize("field", ["is_at_work", "is_confirmed"])
def test_none_may_be_interrupted_while_another_is_unavailable(field):
    tasks, workers = _step_of_three(1)
    setattr(tasks[1], field, False)
    assert not may_interrupt(tasks[0], workers, 10.0)


def test_a_task_that_was_just_placed_again_counts_as_unavailable():
    tasks, workers = _step_of_three(1)
    tasks[1].assigned_s = 9.5
    assert not may_interrupt(tasks[0], workers, 10.0)


def test_a_limit_of_zero_allows_no_interruption_and_no_limit_allows_all():
    tasks, workers = _step_of_three(0)
    assert not may_interrupt(tasks[0], workers, 10.0)
    tasks, workers = _step_of_three(None)
    assert may_interrupt(tasks[0], workers, 0.0)


def test_none_may_be_interrupted_while_the_worker_of_another_is_unreachable():
    """Tasks in an unreachable rack counted as at work, so one more was interrupted than allowed."""
    tasks, workers = _step_of_three(1)
    workers["w1"].is_reachable = False
    assert not may_interrupt(tasks[0], workers, 10.0)
    workers["w1"].is_reachable = True
    del workers["w2"]
    assert not may_interrupt(tasks[0], workers, 10.0)
