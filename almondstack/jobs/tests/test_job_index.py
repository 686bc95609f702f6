"""The fold of job records."""

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


def _book():
    book = JobIndex()
    book.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission())
    return book


def test_the_first_submission_of_an_id_holds():
    book = _book()
    book.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission("other"))
    assert book.entry("j1").account == "a"


def test_a_cancel_is_shown_at_once_and_never_over_an_end():
    book = _book()
    book.apply(record_key(RecordKind.CANCEL, "j1"), b"\x01")
    assert book.entry("j1").shown_state is JobState.CANCELLED
    book.apply(record_key(RecordKind.PROGRESS, "j1"), encode_progress(JobState.COMPLETED, []))
    assert book.entry("j1").shown_state is JobState.COMPLETED


def test_a_cancel_before_its_submission_is_kept():
    book = JobIndex()
    book.apply(record_key(RecordKind.CANCEL, "j1"), b"\x01")
    book.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission())
    assert book.entry("j1").is_cancelled


def test_pending_counts_jobs_without_a_start():
    book = _book()
    book.apply(record_key(RecordKind.SUBMISSION, "j2"), _submission())
    assert book.pending("q") == 2 and book.pending("other") == 0
    book.apply(record_key(RecordKind.PROGRESS, "j1"), encode_progress(JobState.RUNNING, []))
    assert book.pending("q") == 1


def test_a_record_without_value_drops_the_job():
    book = _book()
    book.apply(record_key(RecordKind.SUBMISSION, "j1"), b"")
    assert book.entry("j1") is None


def test_records_that_do_not_decode_are_passed_over():
    book = _book()
    for key, value in (("?x", b"1"), ("jj3", b"\xc1"), ("pj1", b"\xff"), ("o", b"\xc1")):
        book.apply(key, value)
    assert [job for job, _ in book.entries()] == ["j1"]
    assert book.notice is None


def test_the_newest_notice_of_an_owner_holds():
    book = JobIndex()
    for token in (1, 9):
        notice = OwnerNotice("me", token, "127.0.0.1:1", {"p/a": 300})
        book.apply(record_key(RecordKind.OWNER), encode_notice(notice))
    assert book.notice.token == 9 and book.notice.waits_ms == {"p/a": 300}


def test_listeners_hear_of_submissions_and_cancels_once():
    heard = []
    book = JobIndex(lambda kind, job: heard.append((kind, job)))
    for _ in range(2):
        book.apply(record_key(RecordKind.SUBMISSION, "j1"), _submission())
        book.apply(record_key(RecordKind.CANCEL, "j1"), b"\x01")
    assert heard == [(RecordKind.SUBMISSION, "j1"), (RecordKind.CANCEL, "j1")]


def test_a_newcomer_shows_the_state_of_a_job_of_which_little_is_kept():
    job = make_job(make_step(), account="a")
    job.cancel()
    book = JobIndex()
    book.apply(record_key(RecordKind.SUBMISSION, "j1"), job.encode_retained_submission())
    book.apply(record_key(RecordKind.PROGRESS, "j1"), job.encode())
    assert book.entry("j1").account == "a"
    assert book.entry("j1").shown_state is JobState.CANCELLED
