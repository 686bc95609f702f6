"""How records of the store update the index of jobs."""

import msgspec

from almondstack.jobs import (
    JobIndex,
    JobState,
    OwnerNotice,
    RecordKind,
    Submission,
    encode_notice,
    encode_progress,
    encode_submission,
    record_key,
)
from almondstack.testing.job_builders import make_job, make_step


def _submission(account="a"):
    return encode_submission(Submission("q", account, "s", (make_step(),)))


def _index():
    index = JobIndex()
    index.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission())
    return index


def test_a_second_submission_of_an_id_is_ignored():
    index = _index()
    index.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission("other"))
    assert index.entry("j1").account == "a"


def test_a_cancel_is_shown_at_once_but_never_replaces_a_final_state():
    index = _index()
    index.apply(record_key(RecordKind.CANCEL, "j1"), b"\x01")
    assert index.entry("j1").shown_state is JobState.CANCELLED
    index.apply(record_key(RecordKind.PROGRESS, "j1"), encode_progress(JobState.COMPLETED, []))
    assert index.entry("j1").shown_state is JobState.COMPLETED


def test_a_cancel_that_arrives_before_its_submission_is_kept():
    index = JobIndex()
    index.apply(record_key(RecordKind.CANCEL, "j1"), b"\x01")
    index.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission())
    assert index.entry("j1").is_cancelled


def test_pending_counts_jobs_of_which_no_task_has_started():
    index = _index()
    index.apply(record_key(RecordKind.SUBMISSION, "j2"), _submission())
    assert index.pending("q") == 2 and index.pending("other") == 0
    index.apply(record_key(RecordKind.PROGRESS, "j1"), encode_progress(JobState.RUNNING, []))
    assert index.pending("q") == 1


def test_a_submission_record_without_value_removes_the_job():
    index = _index()
    index.apply(record_key(RecordKind.SUBMISSION, "j1"), b"")
    assert index.entry("j1") is None


def test_records_that_can_not_be_decoded_are_skipped():
    index = _index()
    for key, value in (("?x", b"1"), ("jj3", b"\xc1"), ("pj1", b"\xff"), ("o", b"\xc1")):
        index.apply(key, value)
    assert [job for job, _ in index.entries()] == ["j1"]
    assert index.notice is None


def test_the_newest_owner_notice_replaces_earlier_ones():
    index = JobIndex()
    for token in (1, 9):
        notice = OwnerNotice("me", token, "127.0.0.1:1", {"p/a": 300})
        index.apply(record_key(RecordKind.OWNER), encode_notice(notice))
    assert index.notice.token == 9 and index.notice.waits_ms == {"p/a": 300}


def test_the_listener_is_called_once_for_a_repeated_submission_or_cancel():
    calls = []
    index = JobIndex(lambda kind, job: calls.append((kind, job)))
    for _ in range(2):
        index.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission())
        index.apply(record_key(RecordKind.CANCEL, "j1"), b"\x01")
    assert calls == [(RecordKind.SUBMISSION, "j1"), (RecordKind.CANCEL, "j1")]


def test_an_index_built_from_retained_records_shows_the_final_state():
    job = make_job(make_step(), account="a")
    job.cancel()
    index = JobIndex()
    index.apply(record_key(RecordKind.SUBMISSION, "j1"), job.encode_retained_submission())
    index.apply(record_key(RecordKind.PROGRESS, "j1"), job.encode())
    assert index.entry("j1").account == "a"
    assert index.entry("j1").shown_state is JobState.CANCELLED


def test_a_snapshot_drops_what_it_lacks():
    """Guards against jobs and orders of long ago that a new owner goes on with."""
    index = _index()
    index.apply(record_key(RecordKind.SUBMISSION, "j2"), _submission())
    index.apply(record_key(RecordKind.CANCEL, "j3"), b"\x01")
    index.apply(record_key(RecordKind.INSTANCE, "m1"), b"\x01")
    index.apply(record_key(RecordKind.INSTANCE, "m2"), b"\x02")
    index.retain({record_key(RecordKind.SUBMISSION, "j2"), record_key(RecordKind.INSTANCE, "m2")})
    assert [job for job, _ in index.entries()] == ["j2"]
    assert [index.fleet_record(RecordKind.INSTANCE, name) for name in ("m1", "m2")] == [
        None,
        b"\x02",
    ]
    index.apply(record_key(RecordKind.SUBMISSION, "j3"), _submission())
    assert not index.entry("j3").is_cancelled


def test_a_notice_that_is_read_again_with_a_snapshot_makes_its_waits_no_newer():
    index = JobIndex()
    notice = OwnerNotice("me", 1, "", {"p/a": 9_000}, entitled_millis={}, written_unix_ms=1)
    value = encode_notice(notice)
    index.apply(record_key(RecordKind.OWNER), value)
    first = index.admission
    index.apply(record_key(RecordKind.OWNER), value)
    assert index.admission is first
    newer = msgspec.structs.replace(notice, written_unix_ms=2)
    index.apply(record_key(RecordKind.OWNER), encode_notice(newer))
    assert index.admission is not first
