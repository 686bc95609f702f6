"""A refusal that says 'not run' is true, whatever becomes of other attempts (real owners)."""

import contextlib
from unittest import mock

import pytest

from almondstack.control import request_rounds
from almondstack.intake import Verdict
from almondstack.jobs import Submission
from almondstack.ownership import StoreRefusedError
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_world import OwnerWorld

_JOB = "0" * 16


@pytest.fixture
def world():
    """Return a world in which the first process owns the jobs, and the second knows it."""
    world = OwnerWorld()
    with world.patched():
        world.processes[0].claim()
        world.processes[1].follow()
        yield world


@contextlib.contextmanager
def _full_queue():
    """Any job would end late."""
    with mock.patch.object(request_rounds, "excess_wait_ms", lambda *_arguments: 1_000.0):
        yield


def _submit(world, process, account="b"):
    submission = Submission("q", account, "spec", (make_step(1),), pool="p", max_attempts=2)
    return world.submit(world.processes[process], _JOB, submission)


def _refuse(world, process=0):
    with _full_queue():
        return _submit(world, process)


def _work(world):
    for _ in range(3):
        world.processes[0].follow()
        world.processes[0].round()
        for worker in world.workers:
            world.processes[0].pump(worker)


def _is_running(world):
    return any(worker.running for worker in world.workers.values())


def _leave_an_attempt(world, fault):
    """Leave an attempt of the second process on its way, and its caller without an answer."""
    world.caller_timeout_s = 0.2
    world.link.fault = fault
    world.store.is_delaying = True
    assert _submit(world, 1) is Verdict.UNCLEAR
    world.link.fault = ""
    world.store.is_delaying = False


@pytest.mark.parametrize("signs", [0, 3])
@pytest.mark.parametrize("fault", ["refused", "late"])
def test_a_refused_job_does_not_run_by_an_earlier_attempt(world, fault, signs):
    """It may be carried out after the refusal, however much the owner has written before it."""
    _leave_an_attempt(world, fault)
    for _ in range(signs):
        world.pass_time(0.5)
        world.processes[0].round()
    assert _refuse(world) is Verdict.FULL
    world.store.carry_out()
    world.deliver_delayed()
    _work(world)
    assert not _is_running(world)


def test_a_job_that_was_stored_meanwhile_is_not_refused(world):
    """Another process has stored it, and the owner has not read so far."""
    world.link.fault = "refused"
    assert _submit(world, 1) is Verdict.DONE
    world.link.fault = ""
    assert _refuse(world) is Verdict.KNOWN


def test_a_refused_job_is_taken_when_its_caller_comes_back(world):
    assert _refuse(world, process=1) is Verdict.FULL
    world.pass_time(1.0)
    world.processes[1].follow()
    assert _submit(world, 1) is Verdict.DONE
    _work(world)
    assert _is_running(world)


def test_a_process_that_has_not_read_beyond_a_refusal_sends_its_caller_away_once_more(world):
    assert _refuse(world) is Verdict.FULL
    assert _submit(world, 1) is Verdict.NOT_STORED
    world.processes[1].follow()
    assert _submit(world, 1) is Verdict.DONE


def test_a_job_that_is_refused_twice_within_a_moment_is_refused_again(world):
    assert _refuse(world) is Verdict.FULL
    assert _refuse(world) is Verdict.FULL


def test_an_owner_that_can_not_read_behind_its_refusal_leaves_the_job_unknown(world, monkeypatch):
    def fail(*_arguments):
        raise StoreRefusedError("away")

    monkeypatch.setattr(world.store, "read", fail)
    assert _refuse(world) is Verdict.UNCLEAR


def test_an_owner_that_is_replaced_leaves_what_it_was_about_to_store_unknown(world):
    world.store.refuses = 1
    world.store.during_refusal = world.processes[1].claim
    assert _submit(world, 0) is Verdict.UNCLEAR


def test_an_account_can_not_take_the_id_of_another_ones_job(world):
    assert _submit(world, 0) is Verdict.DONE
    stranger = Submission("q", "c", "spec", (make_step(1),), pool="p", max_attempts=2)
    world.oracle.submissions[_JOB] = stranger
    assert world.submit(world.processes[1], _JOB, stranger) is Verdict.CONFLICT
