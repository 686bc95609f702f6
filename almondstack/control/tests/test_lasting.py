"""When lasting tasks may be moved."""

import pytest

from almondstack.control.lasting import may_interrupt
from almondstack.testing.job_builders import assign, make_job, make_step, make_table, make_worker


def _step_of_three(bound):
    job = make_job(make_step(3, is_long_running=True, max_unavailable=bound))
    worker = make_worker()
    table = make_table(job, workers=(worker,))
    tasks = job.steps_of(0)[0]
    for task in tasks:
        assign(table, task, worker)
        task.is_confirmed = task.is_at_work = True
    return tasks


def test_one_of_three_may_go_while_the_others_are_at_work():
    assert may_interrupt(_step_of_three(1)[0], 10.0)


@pytest.mark.parametrize("field", ["is_at_work", "is_confirmed"])
def test_none_may_go_while_another_is_away(field):
    tasks = _step_of_three(1)
    setattr(tasks[1], field, False)
    assert not may_interrupt(tasks[0], 10.0)


def test_one_that_was_only_just_placed_again_still_counts_as_away():
    tasks = _step_of_three(1)
    tasks[1].assigned_s = 9.5
    assert not may_interrupt(tasks[0], 10.0)


def test_a_bound_of_none_lets_nobody_go_and_no_bound_lets_all():
    assert not may_interrupt(_step_of_three(0)[0], 10.0)
    assert may_interrupt(_step_of_three(None)[0], 0.0)
