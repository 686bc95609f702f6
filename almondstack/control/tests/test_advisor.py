"""Tickets of the advice service: asked for once, used while they hold."""

import pytest

from almondstack.control import advisor as advisor_module
from almondstack.control.advisor import Advisor
from almondstack.control.errors import AdviceError
from almondstack.core.events import EventLog
from almondstack.jobs import TaskKey
from almondstack.placement import Policies
from almondstack.placement.policies import AdvicePolicy
from almondstack.testing.job_builders import assign, make_job, make_policy, make_table, make_worker


class _Clock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s


class _Services:
    """The advice service and what the advisor uses beside it."""

    def __init__(self):
        self.advice = self
        self.events = EventLog("test")
        self.queues = {"q": make_policy(advice=AdvicePolicy(100, 1, 5_000))}
        self.calls = []
        self.allowed = {"w1": "ticket-1"}
        self.is_down = False

    def policies(self):
        return Policies(1, self.queues)

    def advise(self, step, workers):
        self.calls.append((step, workers))
        if self.is_down:
            raise AdviceError("down")
        return self.allowed


@pytest.fixture
def world(monkeypatch):
    """Return a clock, the services, and an advisor whose thread the test plays."""
    clock, services = _Clock(), _Services()
    monkeypatch.setattr(advisor_module, "time", clock)
    advisor = Advisor(services)
    advisor._thread = object()
    return clock, services, advisor


def _answer_all(advisor):
    while not advisor._questions.empty():
        advisor._answer(advisor._questions.get())


def _task_and_workers():
    return make_job().task(TaskKey(0, 0, 0)), [make_worker("w1"), make_worker("w2")]


def test_only_workers_with_a_ticket_are_left(world):
    _, services, advisor = world
    task, workers = _task_and_workers()
    assert advisor.allowed_workers(task, workers) == []
    _answer_all(advisor)
    assert advisor.allowed_workers(task, workers) == workers[:1]
    assert [names for _, names in services.calls] == [["w1", "w2"]]
    assign(make_table(workers=tuple(workers)), task, workers[0])
    assert advisor.ticket(task) == "ticket-1"


def test_a_step_is_not_asked_for_again_while_its_tickets_hold(world):
    clock, services, advisor = world
    task, workers = _task_and_workers()
    for _ in range(5):
        advisor.allowed_workers(task, workers)
        _answer_all(advisor)
        clock.now_s += 0.5
    assert len(services.calls) == 1


def test_tickets_that_end_are_asked_for_again_in_time(world):
    clock, services, advisor = world
    task, workers = _task_and_workers()
    advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    clock.now_s += 4.2
    advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    assert len(services.calls) == 2
    clock.now_s += 4.0
    assert advisor.allowed_workers(task, workers) == workers[:1]


def test_a_ticket_is_of_no_use_for_another_life_of_the_worker(world):
    _, _, advisor = world
    task, workers = _task_and_workers()
    advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    assert advisor.allowed_workers(task, [make_worker("w1", life=2)]) == []


def test_a_service_that_is_down_is_asked_again_after_a_pause(world):
    clock, services, advisor = world
    task, workers = _task_and_workers()
    services.is_down = True
    advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    assert len(services.calls) == 1
    services.is_down = False
    clock.now_s += 0.4
    advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    assert advisor.allowed_workers(task, workers) == workers[:1]


def test_no_call_names_more_workers_than_the_service_takes(world):
    _, services, advisor = world
    task, _ = _task_and_workers()
    workers = [make_worker(f"w{number}") for number in range(130)]
    for _ in range(2):
        advisor.allowed_workers(task, workers)
    _answer_all(advisor)
    assert [len(names) for _, names in services.calls] == [100, 30]


def test_queues_without_advice_use_all_workers(world):
    _, services, advisor = world
    services.queues = {"q": make_policy()}
    task, workers = _task_and_workers()
    assert advisor.allowed_workers(task, workers) == workers and advisor.ticket(task) == ""
