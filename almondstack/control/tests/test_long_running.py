"""When lasting tasks may be moved."""

import pytest

from almondstack.control.long_running import may_interrupt
from almondstack.testing.job_builders import assign, make_job, make_step, make_table, make_worker


def _step_of_three(bound):
    job = make_job(make_step(3, is_long_running=True, max_unavailable=bound))
    workers = [make_worker(f"w{number}") for number in range(3)]
    table = make_table(job, workers=tuple(workers))
    tasks = job.steps_of(0)[0]
    for task, worker in zip(tasks, workers, strict=True):
        assign(table, task, worker)
        task.is_confirmed = task.is_at_work = True
    return tasks, table.workers


def test_one_of_three_may_go_while_the_others_are_at_work():
    tasks, workers = _step_of_three(1)
    assert may_interrupt(tasks[0], workers, 10.0)


@pytest.mark.parametrize("field", ["is_at_work", "is_confirmed"])
def test_none_may_go_while_another_is_away(field):
    tasks, workers = _step_of_three(1)
    setattr(tasks[1], field, False)
    assert not may_interrupt(tasks[0], workers, 10.0)


def test_one_that_was_only_just_placed_again_still_counts_as_away():
    tasks, workers = _step_of_three(1)
    tasks[1].assigned_s = 9.5
    assert not may_interrupt(tasks[0], workers, 10.0)


def test_a_bound_of_none_lets_nobody_go_and_no_bound_lets_all():
    tasks, workers = _step_of_three(0)
    assert not may_interrupt(tasks[0], workers, 10.0)
    tasks, workers = _step_of_three(None)
    assert may_interrupt(tasks[0], workers, 0.0)


def test_none_may_go_while_the_worker_of_another_does_not_answer():
    """A rack was dark at 9.8 s, its tasks counted as at work, and a third was ended at 15.3 s.

    AVAIL on trouble-2 of magnolia-pay-grown and trouble-1 of lbna-almond-grown.
    """
    tasks, workers = _step_of_three(1)
    workers["w1"].is_reachable = False
    assert not may_interrupt(tasks[0], workers, 10.0)
    workers["w1"].is_reachable = True
    del workers["w2"]
    assert not may_interrupt(tasks[0], workers, 10.0)
