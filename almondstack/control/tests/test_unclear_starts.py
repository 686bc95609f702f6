"""Starts without an answer, of steps whose tasks have to stay available."""

import pytest

from almondstack.control.messages import OrderStatus
from almondstack.jobs import TaskKey, TaskStatus
from almondstack.testing.job_builders import (
    assign,
    look,
    make_job,
    make_step,
    make_table,
    make_worker,
    reply,
    running,
)

_ATTEMPTS = 12
"""Starts that are sent before the owner waits for the worker's list."""


class _World:
    """A lasting step of two tasks on one worker, of which one may be unavailable."""

    def __init__(self):
        job = make_job(make_step(2, is_long_running=True, max_unavailable=1))
        self.worker = make_worker()
        self.table = make_table(job, workers=(self.worker,))
        self.orders = self.table._orders
        self.task, self.other = (job.task(TaskKey(0, 0, number)) for number in range(2))
        assign(self.table, self.task, self.worker)

    def answer_start(self, status, now_s):
        """Handle the outcome of a start of the task."""
        task = self.task
        self.table.note_start(task.worker, task.name, task.run, reply(status), now_s)

    def poll(self, now_s, *runs):
        """Handle a list of runs that the worker has just given."""
        self.table.note_poll(self.worker, now_s - 0.1, look(running=runs), now_s)


@pytest.fixture
def world():
    return _World()


def test_an_unanswered_start_does_not_end_a_task_that_must_stay_available(world):
    """Guards against a stop of a run that began late while others of its step were away.

    AVAIL: both starts had no answer, the stop followed at once and met the run at work.
    """
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    world.answer_start(OrderStatus.UNCLEAR, 1.6)
    world.poll(1.7)
    assert world.orders.stops == [] and len(world.orders.starts) == 2
    world.poll(9.0, running(world.task))
    world.poll(30.0, running(world.task))
    assert world.orders.stops == [] and world.task.is_confirmed


def test_a_start_that_is_sent_again_is_waited_for_before_a_list_counts(world):
    """Guards against a stop that follows a list given while the start was sent again."""
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    world.poll(0.9)
    world.poll(2.9)
    assert world.orders.stops == [] and world.orders.starts == [world.task]


def test_a_start_that_failed_at_once_is_sent_again_after_a_later_list(world):
    """Guards against all repeats being used up, and the task waiting, while a link is down."""
    world.answer_start(OrderStatus.UNCLEAR, 0.1)
    world.poll(0.2)
    assert world.orders.starts == []
    world.poll(0.7)
    assert world.orders.starts == [world.task]
    world.answer_start(OrderStatus.NOT_SENT, 1.5)
    assert world.orders.starts == [world.task]
    world.poll(3.0)
    assert world.orders.starts == [world.task] * 2 and world.orders.stops == []


def test_a_start_whose_reply_is_overdue_does_not_end_a_task_that_must_stay_available(world):
    """Guards against a stop of a run whose start waits behind other orders, 5 s after its plan."""
    world.poll(5.1)
    world.poll(5.2)
    assert world.orders.stops == []
    world.poll(9.0, running(world.task))
    assert world.task.is_confirmed and world.orders.stops == []


@pytest.mark.parametrize("status", [OrderStatus.NO_ROOM, OrderStatus.UNWANTED])
def test_a_refusal_does_not_stop_the_start_before_it_too_early(world, status):
    """Guards against a stop after a refused repeat, while the first start may be carried out."""
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    world.answer_start(status, 0.9)
    world.poll(1.0)
    assert world.orders.stops == [] and world.task.is_assigned


def test_a_refused_run_is_stopped_at_once_while_the_others_are_at_work(world):
    """Guards against a task that waits for a start in vain, where a stop of it is allowed."""
    assign(world.table, world.other, world.worker)
    world.poll(0.3, running(world.other))
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    world.answer_start(OrderStatus.NO_ROOM, 1.6)
    assert world.orders.stops == [("w1", world.task.name, 1)]


def test_an_unclear_run_is_stopped_once_its_start_can_be_carried_out_no_more(world):
    """Guards against TWICE: a task gets no other run before a stop and a later list."""
    for number in range(_ATTEMPTS):
        world.answer_start(OrderStatus.UNCLEAR, 0.5 + number)
    assert len(world.orders.starts) == _ATTEMPTS - 1
    world.poll(24.4)
    assert world.orders.stops == []
    world.poll(24.6)
    assert world.orders.stops == [("w1", world.task.name, 1)]
    assert world.task.is_assigned
    world.table.note_stop("w1", world.task.name, 1, reply(), 24.7)
    world.poll(24.9)
    assert world.task.status is TaskStatus.WAITING


def test_an_unclear_run_on_a_draining_worker_is_stopped_at_once(world):
    """Guards against tasks that wait on a worker that leaves, where no limit holds."""
    world.worker.info.is_draining = True
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    world.answer_start(OrderStatus.UNWANTED, 0.9)
    assert len(world.orders.stops) == 1


def test_an_unclear_run_of_a_cancelled_job_is_stopped_at_once(world):
    """Guards against UNASKED: a cancelled job's start is carried out and its run is kept."""
    world.task.job.cancel()
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    assert len(world.orders.stops) == 1


def test_late_starts_of_many_repeats_are_waited_for_on_the_next_life(world):
    """Guards against TWICE: the last of the repeats may reach a worker that started again."""
    for number in range(6):
        world.answer_start(OrderStatus.UNCLEAR, 4.0 + number)
    world.poll(9.5, running(world.task))
    world.table.note_worker_restart("w1", 5_000_000, 20.0)
    assert world.task.is_assigned


def test_a_start_that_the_next_life_has_carried_out_is_not_stopped_unseen(world):
    """Guards against a stop of a run at work on a worker that started again (AVAIL).

    The other task of the step is away.  The stop followed the worker's new entry at once, before
    any list of the next life.
    """
    world.answer_start(OrderStatus.UNCLEAR, 0.8)
    next_life = make_worker(life=5_000)
    world.table.note_worker_restart("w1", 5_000, 2.0)
    world.table.add_worker(next_life, 2.0)
    assert world.orders.stops == []
    world.table.note_poll(next_life, 2.1, look(running=[running(world.task)]), 2.2)
    assert world.orders.stops == [] and world.task.is_confirmed
