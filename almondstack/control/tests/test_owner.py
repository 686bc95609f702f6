"""Until when a new owner assumes that the previous owner may have extended leases."""

import threading

from almondstack.control.owner import Owner, previous_extension_bound_s
from almondstack.control.owner_round import JobChange, OwnerRound
from almondstack.control.planning import Planner
from almondstack.jobs import (
    JobState,
    RecordKind,
    RunEnd,
    encode_progress,
    encode_submission,
    record_key,
)
from almondstack.jobs.progress import done_rows
from almondstack.ownership import OwnershipSettings
from almondstack.testing.job_builders import assign, make_job, make_step
from almondstack.testing.owner_world import OwnerWorld


def test_the_previous_owner_may_extend_leases_for_the_full_time_after_its_last_write():
    """Guards against a new owner that starts runs before the leases of the old ones expire.

    A process that has just started claims ownership after 0.15 s of silence when a
    network partition refuses its connections.  It subtracted the 0.7 s of silence that
    other processes wait for, and started two runs 0.3 s before the leases of the old
    ones had expired (magnolia-pay, scale-1).
    """
    settings = OwnershipSettings()
    assert settings.new_doubt_s < settings.doubt_s
    assert previous_extension_bound_s(10.0, settings) - 10.0 >= settings.unsure_s


def test_the_extension_time_counts_from_the_last_write_and_not_from_the_take_over():
    """Guards against runs that stand still for too long after a zone is lost with its owner.

    Runs of a partitioned zone stood still for 9 s (magnolia-pay-grown, 33.5 s).  The
    previous owner stored nothing after the record that was read at 9 s, so it extends
    no lease after 11.5 s, independent of when another process takes over.
    """
    settings = OwnershipSettings(unsure_s=2.5)
    assert previous_extension_bound_s(9.0, settings) == 11.5


def test_an_owner_whose_claim_lacks_the_ranged_form_gives_the_jobs_back(monkeypatch):
    """Guards against records that an owner of the build before could read as work not done."""
    monkeypatch.setattr("almondstack.jobs.active.MAX_LISTED_TASKS", 1)
    world = OwnerWorld()
    job = make_job(make_step(2), make_step(after=(0,)))
    with world.patched():
        process = world.processes[0]
        process.claim()
        owner = process.owner
        world.oracle.submissions[job.id] = job.submission
        owner.rounds.activate(job)
        for task in job.steps_of(0)[0]:
            job.assign([task], ["w"], [1], 0.0)
            job.end_run(task, RunEnd.DONE, "", 1.0)
        owner.rounds.commit()
        owner.release_if_ranges_needed()
        assert owner.is_released
        process.follow()
        value = world.store.records[-1].value
        assert value == encode_progress(JobState.RUNNING, [(0, 0, done_rows(2))])


def test_a_start_that_has_waited_is_not_sent_to_a_worker_that_drains():
    """Guards against starts behind unanswered orders on a worker that leaves (DRAIN).

    They waited for more than 2 s, and were sent whatever the worker had said meanwhile
    (review/beyond-2/drain.toml: 21, 9 and 3 starts on seeds 1, 2 and 4).
    """
    world = OwnerWorld()
    job = make_job()
    world.oracle.submissions[job.id] = job.submission
    with world.patched():
        process = world.processes[0]
        process.claim()
        process.round()
        owner = process.owner
        (task,) = job.steps_of(0)[0]
        worker = next(iter(owner.parts.table.workers.values()))
        process.index.apply(
            record_key(RecordKind.SUBMISSION, job.id), encode_submission(job.submission)
        )
        owner.rounds.activate(job)
        assign(owner.parts.table, task, worker)
        assert owner.parts.orders.is_wanted(task, 1)
        worker.info.is_draining = True
        assert not owner.parts.orders.is_wanted(task, 1)


def test_an_owner_with_an_unforeseen_error_ends_and_says_so(monkeypatch):
    """Guards against an owner that ends unnoticed, in a process that claims the jobs again.

    A tenant's weight of 0 ended the thread at each claim; 12 accepted jobs never ran.
    """
    reported = []
    monkeypatch.setattr(threading, "excepthook", reported.append)
    world = OwnerWorld()
    with world.patched():
        owner = Owner(world.services(world.processes[0]), "one/1", 1, 1)
        monkeypatch.setattr(Planner, "plan", lambda *_: 1 / 0)
        owner.start()
        owner.join(10.0)
    assert owner.has_failed and not owner.is_alive and len(reported) == 1
    assert owner.parts.journal.may_extend() is False


def test_news_that_never_ends_does_not_keep_an_owner_from_storing(monkeypatch):
    """Guards against a round of seconds, after which another process owns the jobs.

    Seen with 10,000 tasks on three workers: 3.2 s, as answers came faster than they were handled.
    """
    world = OwnerWorld()
    with world.patched():
        process = world.processes[0]
        process.claim()
        owner = process.owner
        event = JobChange(RecordKind.CANCEL, "0" * 16)

        def cancel_slowly(rounds, job_id):
            world.pass_time(0.03)
            owner.inbox.put(event)

        monkeypatch.setattr(OwnerRound, "cancel", cancel_slowly)
        owner.inbox.put(event)
        began_s = world.clock.now_s
        process.round()
        assert 0.1 <= world.clock.now_s - began_s < 0.3
