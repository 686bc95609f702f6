"""No task starts in an availability zone that is evacuated."""

import time

from almondstack.control.planning import Planner
from almondstack.jobs import TaskStatus
from almondstack.placement import Policies
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)


def _planner(zones, *jobs):
    workers = make_worker("w1", zone="a"), make_worker("w2", zone="b")
    table = make_table(*jobs, workers=workers)
    policies = Policies(queues={"q": make_policy()})
    return Planner(table, AllowAllAdvisor(), lambda: policies, lambda: frozenset(zones))


def test_tasks_start_in_the_other_zones():
    job = make_job(make_step(4))
    planner = _planner({"a"}, job)
    planner.plan(1.0, time.time() * 1000)
    assert {task.worker for task in job.assigned()} == {"w2"}


def test_tasks_wait_while_all_zones_are_evacuated():
    job = make_job(make_step(4))
    planner = _planner({"a", "b"}, job)
    assert planner.plan(1.0, time.time() * 1000) == []
    assert all(task.status is TaskStatus.WAITING for task in job.tasks())


def test_a_zone_gets_tasks_again_after_its_evacuation():
    zones = {"a"}
    job = make_job(make_step(8))
    planner = _planner(zones, job)
    planner.plan(1.0, time.time() * 1000)
    zones.clear()
    planner._evacuated_zones = frozenset
    planner.plan(1.1, time.time() * 1000)
    assert {task.worker for task in job.assigned()} == {"w1", "w2"}
