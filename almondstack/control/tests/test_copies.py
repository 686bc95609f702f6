"""Workers that don't answer, and tasks of which copies may run side by side."""

import pytest

from almondstack.jobs import TaskKey, TaskStatus
from almondstack.placement import AccountPolicy, Resources
from almondstack.testing.job_builders import (
    JOB_ID,
    assign,
    look,
    make_job,
    make_step,
    make_table,
    make_worker,
    running,
)


def _world(**fields):
    job, worker = make_job(make_step(**fields)), make_worker()
    table = make_table(job, workers=(worker,))
    task = job.task(TaskKey(0, 0, 0))
    assign(table, task, worker)
    worker.heard_s = 10.0
    return table, worker, task


def test_cut_off_a_task_that_may_be_copied_waits_no_longer_for_its_worker():
    table, worker, task = _world(is_speculative=True)
    table.abandon_copies(worker.id, until_s=16.0, now_s=12.0)
    assert task.status is TaskStatus.WAITING
    assert not worker.is_open(15.9) and worker.is_open(16.1)


def test_silent_a_worker_that_was_slow_to_answer_once_keeps_its_runs():
    table, worker, task = _world(is_speculative=True)
    table.abandon_copies(worker.id, until_s=16.0, now_s=11.0)
    assert task.is_assigned


@pytest.mark.parametrize("fields", [{}, {"is_speculative": True, "is_gang": True}])
def test_tasks_that_run_once_at_a_time_wait_for_the_end_of_the_lease(fields):
    table, worker, task = _world(**fields)
    table.abandon_copies(worker.id, until_s=16.0, now_s=14.0)
    assert task.is_assigned


def test_the_copy_out_of_reach_counts_for_its_account_until_it_must_have_ended():
    table, worker, task = _world(is_speculative=True)
    ceiling = {"a": AccountPolicy("a", ceiling=Resources(1_500, 0))}
    table.usage.use(ceiling)
    table.abandon_copies(worker.id, until_s=16.0, now_s=12.0)
    one_task = Resources(1_000, 0)
    assert not table.usage.allows("a", one_task)
    table.usage.drop_kept(15.0)
    assert not table.usage.allows("a", one_task)
    table.usage.drop_kept(16.0)
    assert table.usage.allows("a", one_task)


def test_a_copy_that_is_still_there_when_its_worker_answers_is_stopped():
    table, worker, task = _world(is_speculative=True)
    listed = running(task)
    table.abandon_copies(worker.id, until_s=16.0, now_s=12.0)
    table.note_look(worker, 13.0, look(running=(listed,)), 13.1)
    assert (worker.id, f"{JOB_ID}.0.0.0", 1) in table._orders.stops
    assert task.status is TaskStatus.WAITING
