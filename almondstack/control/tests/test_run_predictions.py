"""What is learned from ended runs changes objective, backlog, demand and stalls of open jobs."""

import random

import pytest

from almondstack.control.run_predictions import _JOBS_PER_ROUND, RunPredictions
from almondstack.control.tests.test_stall_detector import _Pool
from almondstack.core import LocalMetrics
from almondstack.jobs import RunEnd, TaskKey
from almondstack.placement import objective_s
from almondstack.placement.backlog import Backlog
from almondstack.placement.order import is_late
from almondstack.testing.job_builders import (
    RecordingEvents,
    assign,
    ended,
    look,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)


def _predictions(*jobs, workers=()):
    table = make_table(*jobs, workers=workers)
    return RunPredictions(table, RecordingEvents(), LocalMetrics()), table


def _teach(predictions, took_ms, runs=30, **fields):
    task = make_job(make_step(**fields)).steps_of(0)[0][0]
    for _ in range(runs):
        predictions.note_end(task, took_ms)


def test_a_new_owner_starts_with_no_knowledge_and_jobs_keep_their_declared_times():
    job = make_job(make_step(2), make_step(after=(0,)))
    predictions, _ = _predictions(job)
    predictions.predict(job)
    predictions.run_round(1.0)
    assert job.chain_ms == 2_000 and job.remaining_chain_ms(1) == 1_000


def test_declarations_off_by_half_objective_and_slack_follow_the_actual_work():
    job = make_job(make_step(2), make_step(after=(0,)), accepted_ms=0)
    predictions, _ = _predictions(job)
    policy = make_policy()
    assert is_late(job, policy, 1_600.0)
    _teach(predictions, 2_000)
    predictions.predict(job)
    assert objective_s(job, policy) == pytest.approx(1.5 * 4.0 + 0.5, rel=0.1)
    assert not is_late(job, policy, 1_600.0) and is_late(job, policy, 3_500.0)


def test_burst_the_backlog_adds_up_mean_times():
    job = make_job(make_step(40))
    predictions, _ = _predictions(job)
    _teach(predictions, 3_000)
    predictions.predict(job)
    list(job.ready_steps(0.0))
    backlog = Backlog(room_millis=4_000)
    backlog.add(job)
    backlog.note_waiting()
    assert 27_000 < backlog.waits_ms({})["a"] < 34_000


def test_jobs_that_declare_nothing_are_predicted_from_the_runs_that_ended():
    short = make_step(4, estimate_ms=0)
    job = make_job(short, make_step(after=(0,), is_filler=True, estimate_ms=0))
    predictions, _ = _predictions(job)
    _teach(predictions, 3_000, estimate_ms=0)
    predictions.predict(job)
    assert job.median_ms(0) == pytest.approx(3_000, rel=0.1)
    assert job.mean_ms(0) == pytest.approx(3_000, rel=0.1)
    assert job.median_ms(1) == job.mean_ms(1) == 0.0


def test_burst_open_jobs_are_predicted_anew_in_turn():
    jobs = [make_job(id=f"{number:016x}") for number in range(_JOBS_PER_ROUND + 1)]
    predictions, _ = _predictions(*jobs)
    _teach(predictions, 3_000)
    predictions.run_round(1.0)
    assert sum(job.chain_ms > 2_000 for job in jobs) == _JOBS_PER_ROUND
    predictions.run_round(1.1)
    assert all(job.chain_ms > 2_000 for job in jobs)


def test_runs_that_end_at_workers_are_learned_from():
    job, worker = make_job(make_step(2)), make_worker()
    predictions, table = _predictions(job, workers=(worker,))
    table.set_end_listener(predictions.note_end)
    for number, end in enumerate((RunEnd.DONE, RunEnd.FAILED)):
        task = job.task(TaskKey(0, 0, number))
        assign(table, task, worker)
        table.note_poll(worker, 2.9, look(ended=(ended(task, end, number + 1),)), 3.0)
    assert predictions.run_times.runs("q") == 1


@pytest.mark.parametrize("fields", [{"is_long_running": True}, {"is_filler": True}])
def test_fillers_and_tasks_that_last_are_not_learned_from(fields):
    predictions, _ = _predictions()
    _teach(predictions, 9_000, **fields)
    assert predictions.run_times.queues == []


def test_a_run_that_resumed_from_a_checkpoint_is_not_learned_from():
    predictions, _ = _predictions()
    task = make_job(make_step(has_checkpoints=True)).steps_of(0)[0][0]
    task.run = 2
    predictions.note_end(task, 100.0)
    assert predictions.run_times.queues == []


def test_what_is_known_is_reported_now_and_then():
    predictions, _ = _predictions(make_job())
    for now_s in range(21):
        _teach(predictions, 2_000, runs=2)
        predictions.run_round(float(now_s))
    lines = predictions._events.lines
    assert [event for event, _ in lines] == ["run-times"] * 3
    figures = lines[-1][1]["queues"]["q"]
    assert figures["runs"] == 42 and 1.8 < figures["median"] < 2.2


def _teach_long_tasks(run_times):
    """Three tasks in a hundred take seven times as long as usual."""
    source = random.Random(1)
    for _ in range(300):
        run_times.note("q", 1_000, 7_000 if source.random() < 0.03 else 1_000)


def test_a_task_that_is_long_by_nature_is_not_taken_for_a_stalled_one():
    pool = _Pool()
    _teach_long_tasks(pool.run_times)
    for tenth in range(70):
        pool.report(tenth / 10, int(tenth / 0.7))
    assert not pool.task.is_stopping


def test_hang_a_run_that_stands_still_is_stopped_also_where_some_tasks_are_long():
    pool = _Pool()
    _teach_long_tasks(pool.run_times)
    for tenth in range(30):
        pool.report(tenth / 10, min(20, 2 * tenth))
    assert pool.task.is_stopping
