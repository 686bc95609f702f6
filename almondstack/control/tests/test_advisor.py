"""Advice tickets are requested once, and used until they expire."""

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
    """A fake advice service, with the other services that the advisor uses."""

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
def harness(monkeypatch):
    """Return a clock, the services, and an advisor without a thread."""
    clock, services = _Clock(), _Services()
    monkeypatch.setattr(advisor_module, "time", clock)
    advisor = Advisor(services)
    advisor._thread = object()
    return clock, services, advisor


def _fetch_all(advisor):
    while not advisor._requests.empty():
        advisor._fetch(advisor._requests.get())


def _task_and_workers():
    return make_job().task(TaskKey(0, 0, 0)), [make_worker("w1"), make_worker("w2")]


def test_only_workers_with_a_ticket_are_allowed(harness):
    _, services, advisor = harness
    task, workers = _task_and_workers()
    assert advisor.allowed_workers(task, workers) == []
    _fetch_all(advisor)
    assert advisor.allowed_workers(task, workers) == workers[:1]
    assert [names for _, names in services.calls] == [["w1", "w2"]]
    assign(make_table(workers=tuple(workers)), task, workers[0])
    assert advisor.ticket(task) == "ticket-1"


def test_a_step_is_not_requested_again_while_its_tickets_are_valid(harness):
    clock, services, advisor = harness
    task, workers = _task_and_workers()
    for _ in range(5):
        advisor.allowed_workers(task, workers)
        _fetch_all(advisor)
        clock.now_s += 0.5
    assert len(services.calls) == 1


def test_tickets_are_requested_again_before_they_expire(harness):
    clock, services, advisor = harness
    task, workers = _task_and_workers()
    advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    clock.now_s += 4.2
    advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    assert len(services.calls) == 2
    clock.now_s += 4.0
    assert advisor.allowed_workers(task, workers) == workers[:1]


def test_a_ticket_is_invalid_for_a_restarted_worker(harness):
    _, _, advisor = harness
    task, workers = _task_and_workers()
    advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    assert advisor.allowed_workers(task, [make_worker("w1", life=2)]) == []


def test_a_failed_call_is_repeated_after_a_pause(harness):
    clock, services, advisor = harness
    task, workers = _task_and_workers()
    services.is_down = True
    advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    assert len(services.calls) == 1
    services.is_down = False
    clock.now_s += 0.4
    advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    assert advisor.allowed_workers(task, workers) == workers[:1]


def test_no_call_names_more_workers_than_the_service_accepts(harness):
    _, services, advisor = harness
    task, _ = _task_and_workers()
    workers = [make_worker(f"w{number}") for number in range(130)]
    for _ in range(2):
        advisor.allowed_workers(task, workers)
    _fetch_all(advisor)
    assert [len(names) for _, names in services.calls] == [100, 30]


def test_queues_without_advice_use_all_workers(harness):
    _, services, advisor = harness
    services.queues = {"q": make_policy()}
    task, workers = _task_and_workers()
    assert advisor.allowed_workers(task, workers) == workers and advisor.ticket(task) == ""
