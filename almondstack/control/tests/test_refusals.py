"""A job refused as not run never runs by another attempt of its caller (real owners)."""

import contextlib
from unittest import mock

import pytest

from almondstack.control import request_handler
from almondstack.intake import Verdict
from almondstack.jobs import Submission
from almondstack.ownership import StoreRefusedError
from almondstack.testing.job_builders import make_rejection, make_step
from almondstack.testing.owner_world import OwnerWorld

_JOB = "0" * 16


@pytest.fixture
def world():
    """Return a simulation in which the first process is the owner and the second has read that."""
    world = OwnerWorld()
    with world.patched():
        world.processes[0].claim()
        world.processes[1].follow()
        yield world


@contextlib.contextmanager
def _full_queue():
    """Estimate for every job that it would end too late."""
    with mock.patch.object(request_handler, "judge", lambda *_arguments: make_rejection(1_000.0)):
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
    """Leave a submission through the second process in flight and its caller unanswered."""
    world.caller_timeout_s = 0.2
    world.link.fault = fault
    world.store.is_delaying = True
    assert _submit(world, 1) is Verdict.UNCLEAR
    world.link.fault = ""
    world.store.is_delaying = False


@pytest.mark.parametrize("heartbeats", [0, 3])
@pytest.mark.parametrize("fault", ["refused", "late"])
def test_a_refused_job_does_not_run_by_an_earlier_attempt(world, fault, heartbeats):
    """Guards against an attempt that is stored or delivered only after the refusal.

    The owner may or may not have written to the log before the refusal.
    """
    _leave_an_attempt(world, fault)
    for _ in range(heartbeats):
        world.pass_time(0.5)
        world.processes[0].round()
    assert _refuse(world) is Verdict.FULL
    world.store.carry_out()
    world.deliver_delayed()
    _work(world)
    assert not _is_running(world)


def test_a_job_that_another_process_has_stored_is_not_refused(world):
    """Guards against a refusal by an owner that has not read the stored submission yet."""
    world.link.fault = "refused"
    assert _submit(world, 1) is Verdict.DONE
    world.link.fault = ""
    assert _refuse(world) is Verdict.KNOWN


def test_a_refused_job_is_accepted_when_its_caller_retries_later(world):
    assert _refuse(world, process=1) is Verdict.FULL
    world.pass_time(1.0)
    world.processes[1].follow()
    assert _submit(world, 1) is Verdict.DONE
    _work(world)
    assert _is_running(world)


def test_a_process_that_has_not_read_a_refusal_stores_no_retry_of_its_caller(world):
    assert _refuse(world) is Verdict.FULL
    assert _submit(world, 1) is Verdict.NOT_STORED
    world.processes[1].follow()
    assert _submit(world, 1) is Verdict.DONE


def test_a_refused_job_that_is_retried_at_once_is_refused_again(world):
    assert _refuse(world) is Verdict.FULL
    assert _refuse(world) is Verdict.FULL


def test_a_refusal_that_the_owner_can_not_read_back_is_answered_as_unclear(world, monkeypatch):
    def fail(*_arguments):
        raise StoreRefusedError("store unavailable")

    monkeypatch.setattr(world.store, "read", fail)
    assert _refuse(world) is Verdict.UNCLEAR


def test_a_request_whose_owner_is_fenced_before_its_append_is_answered_as_unclear(world):
    world.store.refuses = 1
    world.store.during_refusal = world.processes[1].claim
    assert _submit(world, 0) is Verdict.UNCLEAR


def test_an_account_can_not_reuse_the_id_of_another_accounts_job(world):
    assert _submit(world, 0) is Verdict.DONE
    other_submission = Submission("q", "c", "spec", (make_step(1),), pool="p", max_attempts=2)
    world.oracle.submissions[_JOB] = other_submission
    assert world.submit(world.processes[1], _JOB, other_submission) is Verdict.CONFLICT
