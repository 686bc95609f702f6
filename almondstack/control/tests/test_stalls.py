"""Workers that look healthy while what they run stands still or crawls."""

import pytest

from almondstack.control.planning import Planner
from almondstack.control.stalls import StallRounds
from almondstack.core.events import EventLog
from almondstack.jobs import RunEnd, TaskKey, TaskStatus
from almondstack.placement import Policies
from almondstack.placement.backlog import EstimateCorrection
from almondstack.testing.job_builders import (
    assign,
    ended,
    look,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
    running,
)

_STOP_S = 0.4


class _World:
    """Two workers, and a job of one task on the first of them."""

    def __init__(self, step=None, second_millis=4_000):
        self.job = make_job(step or make_step())
        self.workers = make_worker("w1"), make_worker("w2", cpu_millis=second_millis)
        self.table = make_table(self.job, workers=self.workers)
        self.task = self.job.task(TaskKey(0, 0, 0))
        assign(self.table, self.task, self.workers[0])
        policies = Policies(queues={"q": make_policy()})
        planner = Planner(self.table, None, lambda: policies)
        self.rounds = StallRounds(
            self.table, planner, EstimateCorrection(), _STOP_S, EventLog("test")
        )

    def tell(self, now_s, percent):
        """Have the first worker list the run with that share done, and judge it."""
        reply = look(running=(running(self.task, percent=percent),), clock_ms=int(now_s * 1000))
        self.table.note_look(self.workers[0], now_s - 0.01, reply, now_s)
        self.rounds.round(now_s)


def _standing_still(world):
    for tenth in range(30):
        world.tell(tenth / 10, min(20, 2 * tenth))


def test_hang_a_run_that_stands_still_is_stopped_and_goes_elsewhere():
    world = _World()
    _standing_still(world)
    assert world.task.is_stopping and world.task.failed_on == {"w1"}
    stopped = look(ended=(ended(world.task, RunEnd.STOPPED),))
    world.table.note_look(world.workers[0], 3.0, stopped, 3.1)
    assert world.task.status is TaskStatus.WAITING and world.task.failures == 0


def test_slow_a_run_that_crawls_is_stopped():
    world = _World()
    for tenth in range(30):
        world.tell(tenth / 10, tenth)
    assert world.task.is_stopping


def test_a_run_that_gets_on_as_estimated_goes_on():
    world = _World()
    for tenth in range(10):
        world.tell(tenth / 10, 10 * tenth)
    assert not world.task.is_stopping


def test_a_run_that_takes_twice_its_estimate_goes_on():
    world = _World()
    for tenth in range(20):
        world.tell(tenth / 10, 5 * tenth)
    assert not world.task.is_stopping


@pytest.mark.parametrize("percent", [90, 97])
def test_a_run_that_is_nearly_done_goes_on_unless_it_stands_still_for_long(percent):
    world = _World()
    for tenth in range(12):
        world.tell(tenth / 10, percent - 11 + tenth)
    assert not world.task.is_stopping


def test_where_there_is_no_room_elsewhere_a_run_stays():
    world = _World(second_millis=500)
    _standing_still(world)
    assert not world.task.is_stopping


@pytest.mark.parametrize("fields", [{"is_long_running": True}, {"is_gang": True}])
def test_lasting_tasks_and_gangs_are_not_judged(fields):
    world = _World(make_step(**fields))
    _standing_still(world)
    assert not world.task.is_stopping


def test_a_task_that_was_slow_on_two_workers_is_left_alone():
    world = _World()
    world.task.failed_on.update({"w8", "w9"})
    _standing_still(world)
    assert not world.task.is_stopping


def test_a_worker_on_which_several_runs_stand_still_gets_nothing_new_for_a_while():
    world = _World()
    soundness = world.table.soundness
    for now_s in (1.0, 1.1):
        soundness.record_stall(world.workers[0], now_s)
    assert not world.workers[0].is_open(2.0) and world.workers[0].is_open(60.0)
