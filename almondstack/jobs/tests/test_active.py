"""Which steps may start next, and how ends of runs change the state of a job."""

from hypothesis import given
from hypothesis import strategies as st

from almondstack.jobs import (
    JobState,
    RunEnd,
    Step,
    TaskKey,
    TaskRecord,
    TaskStatus,
    chain_lengths_ms,
)
from almondstack.jobs.progress import decode_progress, decode_state
from almondstack.jobs.records import decode_submission
from almondstack.testing.job_builders import make_job, make_step


def _ready(job, now_ms=0.0):
    return [tasks[0].key[:2] for tasks in job.ready_steps(now_ms)]


def _run(job, key, end=RunEnd.DONE):
    task = job.task(TaskKey(*key))
    job.assign([task], ["w"], [1], 0.0)
    job.end_run(task, end, "", 1.0)


def test_a_step_waits_for_all_tasks_of_the_steps_before_it():
    job = make_job(make_step(2), make_step(after=(0,)))
    _run(job, (0, 0, 0))
    assert _ready(job) == [(0, 0)]
    _run(job, (0, 0, 1))
    assert _ready(job) == [(0, 1)]


@given(st.lists(st.tuples(st.integers(0, 5), st.sampled_from(RunEnd)), max_size=30))
def test_burst_ready_steps_that_are_remembered_equal_those_of_a_new_job(ends):
    """Each round asks each job for its ready steps; only starts and ends of runs change them."""
    steps = (make_step(2), make_step(2, after=(0,)), make_step(1, is_gang=True), make_step(1))
    job = make_job(*steps, max_attempts=5)
    tasks = [task for step in job.steps_of(0) for task in step]
    for number, end in ends:
        task = tasks[number]
        assert _ready(job) == _ready_of_a_copy(job)
        if task.is_assigned:
            job.end_run(task, end, "", 1.0)
        elif job.is_open and task.key[:2] in _ready(job):
            job.assign([task], ["w"], [1], 0.0)
        assert _ready(job) == _ready_of_a_copy(job)


def _ready_of_a_copy(job):
    """Return the ready steps of a job that is restored from the records of another."""
    copy = make_job(*job.submission.steps, max_attempts=job.max_attempts)
    copy.restore(job.state, decode_progress(job.encode()))
    return _ready(copy)


def test_a_job_is_completed_with_its_last_task():
    job = make_job(make_step(2))
    _run(job, (0, 0, 0))
    assert job.state is JobState.RUNNING
    _run(job, (0, 0, 1))
    assert job.state is JobState.COMPLETED


def test_a_job_fails_when_a_task_has_used_its_attempts():
    job = make_job(max_attempts=2)
    _run(job, (0, 0, 0), RunEnd.FAILED)
    assert job.state is JobState.RUNNING
    _run(job, (0, 0, 0), RunEnd.FAILED)
    assert job.state is JobState.FAILED


def test_interrupted_runs_do_not_count_as_failed_attempts():
    job = make_job(max_attempts=1)
    for end in (RunEnd.STOPPED, RunEnd.LAPSED, RunEnd.LOST, RunEnd.BROKEN, RunEnd.ALONE):
        _run(job, (0, 0, 0), end)
    assert job.state is JobState.RUNNING
    assert job.task(TaskKey(0, 0, 0)).failures == 0


def _run_gang(job, *ends):
    """Start all members of the job's gang, and end them in order."""
    members = _start_gang(job)
    for member, end in zip(members, ends, strict=True):
        job.end_run(member, end, "", 1.0)


def _start_gang(job):
    members = job.steps_of(0)[0]
    job.assign(members, ["w"] * len(members), [1] * len(members), 0.0)
    return members


def _next_owner_of(job):
    """Return the job as the next owner takes it over."""
    copy = make_job(*job.submission.steps, max_attempts=job.max_attempts)
    value = job.encode()
    copy.restore(decode_state(value), decode_progress(value))
    return copy


def test_failed_runs_of_a_gang_count_together_whichever_member_fails():
    job = make_job(make_step(2, is_gang=True), max_attempts=2)
    _run_gang(job, RunEnd.FAILED, RunEnd.BROKEN)
    assert job.state is JobState.RUNNING
    _run_gang(job, RunEnd.BROKEN, RunEnd.FAILED)
    assert job.state is JobState.FAILED


def test_a_run_of_a_gang_in_which_all_members_fail_is_one_attempt():
    """Guards against a gang given up before it has failed often enough (gang-failed, LOST).

    Each failed end of one run counted as an attempt of the gang.
    """
    job = make_job(make_step(3, is_gang=True), max_attempts=2)
    _run_gang(job, *[RunEnd.FAILED] * 3)
    assert job.state is JobState.RUNNING and _ready(job) == [(0, 0)]
    _run_gang(job, *[RunEnd.FAILED] * 3)
    assert job.state is JobState.FAILED


def test_a_failed_run_of_a_gang_is_one_attempt_across_a_change_of_the_owner():
    job = make_job(make_step(2, is_gang=True), max_attempts=2)
    job.end_run(_start_gang(job)[0], RunEnd.FAILED, "", 1.0)
    job = _next_owner_of(job)
    job.end_run(job.steps_of(0)[0][1], RunEnd.FAILED, "", 1.0)
    assert job.state is JobState.RUNNING and _ready(job) == [(0, 0)]
    job.end_run(_start_gang(job)[0], RunEnd.BROKEN, "", 1.0)
    job = _next_owner_of(job)
    job.end_run(job.steps_of(0)[0][1], RunEnd.FAILED, "", 1.0)
    assert job.state is JobState.FAILED


@given(
    st.integers(1, 3),
    st.lists(
        st.tuples(st.sampled_from(RunEnd), st.sampled_from(RunEnd), st.booleans()), max_size=12
    ),
)
def test_a_gang_has_as_many_attempts_as_runs_that_fail(max_attempts, runs):
    """No task starts after its attempts are used up (BUDGET), and none is given up sooner (LOST).

    An owner may change between any two ends of a run.
    """
    job = make_job(make_step(2, is_gang=True), max_attempts=max_attempts)
    failed_runs = 0
    for first, second, changes in runs:
        if RunEnd.DONE in (first, second):
            continue
        assert job.is_open == (failed_runs < max_attempts)
        if not job.is_open:
            return
        job.end_run(_start_gang(job)[0], first, "", 1.0)
        job = _next_owner_of(job) if changes and job.is_open else job
        job.end_run(job.steps_of(0)[0][1], second, "", 1.0)
        failed_runs += RunEnd.FAILED in (first, second)
    assert job.is_open == (failed_runs < max_attempts)


def test_a_gang_with_the_failures_of_an_older_record_uses_up_no_more_than_its_attempts():
    """Such a record doesn't say in which runs the members failed, so each failure counts."""
    job = make_job(make_step(2, is_gang=True), max_attempts=2)
    failed = TaskRecord(TaskKey(0, 0, 0), TaskStatus.WAITING, 2, 1)
    assigned = TaskRecord(TaskKey(0, 0, 1), TaskStatus.ASSIGNED, 2, 0, "w", 1)
    job.restore(JobState.RUNNING, [failed, assigned])
    job.end_run(job.task(TaskKey(0, 0, 1)), RunEnd.FAILED, "", 1.0)
    assert job.state is JobState.FAILED


def test_one_completed_member_completes_its_gang():
    job = make_job(make_step(3, is_gang=True))
    _run(job, (0, 0, 1))
    assert job.state is JobState.COMPLETED


def test_members_of_a_gang_share_one_run_number():
    job = make_job(make_step(2, is_gang=True))
    members = job.steps_of(0)[0]
    job.assign(members[:1], ["w"], [1], 0.0)
    job.end_run(members[0], RunEnd.LOST, "", 0.0)
    job.assign(members, ["w", "x"], [1, 1], 0.0)
    assert [member.run for member in members] == [2, 2]


def test_a_long_running_task_is_ready_again_after_any_end_of_a_run():
    job = make_job(make_step(is_long_running=True), max_attempts=1)
    for end in (RunEnd.DONE, RunEnd.FAILED, RunEnd.STOPPED):
        _run(job, (0, 0, 0), end)
        assert _ready(job) == [(0, 0)]
    assert job.state is JobState.RUNNING


def test_occurrences_start_when_due_and_may_overlap():
    job = make_job(occurrences=2, first_due_ms=1_000, interval_ms=500)
    assert _ready(job, 999.0) == []
    assert _ready(job, 1_000.0) == [(0, 0)]
    assert _ready(job, 1_500.0) == [(0, 0), (1, 0)]
    assert job.next_due_ms(1_000.0) == 1_500


def test_a_scheduled_job_is_not_completed_before_its_last_occurrence():
    job = make_job(occurrences=2, first_due_ms=1_000, interval_ms=500)
    list(job.ready_steps(1_000.0))
    _run(job, (0, 0, 0))
    assert job.state is JobState.RUNNING
    _run(job, (1, 0, 0))
    assert job.state is JobState.COMPLETED


def test_a_cancelled_job_starts_nothing_and_ends_as_cancelled():
    job = make_job(make_step(2))
    _run(job, (0, 0, 0))
    job.cancel()
    _run(job, (0, 0, 1))
    assert _ready(job) == []
    assert job.state is JobState.CANCELLED


def test_an_encoded_job_is_restored_unchanged():
    job = make_job(make_step(2, has_checkpoints=True))
    task = job.task(TaskKey(0, 0, 1))
    job.assign([task], ["w7"], [42], 0.0)
    task.checkpoint = "c"
    value = job.encode()
    copy = make_job(make_step(2, has_checkpoints=True))
    copy.restore(decode_state(value), decode_progress(value))
    restored = copy.task(TaskKey(0, 0, 1))
    assert (restored.run, restored.worker, restored.life) == (1, "w7", 42)
    assert restored.checkpoint == "c" and restored.is_assigned
    assert copy.state is JobState.RUNNING


def test_there_is_no_task_for_a_key_outside_the_job():
    job = make_job()
    for key in ((1, 0, 0), (0, 1, 0), (0, 0, 1), (-1, 0, 0)):
        assert job.task(TaskKey(*key)) is None


def test_chain_lengths_of_many_dependent_steps_take_little_time():
    steps = tuple(Step(1, estimate_ms=10, after=tuple(range(number))) for number in range(200))
    assert chain_lengths_ms(steps)[0] == 2_000


def test_the_records_of_a_job_that_is_over_are_small():
    """After a power failure, slow machines took 3 to 6 s to read 2,100 records at their start."""
    job = make_job(make_step(24), spec="x" * 2_000)
    for member in range(24):
        _run(job, (0, 0, member))
    assert len(job.encode()) + len(job.encode_retained_submission()) < 60
    left = make_job(id="left")
    left.submission = decode_submission(job.encode_retained_submission())
    assert (left.submission.queue, left.submission.account) == ("q", "a")


def test_a_cancelled_job_records_its_runs_until_they_have_ended():
    job = make_job(make_step(2))
    task = job.task(TaskKey(0, 0, 1))
    job.assign([task], ["w7"], [42], 0.0)
    job.cancel()
    assert [record.worker for record in decode_progress(job.encode())] == ["w7"]
    job.end_run(task, RunEnd.STOPPED, "", 1.0)
    assert decode_progress(job.encode()) == []


def test_all_members_of_a_gang_resume_from_the_same_checkpoint():
    """Guards against a gang whose members start with different checkpoints, which is not allowed.

    Each member kept its own; a member that had saved none started from the beginning.
    """
    job = make_job(make_step(3, is_gang=True))
    members = job.steps_of(0)[0]
    job.assign(members, ["w1", "w2", "w3"], [1, 1, 1], 0.0)
    job.note_checkpoint(members[1], "0001")
    job.end_run(members[2], RunEnd.STOPPED, "0002", 1.0)
    assert [member.checkpoint for member in members] == ["0002"] * 3


def test_a_gang_with_the_checkpoints_of_an_older_record_resumes_from_one_of_them():
    job = make_job(make_step(3, is_gang=True))
    members = job.steps_of(0)[0]
    for member, checkpoint in zip(members, ("", "0001", "0003"), strict=True):
        member.checkpoint = checkpoint
    job.assign(members, ["w1", "w2", "w3"], [1, 1, 1], 0.0)
    assert [member.checkpoint for member in members] == ["0003"] * 3


def test_tasks_outside_a_gang_keep_their_own_checkpoints():
    job = make_job(make_step(2))
    first, second = job.steps_of(0)[0]
    job.note_checkpoint(first, "0001")
    assert (first.checkpoint, second.checkpoint) == ("0001", "")
