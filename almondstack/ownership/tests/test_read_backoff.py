"""Backoff of a process's reads after the store has rejected some."""

from almondstack.ownership import ReadBackoff


def _reject(backoff, from_s, until_s):
    now_s = from_s
    while now_s < until_s:
        backoff.note_refused(now_s)
        now_s += 0.2


def test_reads_resume_soon_after_the_store_rejected_one_machine():
    """A process that keeps reading every 3 s would report ready for too long when partitioned."""
    backoff = ReadBackoff()
    _reject(backoff, 100.0, 108.0)
    assert backoff.factor(108.0) > 10.0
    backoff.note_answered(108.2)
    assert backoff.factor(108.2) <= 1.5


def test_reads_stay_backed_off_while_only_some_are_answered():
    backoff = ReadBackoff()
    now_s = 100.0
    for _ in range(20):
        backoff.note_refused(now_s)
        backoff.note_refused(now_s + 0.2)
        backoff.note_answered(now_s + 0.4)
        now_s += 0.8
    assert backoff.factor(now_s) > 10.0


def test_an_answer_alone_changes_nothing():
    backoff = ReadBackoff()
    _reject(backoff, 100.0, 100.1)
    backoff.note_answered(100.2)
    factor = backoff.factor(100.4)
    backoff.note_answered(100.4)
    assert backoff.factor(100.4) == factor > 1.0
