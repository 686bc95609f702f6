"""Fencing tokens that an owner claims while it owns the jobs, for workers that start again."""

import pytest

from almondstack.control.messages import OrderStatus, StartOrder
from almondstack.control.tests.test_owner_machine import OwnerMachine
from almondstack.jobs import RunEnd
from almondstack.testing.job_builders import make_step

_ALL = ["w1", "w2", "w3"]


@pytest.fixture
def machine():
    """Return a machine whose first process owns the jobs; its faults are removed at the end."""
    found = OwnerMachine()
    found.begin()
    yield found
    found.teardown()


def _restart_a_busy_worker(machine, process=0):
    """Run a lasting job on one worker, restart it with an unanswered poll, and use it again."""
    for other in _ALL[1:]:
        machine.cut_connection(worker=other, is_disconnected=False, is_registered=False)
    machine.pass_time(seconds=0.1)
    machine.submit(process=process, shape=(make_step(1, is_long_running=True),), account="b")
    machine.work(process=process, order=_ALL)
    worker = machine.world.workers["w1"]
    assert worker.running
    worker.fault = "late"
    machine.pump(process=process, worker=worker.id)
    machine.crash(worker=worker.id)
    for _ in range(10):
        machine.pass_time(seconds=0.1)
        machine.work(process=process, order=_ALL)
    return worker


def test_a_worker_that_has_started_again_gets_calls_with_a_higher_token(machine):
    """Guards against calls for a former life that the next one carries out (TWICE)."""
    owner = machine.world.processes[0].owner
    worker = _restart_a_busy_worker(machine)
    assert worker.running
    assert owner.parts.sessions.get(worker.id).token == owner.parts.journal.token == 2
    late = StartOrder("0" * 16 + ".0.0.0", 9, "spec", "", "")
    assert worker.start(late, 10_000, 1).status is OrderStatus.FENCED
    assert worker.poll(10_000, 100, 1).status is OrderStatus.FENCED


def test_requests_for_the_higher_token_are_taken(machine):
    """Guards against an owner that turns away processes which have read its raised token."""
    owner = machine.world.processes[0].owner
    _restart_a_busy_worker(machine)
    assert owner.parts.journal.token == 2 and 2 in owner.parts.services.requests._tokens


def test_each_further_life_gets_a_higher_token(machine):
    owner = machine.world.processes[0].owner
    tokens = []
    for _ in range(3):
        worker = _restart_a_busy_worker(machine)
        tokens.append(owner.parts.sessions.get(worker.id).token)
    assert tokens == sorted(tokens) and len(set(tokens)) > 1


def test_an_owner_that_has_raised_its_token_is_replaced_like_any_other(machine):
    first, second = machine.world.processes
    _restart_a_busy_worker(machine)
    second.claim()
    assert second.owner.token == first.owner.parts.journal.token + 1
    machine.pass_time(seconds=1.0)
    machine.work(process=0, order=_ALL)
    assert first.owner is None


def test_open_sessions_keep_their_token(machine):
    """Guards against calls under way that are refused as they arrive after one with the next."""
    machine.submit(process=0, shape=(make_step(3, cpu_millis=3_000),), account="b")
    machine.work(process=0, order=_ALL)
    machine.world.workers["w1"].fault = "late"
    machine.pump(process=0, worker="w1")
    machine.crash(worker="w1")
    for _ in range(10):
        machine.pass_time(seconds=0.1)
        machine.work(process=0, order=_ALL)
    owner = machine.world.processes[0].owner
    assert [owner.parts.sessions.get(worker).token for worker in _ALL] == [2, 1, 1]


def test_of_a_claim_and_a_raise_of_the_same_token_one_is_refused(machine):
    """Guards against two owners with one token, which no worker could tell apart."""
    first, second = machine.world.processes
    second.follow()
    first.owner.parts.journal.request_token()
    second._world.store.claim = _Claim(first, second._world.store)
    second.claim()
    assert first.owner is not None and second.owner is None
    assert first.owner.parts.journal.token == 2


class _Claim:
    """Claims of the store, just before which another process writes."""

    def __init__(self, process, store):
        self._process = process
        self._claim = store.claim

    def __call__(self, *arguments):
        self._process.round()
        return self._claim(*arguments)


def test_requests_are_taken_for_the_raised_token(machine):
    _restart_a_busy_worker(machine)
    machine.read(process=1)
    machine.submit(process=1, shape=(make_step(1),), account="b")
    job = max(machine.world.oracle.submissions)
    assert job in machine.world.oracle.accepted
    machine.work_and_end(order=_ALL, end=RunEnd.DONE)
