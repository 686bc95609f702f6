"""One request or stored job that can't be handled ends neither the owner nor other work."""

import pytest

from almondstack.control.delay_recorder import DelayRecorder
from almondstack.control.job_records import JobRecords
from almondstack.control.owner_round import OwnerRound
from almondstack.intake import SubmissionRequest, Verdict
from almondstack.jobs import JobState, Submission
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_world import OwnerWorld

_BAD, _GOOD = "0" * 16, "1" * 16


@pytest.fixture
def world(monkeypatch):
    """Return a world with an owner, whose errors are kept in ``world.errors``."""
    world = OwnerWorld()
    world.errors = []
    monkeypatch.setattr("threading.excepthook", world.errors.append)
    with world.patched():
        world.processes[0].claim()
        yield world


def _submit(world, job, **fields):
    steps = (make_step(1),)
    submission = Submission("q", "b", f"spec {job}", steps, pool="p", max_attempts=2, **fields)
    return world.submit(world.processes[0], job, submission)


def test_a_submission_that_cannot_be_stored_is_refused_alone(world):
    """Guards against a request that ends each owner, by a time beyond 64 bits (review/14)."""
    assert _submit(world, _BAD, occurrences=1, first_due_ms=2**64) is Verdict.NOT_STORED
    assert _submit(world, _GOOD) is Verdict.DONE
    owner = world.processes[0].owner
    assert list(owner.parts.table.jobs) == [_GOOD]
    assert len(world.errors) == 1
    assert owner.parts.services.metrics.total("owner.request-failed") == 1


def test_a_submission_that_fails_after_it_was_accepted_is_not_stored(world, monkeypatch):
    """Guards against a job that is acknowledged and that no owner has taken up (LOST)."""
    activate = OwnerRound.activate

    def fail_for_one(rounds, job):
        activate(rounds, job)
        if job.id == _BAD:
            raise ValueError("injected error")

    monkeypatch.setattr(OwnerRound, "activate", fail_for_one)
    assert _submit(world, _BAD) is Verdict.NOT_STORED
    assert _submit(world, _GOOD) is Verdict.DONE
    process = world.processes[0]
    process.follow()
    assert process.index.entry(_BAD) is None
    assert list(process.owner.parts.table.jobs) == [_GOOD]


def test_a_cancel_that_fails_is_answered_and_ends_no_owner(world, monkeypatch):
    """Guards against a cancel that ends each owner to which it comes again (Fault)."""
    assert _submit(world, _GOOD) is Verdict.DONE
    cancel = OwnerRound.cancel

    def fail_once(rounds, job_id):
        monkeypatch.setattr(OwnerRound, "cancel", cancel)
        raise ValueError("injected error")

    monkeypatch.setattr(OwnerRound, "cancel", fail_once)
    world.cancel(world.processes[0], _GOOD)
    world.processes[0].follow()
    world.processes[0].round()
    assert world.processes[0].index.entry(_GOOD).is_cancelled
    assert len(world.errors) == 1 and world.processes[0].owner is not None


def test_a_stored_job_that_cannot_be_taken_up_is_set_aside(world, monkeypatch):
    """Guards against a stored job that ends each next owner as it takes over (Fault, LOST)."""
    for job in (_BAD, _GOOD):
        assert _submit(world, job) is Verdict.DONE
    load = JobRecords.load

    def fail_for_one(records, job_id):
        if job_id == _BAD:
            raise OverflowError("injected error")
        return load(records, job_id)

    monkeypatch.setattr(JobRecords, "load", fail_for_one)
    other = world.processes[1]
    other.claim()
    for _ in range(3):
        other.follow()
        other.round()
    assert list(other.owner.parts.table.jobs) == [_GOOD]
    assert len(world.errors) == 1
    # It stays accepted, for an owner that can read it.
    assert other.index.entry(_BAD).shown_state is not JobState.FAILED


def test_a_stored_job_that_fails_while_it_is_taken_up_leaves_no_run(world, monkeypatch):
    """Guards against runs of a job that no owner has taken up, which would be resolved for good."""
    assert _submit(world, _BAD) is Verdict.DONE
    for worker in world.workers:
        world.processes[0].pump(worker)
    other = world.processes[1]

    def fail(*_):
        raise ValueError("injected error")

    monkeypatch.setattr(DelayRecorder, "note_inherited", fail)
    other.claim()
    table = other.owner.parts.table
    assert table.jobs == {} and table.runs.items() == [] and len(world.errors) == 1


def test_a_repeat_that_fails_does_not_remove_the_job(world, monkeypatch):
    """Guards against an accepted job that its owner forgets, as a repeat of it failed (LOST)."""
    assert _submit(world, _GOOD) is Verdict.DONE
    handler = world.processes[0].owner.parts.requests

    def fail(*_):
        raise ValueError("injected error")

    monkeypatch.setattr(type(handler), "submit", fail)
    owner = world.processes[0].owner
    request = SubmissionRequest(_GOOD, owner.parts.table.jobs[_GOOD].submission, 0)
    owner.inbox.put(request)
    world.processes[0].round()
    assert request.receipt.verdict is Verdict.UNCLEAR
    assert list(owner.parts.table.jobs) == [_GOOD]
