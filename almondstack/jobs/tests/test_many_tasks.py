"""Jobs with many occurrences or many tasks: what is in memory and in their records."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.jobs import (
    JobIndex,
    JobState,
    OwnerNotice,
    RecordError,
    RecordKind,
    RunEnd,
    TaskBudget,
    TaskKey,
    decode_done_occurrences,
    decode_progress,
    encode_notice,
    encode_submission,
    record_key,
)
from almondstack.jobs.progress import _decode, done_rows, encode_progress
from almondstack.jobs.ranges import RangeSet
from almondstack.testing.job_builders import make_job, make_step

_MINUTE_MS = 60_000
_MAX_RECORD_BYTES = 262_144


def _backlog(times=525_600, due=432_000, **fields):
    """Return a job that is due once a minute since 300 days, and the time of day."""
    job = make_job(make_step(6), occurrences=times, interval_ms=_MINUTE_MS, **fields)
    return job, due * _MINUTE_MS - 1.0


def _end_all(job, steps):
    for tasks in steps:
        for task in tasks:
            job.assign([task], ["w"], [1], 0.0)
            job.end_run(task, RunEnd.DONE, "", 1.0)


def _copy(job, value):
    copy = make_job(*job.submission.steps, occurrences=job.submission.occurrences)
    copy.submission = job.submission
    copy.restore(JobState.RUNNING, decode_progress(value), decode_done_occurrences(value))
    return copy


def test_occurrences_that_were_due_long_ago_are_opened_a_few_at_a_time():
    """Guards against a schedule begun long ago that fills the memory of each owner (review/8).

    All 432,000 occurrences were created at once, 2.6 million tasks; each owner was killed.
    """
    job, now_ms = _backlog()
    ready = list(job.ready_steps(now_ms))
    assert 6 <= len(list(job.tasks())) <= 1_000 and len(ready) > 100
    assert [tasks[0].key.occurrence for tasks in ready] == list(range(len(ready)))


def test_the_backlog_of_a_schedule_goes_on_as_occurrences_end():
    job, now_ms = _backlog(times=1_000, due=1_000)
    starts = 0
    while job.is_open:
        ready = list(job.ready_steps(now_ms))
        assert ready and job.open_tasks <= 1_000
        starts += len(ready)
        _end_all(job, ready)
    assert (job.state, starts, job.open_tasks) == (JobState.COMPLETED, 1_000, 0)


def test_a_job_with_many_wide_steps_opens_them_one_after_the_other():
    """Guards against 10 million tasks of one job, which a body of 20 KB may ask for (review/8)."""
    job = make_job(*[make_step(10_000) for _ in range(100)])
    assert len(list(job.ready_steps(0.0))) == 1
    assert job.open_tasks == 10_000
    _end_all(job, list(job.ready_steps(0.0)))
    assert [tasks[0].key.step for tasks in job.ready_steps(0.0)] == [1]


def test_large_jobs_of_an_account_share_a_budget_and_small_ones_need_none():
    budget = TaskBudget()
    jobs = [make_job(make_step(count), id=f"{count}") for count in (9_000, 5_000, 8)]
    for job in jobs:
        job.use_budget(budget)
    assert [len(list(job.ready_steps(0.0))) for job in jobs] == [1, 0, 1]
    jobs[0].close()
    assert len(list(jobs[1].ready_steps(0.0))) == 1


def test_the_next_due_time_of_a_long_schedule_is_computed_at_once():
    job, now_ms = _backlog(times=1_000_000_000)
    assert job.next_due_ms(now_ms) == 432_000 * _MINUTE_MS


@pytest.mark.parametrize("interval_ms, due", [(0, 7), (500, 3)])
def test_the_number_of_due_occurrences(interval_ms, due):
    submission = make_job(occurrences=7, first_due_ms=1_000, interval_ms=interval_ms).submission
    assert [submission.due_count(now) for now in (999.0, 2_000.5)] == [0, due]
    assert all((submission.due_ms(k) <= 2_000.5) == (k < due) for k in range(7))


def test_the_record_of_a_long_schedule_stays_small():
    """Guards against a record that the store refuses since it lists each task that is done."""
    job, now_ms = _backlog(times=4_000, due=4_000)
    while list(job.ready_steps(now_ms)) and not job.needs_ranges:
        _end_all(job, list(job.ready_steps(now_ms)))
    value = job.encode(may_use_ranges=True)
    assert len(value) < 2_000
    assert len(job.encode()) < _MAX_RECORD_BYTES
    for form in (value, job.encode()):
        copy = _copy(job, form)
        first = [next(iter(one.ready_steps(now_ms)))[0].key for one in (job, copy)]
        assert first[0] == first[1]


def test_wide_steps_that_are_done_take_a_few_bytes():
    job = make_job(*[make_step(10_000) for _ in range(3)])
    for _ in range(2):
        _end_all(job, list(job.ready_steps(0.0)))
    assert len(job.encode(may_use_ranges=True)) < 100
    copy = _copy(job, job.encode(may_use_ranges=True))
    assert [tasks[0].key.step for tasks in copy.ready_steps(0.0)] == [2]


def test_checkpoints_are_dropped_before_a_record_is_too_large():
    job = make_job(make_step(10_000, has_checkpoints=True))
    for task in next(iter(job.ready_steps(0.0))):
        job.assign([task], ["w"], [1], 0.0)
        job.end_run(task, RunEnd.STOPPED, "00000bb87a21d94b", 1.0)
    assert len(job.encode()) < _MAX_RECORD_BYTES


def test_a_short_schedule_is_recorded_as_builds_before_the_ranges_read_it():
    """Guards against an owner of the build before that runs what is done again."""
    job, now_ms = _backlog(times=5, due=5)
    _end_all(job, list(job.ready_steps(now_ms))[:2])
    value = job.encode(may_use_ranges=True)
    assert value == encode_progress(
        JobState.RUNNING, [(occurrence, 0, done_rows(6)) for occurrence in (0, 1)]
    )
    assert {record.key.occurrence for record in _decode(value)} == {0, 1}


def test_a_build_before_the_ranges_can_read_neither_the_record_nor_the_notice():
    """Guards against an owner of the build before that takes open tasks for all that there are."""
    job = make_job(*[make_step(10_000) for _ in range(3)])
    for _ in range(2):
        _end_all(job, list(job.ready_steps(0.0)))
    with pytest.raises(RecordError):
        _decode(job.encode(may_use_ranges=True))
    notice = encode_notice(OwnerNotice("a/1", 7), has_ranges=True)
    assert not notice.startswith(b"\x02") and encode_notice(OwnerNotice("a/1", 7))[:1] == b"\x02"
    index = JobIndex()
    index.apply(record_key(RecordKind.OWNER), notice)
    assert index.notice == OwnerNotice("a/1", 7) and index.notice_has_ranges


def test_a_claim_tells_of_ranges_only_while_a_job_with_many_tasks_is_open():
    index = JobIndex()
    for job in (make_job(id="a" * 16), _backlog(id="b" * 16)[0]):
        index.apply(record_key(RecordKind.SUBMISSION, job.id), encode_submission(job.submission))
    assert index.needs_ranges
    over = encode_progress(JobState.CANCELLED, ())
    index.apply(record_key(RecordKind.PROGRESS, "b" * 16), over)
    assert not index.needs_ranges


def test_there_are_tasks_of_steps_that_are_done_only_for_who_asks():
    job = make_job(make_step(2), make_step(after=(0,)))
    _end_all(job, list(job.ready_steps(0.0)))
    assert list(job.tasks()) == []
    assert job.task(TaskKey(0, 0, 1)).status.name == "DONE"


@given(st.lists(st.integers(0, 30), max_size=40))
def test_ranges_hold_what_was_added(numbers):
    found, expected = RangeSet(), set()
    for number in numbers:
        found.add(number)
        expected.add(number)
    assert list(found) == sorted(expected) and len(found) == len(expected)
    assert list(RangeSet(found.ranges())) == sorted(expected)
    for number in range(32):
        assert (number in found) == (number in expected)
        assert found.next_missing(number) == min(set(range(number, 33)) - expected)
