"""Stalled and slow runs on workers that seem healthy are stopped."""

import pytest

from almondstack.control.planning import Planner
from almondstack.control.stall_detector import StallDetector
from almondstack.core.events import EventLog
from almondstack.jobs import RunEnd, TaskKey, TaskStatus
from almondstack.placement import Policies, RunTimes
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


class _Pool:
    """Two workers, and a job of one task on the first of them."""

    def __init__(self, step=None, second_millis=4_000):
        self.job = make_job(step or make_step())
        self.workers = make_worker("w1"), make_worker("w2", cpu_millis=second_millis)
        self.table = make_table(self.job, workers=self.workers)
        self.task = self.job.task(TaskKey(0, 0, 0))
        assign(self.table, self.task, self.workers[0])
        policies = Policies(queues={"q": make_policy()})
        planner = Planner(self.table, None, lambda: policies)
        self.run_times = RunTimes()
        self.detector = StallDetector(
            self.table, planner, self.run_times, _STOP_S, EventLog("test")
        )

    def report(self, now_s, percent):
        """Have the first worker report the run's progress in percent, and run the detector."""
        reply = look(running=(running(self.task, percent=percent),), clock_ms=int(now_s * 1000))
        self.table.note_poll(self.workers[0], now_s - 0.01, reply, now_s)
        self.detector.run_round(now_s)


def _report_stall(pool):
    for tenth in range(30):
        pool.report(tenth / 10, min(20, 2 * tenth))


def test_hang_a_stalled_run_is_stopped_and_its_task_waits_again():
    pool = _Pool()
    _report_stall(pool)
    assert pool.task.is_stopping and pool.task.failed_on == {"w1"}
    stopped = look(ended=(ended(pool.task, RunEnd.STOPPED),))
    pool.table.note_poll(pool.workers[0], 3.0, stopped, 3.1)
    assert pool.task.status is TaskStatus.WAITING and pool.task.failures == 0


def test_slow_a_run_with_slow_progress_is_stopped():
    pool = _Pool()
    for tenth in range(30):
        pool.report(tenth / 10, tenth)
    assert pool.task.is_stopping


def test_a_run_that_progresses_as_estimated_continues():
    pool = _Pool()
    for tenth in range(10):
        pool.report(tenth / 10, 10 * tenth)
    assert not pool.task.is_stopping


def test_a_run_that_takes_twice_its_estimate_continues():
    pool = _Pool()
    for tenth in range(20):
        pool.report(tenth / 10, 5 * tenth)
    assert not pool.task.is_stopping


@pytest.mark.parametrize("percent", [90, 97])
def test_a_run_that_is_nearly_done_continues_unless_it_stalls_for_long(percent):
    pool = _Pool()
    for tenth in range(12):
        pool.report(tenth / 10, percent - 11 + tenth)
    assert not pool.task.is_stopping


def test_a_stalled_run_continues_while_no_other_worker_has_room():
    pool = _Pool(second_millis=500)
    _report_stall(pool)
    assert not pool.task.is_stopping


@pytest.mark.parametrize("fields", [{"is_long_running": True}, {"is_gang": True}])
def test_long_running_tasks_and_gangs_are_not_stopped(fields):
    pool = _Pool(make_step(**fields))
    _report_stall(pool)
    assert not pool.task.is_stopping


def test_a_task_that_was_slow_on_two_workers_is_not_stopped_again():
    pool = _Pool()
    pool.task.failed_on.update({"w8", "w9"})
    _report_stall(pool)
    assert not pool.task.is_stopping


def test_a_worker_with_several_stalled_runs_gets_no_new_tasks_for_a_while():
    pool = _Pool()
    worker_health = pool.table.worker_health
    for now_s in (1.0, 1.1):
        worker_health.record_stall(pool.workers[0], now_s)
    assert not pool.workers[0].is_open(2.0) and pool.workers[0].is_open(60.0)
