"""Fillers are slowed down beside serving tasks."""

import pytest

from almondstack.control.messages import OrderStatus
from almondstack.control.pacing import Pacing
from almondstack.jobs import JobState, TaskKey, decode_progress
from almondstack.testing.job_builders import (
    assign,
    look,
    make_job,
    make_step,
    make_table,
    make_worker,
    running,
)


class _Session:
    """Records the percentages sent to a worker."""

    def __init__(self):
        self.orders = []

    def pace(self, name, run, percent):
        self.orders.append(percent)


@pytest.fixture
def harness():
    """Return a serving task and a filler on one worker, the pacing, and the session."""
    serving = make_job(make_step(is_long_running=True, target_ms=100))
    filler = make_job(make_step(is_filler=True), id="0" * 16)
    worker = make_worker()
    table = make_table(serving, filler, workers=(worker,))
    tasks = [job.task(TaskKey(0, 0, 0)) for job in (serving, filler)]
    for task in tasks:
        assign(table, task, worker)
        task.is_confirmed = True
    session = _Session()
    return tasks, Pacing(table, {worker.id: session}), session


def _answer(pacing, now_s):
    """Have the workers answer a poll."""
    for worker in pacing._table.workers.values():
        worker.last_answer_s = now_s


def test_a_filler_stops_when_a_serving_task_is_over_its_target(harness):
    (serving, filler), pacing, session = harness
    serving.load = 150
    pacing.run_round(1.0)
    assert session.orders == [0] and filler.percent == 0


def test_a_filler_speeds_up_step_by_step(harness):
    (serving, filler), pacing, session = harness
    serving.load, filler.percent = 20, 0
    for number in range(6):
        _answer(pacing, 1.0 + number)
        pacing.run_round(1.0 + number)
    assert session.orders == [25, 50, 75, 100]


def test_a_filler_does_not_speed_up_twice_by_the_same_figures(harness):
    """Guards against a filler that is at full speed again before its effect is seen.

    A poll of a worker on which no run ends waits for a second; three rounds of pacing saw the
    same figures, and raised the filler by 75 percent.
    """
    (serving, filler), pacing, session = harness
    serving.load, filler.percent = 20, 0
    _answer(pacing, 1.0)
    for number in range(3):
        pacing.run_round(1.0 + number / 2)
    assert session.orders == [25]
    _answer(pacing, 2.1)
    pacing.run_round(2.5)
    assert session.orders == [25, 50]
    serving.load = 150
    pacing.run_round(3.0)
    assert session.orders == [25, 50, 0]


def test_a_change_waits_until_the_load_shows_the_effect_of_the_last_one(harness):
    (serving, _), pacing, session = harness
    serving.load = 90
    pacing.run_round(1.0)
    pacing.run_round(1.2)
    assert session.orders == [50]


def test_a_filler_without_serving_tasks_speeds_up(harness):
    (serving, filler), pacing, session = harness
    serving.is_stopping = True
    filler.percent = 50
    pacing.run_round(1.0)
    assert session.orders == [75]


def test_a_run_that_is_being_stopped_gets_no_orders(harness):
    (serving, filler), pacing, session = harness
    serving.load, filler.is_stopping = 500, True
    pacing.run_round(1.0)
    assert session.orders == []


@pytest.mark.parametrize("status", [OrderStatus.UNCLEAR, OrderStatus.NOT_SENT])
def test_an_order_that_may_be_lost_is_sent_again(harness, status):
    """Guards against a filler that runs on beside a serving task over its target."""
    (serving, filler), pacing, session = harness
    serving.load = 150
    pacing.run_round(1.0)
    pacing.note_answer(filler.name, filler.run, status)
    pacing.run_round(2.0)
    pacing.note_answer(filler.name, filler.run, OrderStatus.DONE)
    pacing.run_round(3.0)
    assert session.orders == [0, 0]


def test_the_answer_to_an_order_for_an_earlier_run_does_not_count(harness):
    (serving, filler), pacing, session = harness
    serving.load = 150
    pacing.run_round(1.0)
    pacing.note_answer(filler.name, filler.run - 1, OrderStatus.UNCLEAR)
    pacing.run_round(2.0)
    assert session.orders == [0]


def test_an_order_without_an_answer_is_repeated_when_it_can_not_be_carried_out_any_more(harness):
    """Guards against a filler that stands still for good, or works on, by a late order.

    PROTOCOL: a call without an answer "may also be executed seconds later, after newer calls".
    """
    (serving, filler), pacing, session = harness
    serving.load = 150
    pacing.run_round(1.0)
    pacing.note_answer(filler.name, filler.run, OrderStatus.UNCLEAR)
    serving.load = 20
    for number in range(30):
        _answer(pacing, 2.0 + number / 2)
        pacing.run_round(2.0 + number / 2)
        pacing.note_answer(filler.name, filler.run, OrderStatus.DONE)
    assert session.orders == [0, 25, 50, 75, 100, 100]


def test_another_run_gets_no_repeated_order(harness):
    (serving, filler), pacing, session = harness
    serving.load = 150
    pacing.run_round(1.0)
    pacing.note_answer(filler.name, filler.run + 1, OrderStatus.UNCLEAR)
    for number in range(100):
        pacing.run_round(2.0 + number)
    assert session.orders == [0] and pacing._repeats == {}


def test_a_run_of_the_owner_before_gets_an_order(harness):
    """Guards against a filler that stands still for good since the owner before had slowed it.

    PROTOCOL: a task works at the share that the last order said, "100 at the task's start".
    """
    (serving, filler), pacing, session = harness
    serving.load = 20
    owned = filler.job.encode()
    job = make_job(make_step(is_filler=True), id="0" * 16)
    job.restore(JobState.RUNNING, decode_progress(owned), [])
    restored = job.task(TaskKey(0, 0, 0))
    restored.is_confirmed = True
    (worker,) = pacing._table.workers.values()
    worker.remove(filler)
    worker.put(restored)
    for number in range(3):
        pacing.run_round(1.0 + number)
    assert session.orders == [100]


def test_a_run_that_the_next_life_of_its_worker_has_started_is_slowed_again(harness):
    """Guards against a filler at full speed that its owner takes for one that stands still.

    PROTOCOL: a call without an answer "may also be executed seconds later"; a task works at the
    share that the last order said, "100 at the task's start".
    """
    (serving, filler), pacing, session = harness
    serving.load = 150
    pacing.run_round(1.0)
    table = pacing._table
    (worker,) = table.workers.values()
    worker.info.life = 2
    # No start of it has an answer, so that a late one may have reached the next life.
    table.note_worker_restart(worker.id, 2, 1.5)
    assert not filler.is_confirmed
    table.note_poll(worker, 1.6, look(running=(running(serving), running(filler)), life=2), 1.7)
    serving.load = 150
    pacing.run_round(2.0)
    assert session.orders == [0, 0]
