"""What jobs wait for, told when they end."""

import time

import pytest

from almondstack.control.delay_recorder import DelayRecorder
from almondstack.control.delays import DelayCause, JobDelays
from almondstack.control.planning import Planner
from almondstack.core import NullMetrics
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


class _Lines:
    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))


class _World:
    """A pool of one small worker, and a job that does not fit on it at once."""

    def __init__(self, **policies):
        self.job = make_job(make_step(8), accepted_ms=int(time.time() * 1000))
        self.worker = make_worker()
        self.table = make_table(self.job, workers=(self.worker,))
        known = Policies(queues={"q": make_policy()}, **policies)
        self.planner = Planner(self.table, AllowAllAdvisor(), lambda: known)
        self.fleet, self.lines, self.metrics = _Fleet(), _Lines(), NullMetrics()
        self.rounds = DelayRecorder(
            self.table.delays, self.planner, self.fleet, self.lines, self.metrics
        )

    def plan(self, now_s):
        self.planner.plan(now_s, 0.0)
        self.rounds.note_planned(now_s)

    def taken(self):
        found = self.table.delays.pop(self.job.id)
        return {cause.value: round(seconds, 2) for cause, seconds in found.items()}


def test_a_step_that_finds_no_room_waits_for_its_pool():
    world = _World()
    for tenth in range(6):
        world.plan(tenth / 10)
    assert world.taken() == {"pool-full": 0.5}


def test_a_step_waits_for_instances_while_some_are_on_their_way():
    world = _World()
    world.fleet.coming = {"p"}
    for tenth in range(6):
        world.plan(tenth / 10)
    assert world.taken() == {"instances-coming": 0.5}


def test_a_step_of_an_account_that_may_run_no_more_waits_for_its_ceiling():
    world = _World(accounts={"a": AccountPolicy("a", ceiling=Resources(2_000, 0))})
    for tenth in range(6):
        world.plan(tenth / 10)
    assert world.taken() == {"ceiling": 0.5}


def test_time_that_the_store_took_is_not_put_down_to_the_pool():
    world = _World()
    world.plan(0.0)
    world.rounds.note_stored(world.job.assigned(), 0.8)
    world.plan(1.0)
    assert world.taken() == {"store": 0.8, "pool-full": 0.2}


def test_a_pause_of_the_owner_counts_as_one_second_at_most():
    world = _World()
    world.plan(0.0)
    world.plan(30.0)
    assert world.taken() == {"pool-full": 1.0}


def test_a_job_that_is_taken_over_has_waited_for_an_owner():
    world = _World()
    world.rounds.note_inherited(world.job, 1.25)
    assert world.taken() == {"no-owner": 1.25}


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
def test_a_run_delays_its_job_by_what_it_took_for_nothing(end, took_s, expected):
    job, worker = make_job(make_step(2)), make_worker()
    table = make_table(job, workers=(worker,))
    task = job.task(TaskKey(0, 0, 0))
    assign(table, task, worker)
    table.note_look(worker, took_s, look(ended=(ended(task, end),)), took_s)
    found = {cause.value: seconds for cause, seconds in table.delays.pop(job.id).items()}
    assert found == pytest.approx(expected)


def test_a_job_that_ends_is_told_with_its_delays():
    world = _World()
    world.table.delays.add(world.job.id, 0, DelayCause.CEILING, 9.0)
    world.job.submission = world.job.submission.__class__(
        "q", "a", "s", (make_step(),), accepted_ms=int(time.time() * 1000) - 9_000
    )
    world.job.state = JobState.COMPLETED
    world.rounds.note_job_end(world.job)
    ((event, fields),) = world.lines.lines
    assert event == "job-ended" and fields["state"] == "completed"
    assert fields["delays_s"] == {"ceiling": 9.0} and 9.0 <= fields["took_s"] < 60.0
    assert fields["objective_s"] == 2.0
    assert world.metrics.total("late.ceiling") == 1


def test_what_was_told_of_a_job_is_forgotten():
    delays = JobDelays()
    delays.add("j", 0, DelayCause.STORE, 1.0)
    assert delays.pop("j") and not delays.pop("j")


def test_months_on_nothing_is_kept_of_a_job_that_was_told():
    """What ran of a cancelled job ended after it, and was kept for good."""
    world = _World()
    world.plan(0.0)
    assign(world.table, task := world.job.task(TaskKey(0, 0, 0)), world.worker)
    world.job.cancel()
    world.rounds.note_job_end(world.job)
    world.rounds.note_stored([task], 0.8)
    world.rounds.note_taken_up(world.job, time.time() * 1000.0 + 9_000.0)
    world.rounds.note_inherited(world.job, 1.25)
    end = ended(task, RunEnd.STOPPED)
    world.table.note_look(world.worker, 4.0, look(ended=(end,)), 4.0)
    assert not task.is_assigned and world.taken() == {}
