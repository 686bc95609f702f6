"""Delays of jobs by cause, logged when the jobs end."""

import time

import pytest

from almondstack.control.delay_recorder import DelayRecorder
from almondstack.control.delays import DelayCause, JobDelays
from almondstack.control.planning import Planner
from almondstack.core import LocalMetrics
from almondstack.jobs import JobState, RunEnd, TaskKey
from almondstack.placement import AccountPolicy, Policies, Resources
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    assign,
    ended,
    look,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)


class _Fleet:
    def __init__(self):
        self.coming = set()

    def has_incoming_instances(self, pool):
        return pool in self.coming


class _EventLog:
    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append((event, fields))


class _Pool:
    """A pool of one small worker, and a job whose tasks do not all fit on it."""

    def __init__(self, **policies):
        self.job = make_job(make_step(8), accepted_ms=int(time.time() * 1000))
        self.worker = make_worker()
        self.table = make_table(self.job, workers=(self.worker,))
        known = Policies(queues={"q": make_policy()}, **policies)
        self.planner = Planner(self.table, AllowAllAdvisor(), lambda: known)
        self.fleet, self.events, self.metrics = _Fleet(), _EventLog(), LocalMetrics()
        self.recorder = DelayRecorder(
            self.table.delays, self.planner, self.fleet, self.events, self.metrics
        )

    def plan(self, now_s):
        self.planner.plan(now_s, 0.0)
        self.recorder.note_planned(now_s)

    def pop_delays(self):
        found = self.table.delays.pop(self.job.id)
        return {cause.value: round(seconds, 2) for cause, seconds in found.items()}


def test_a_step_without_room_waits_for_its_pool():
    pool = _Pool()
    for tenth in range(6):
        pool.plan(tenth / 10)
    assert pool.pop_delays() == {"pool-full": 0.5}


def test_a_step_waits_for_instances_while_some_are_on_their_way():
    pool = _Pool()
    pool.fleet.coming = {"p"}
    for tenth in range(6):
        pool.plan(tenth / 10)
    assert pool.pop_delays() == {"instances-coming": 0.5}


def test_a_step_of_an_account_at_its_ceiling_waits_for_the_ceiling():
    pool = _Pool(accounts={"a": AccountPolicy("a", ceiling=Resources(2_000, 0))})
    for tenth in range(6):
        pool.plan(tenth / 10)
    assert pool.pop_delays() == {"ceiling": 0.5}


def test_time_that_the_store_took_is_not_attributed_to_the_pool():
    pool = _Pool()
    pool.plan(0.0)
    pool.recorder.note_stored(pool.job.assigned(), 0.8)
    pool.plan(1.0)
    assert pool.pop_delays() == {"store": 0.8, "pool-full": 0.2}


def test_a_pause_of_the_owner_counts_as_one_second_at_most():
    pool = _Pool()
    pool.plan(0.0)
    pool.plan(30.0)
    assert pool.pop_delays() == {"pool-full": 1.0}


def test_an_inherited_job_has_waited_for_an_owner():
    pool = _Pool()
    pool.recorder.note_inherited(pool.job, 1.25)
    assert pool.pop_delays() == {"no-owner": 1.25}


@pytest.mark.parametrize(
    ("end", "took_s", "expected"),
    [
        (RunEnd.LAPSED, 4.5, {"worker-lost": 4.5}),
        (RunEnd.FAILED, 0.7, {"failures": 0.7}),
        (RunEnd.STOPPED, 0.3, {"stopped": 0.3}),
        (RunEnd.DONE, 1.9, {}),
        (RunEnd.DONE, 5.0, {"slow-runs": 3.0}),
    ],
)
def test_a_run_delays_its_job_by_the_time_it_wasted(end, took_s, expected):
    job, worker = make_job(make_step(2)), make_worker()
    table = make_table(job, workers=(worker,))
    task = job.task(TaskKey(0, 0, 0))
    assign(table, task, worker)
    table.note_poll(worker, took_s, look(ended=(ended(task, end),)), took_s)
    found = {cause.value: seconds for cause, seconds in table.delays.pop(job.id).items()}
    assert found == pytest.approx(expected)


def test_a_job_that_ends_is_logged_with_its_delays():
    pool = _Pool()
    pool.table.delays.add(pool.job.id, 0, DelayCause.CEILING, 9.0)
    pool.job.submission = pool.job.submission.__class__(
        "q", "a", "s", (make_step(),), accepted_ms=int(time.time() * 1000) - 9_000
    )
    pool.job.state = JobState.COMPLETED
    pool.recorder.note_job_end(pool.job)
    ((event, fields),) = pool.events.events
    assert event == "job-ended" and fields["state"] == "completed"
    assert fields["delays_s"] == {"ceiling": 9.0} and 9.0 <= fields["took_s"] < 60.0
    assert fields["objective_s"] == 2.0
    assert pool.metrics.total("late.ceiling") == 1


def test_pop_removes_the_delays_of_a_job():
    delays = JobDelays()
    delays.add("j", 0, DelayCause.STORE, 1.0)
    assert delays.pop("j") and not delays.pop("j")


def test_months_on_no_delays_are_kept_of_a_job_that_was_logged():
    """Runs of a cancelled job that ended after it added delays that were never removed."""
    pool = _Pool()
    pool.plan(0.0)
    assign(pool.table, task := pool.job.task(TaskKey(0, 0, 0)), pool.worker)
    pool.job.cancel()
    pool.recorder.note_job_end(pool.job)
    pool.recorder.note_stored([task], 0.8)
    pool.recorder.note_taken_up(pool.job, time.time() * 1000.0 + 9_000.0)
    pool.recorder.note_inherited(pool.job, 1.25)
    end = ended(task, RunEnd.STOPPED)
    pool.table.note_poll(pool.worker, 4.0, look(ended=(end,)), 4.0)
    assert not task.is_assigned and pool.pop_delays() == {}
