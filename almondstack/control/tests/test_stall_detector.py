"""Stalled and slow runs on workers that seem healthy are stopped."""

import random

import pytest

from almondstack.control.planning import Planner
from almondstack.control.speed_monitor import SpeedMonitor
from almondstack.control.stall_detector import StallDetector
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import RunEnd, TaskKey, TaskStatus
from almondstack.placement import Policies, RunTimes, WorkerSpeeds
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
            self.table, planner, self.run_times, WorkerSpeeds(), _STOP_S, EventLog("test")
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


_USUAL_TENTHS = 20
"""Tenths of a second that a task takes on a worker that is not slow."""


class _BusyPool:
    """Workers with four runs each, which go at the speed of their workers."""

    def __init__(self, count=6, spare=1, declared_ms=100 * _USUAL_TENTHS, **fields):
        step = make_step(4 * count, estimate_ms=declared_ms, **fields)
        self.job = make_job(step)
        self.workers = [make_worker(f"w{number}") for number in range(count)]
        spares = [make_worker(f"x{number}") for number in range(spare)]
        self.table = make_table(self.job, workers=(*self.workers, *spares))
        self.tasks = self.job.steps_of(0)[0]
        for number, task in enumerate(self.tasks):
            assign(self.table, task, self.workers[number // 4])
        self.speeds = dict.fromkeys((worker.id for worker in self.workers), 1.0)
        self._done = dict.fromkeys(self.tasks, 0.0)
        policies = Policies(queues={"q": make_policy()})
        run_times = RunTimes()
        source = random.Random(1)
        for _ in range(200):
            took_ms = 100 * _USUAL_TENTHS * source.lognormvariate(0.0, 0.4)
            run_times.note("q", declared_ms, took_ms)
        if not declared_ms:
            self.job.predict([100.0 * _USUAL_TENTHS], [100.0 * _USUAL_TENTHS])
        self.events = RecordingEvents()
        self.monitor = SpeedMonitor(self.table, run_times, self.events, LocalMetrics())
        self.detector = StallDetector(
            self.table,
            Planner(self.table, None, lambda: policies),
            run_times,
            self.monitor.speeds,
            _STOP_S,
            EventLog("test"),
        )

    def play(self, tenths, first=0):
        """Have all workers report their runs for some tenths of a second."""
        for tenth in range(first, first + tenths):
            now_s = tenth / 10
            for worker in self.workers:
                listed = []
                for task in worker.tasks:
                    self._done[task] += 100 / _USUAL_TENTHS * self.speeds[worker.id]
                    listed.append(running(task, percent=min(99, int(self._done[task]))))
                reply = look(running=tuple(listed), clock_ms=int(now_s * 1000))
                self.table.note_poll(worker, now_s - 0.01, reply, now_s)
            self.monitor.run_round(now_s)
            self.detector.run_round(now_s)

    @property
    def moved(self):
        return [task.worker for task in self.tasks if task.is_stopping]


def test_runs_on_a_worker_that_turns_slow_are_moved_without_setting_it_aside():
    pool = _BusyPool()
    pool.speeds["w2"] = 0.3
    pool.play(15)
    assert pool.moved == ["w2"] * 4
    assert pool.workers[2].penalty == 0.0 and pool.monitor.speeds.is_slow("w2")


def test_a_whole_rack_turns_slow_and_as_many_runs_are_moved_as_others_have_room_for():
    pool = _BusyPool(count=8, spare=1)
    pool.speeds["w2"] = pool.speeds["w3"] = 0.3
    pool.play(15)
    assert sorted(pool.monitor.speeds.slow_workers) == ["w2", "w3"]
    assert len(pool.moved) == 4 and set(pool.moved) <= {"w2", "w3"}


def test_a_whole_pool_that_is_a_little_slow_moves_no_runs():
    pool = _BusyPool()
    pool.speeds = dict.fromkeys(pool.speeds, 0.5)
    pool.play(25)
    assert pool.moved == [] and pool.monitor.speeds.slow_workers == []


def test_a_task_that_was_slow_elsewhere_tells_nothing_of_its_worker():
    pool = _BusyPool()
    pool.speeds["w2"] = 0.2
    for task in pool.tasks:
        task.failed_on.update({"w8", "w9"})
    pool.play(15)
    assert pool.moved == [] and pool.monitor.speeds.slow_workers == []


def test_tasks_without_a_declaration_tell_nothing_of_their_workers():
    pool = _BusyPool(declared_ms=0)
    pool.speeds["w2"] = 0.2
    pool.play(15)
    assert pool.monitor.speeds.slow_workers == []


def test_a_new_owner_starts_with_no_knowledge_and_takes_all_workers_as_normal():
    pool = _BusyPool()
    pool.play(2)
    assert all(worker.slowness == 1.0 for worker in pool.workers)


def test_a_worker_that_turns_slow_and_normal_again_is_reported_once_each():
    pool = _BusyPool(spare=0)
    pool.speeds["w2"] = 0.3
    pool.play(15)
    pool.speeds["w2"] = 1.0
    pool.play(40, first=15)
    lines = pool.events.lines
    assert [(event, fields["worker"]) for event, fields in lines if "worker-" in event] == [
        ("worker-slow", "w2"),
        ("worker-normal", "w2"),
    ]
    assert lines[0][1]["factor"] >= 2.0 and lines[0][1]["runs"] == 4
    metrics = pool.monitor._metrics
    assert metrics.total("worker.slow") == metrics.total("worker.normal") == 1
