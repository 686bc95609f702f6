"""When a process takes over from a slower owner."""

from almondstack.jobs import OwnerNotice
from almondstack.ownership.claim_priority import ClaimPriority
from almondstack.ownership.settings import OwnershipSettings

_SETTINGS = OwnershipSettings(faster_waits_s=5.0)


def _priority(*notices):
    priority = ClaimPriority(2.0, _SETTINGS)
    for at_s, notice in notices:
        priority.note_notice(notice, at_s)
    return priority


def test_a_raised_token_is_no_new_owner():
    """Guards against a slow owner that is never replaced as its workers start again and again."""
    slow = [(float(at_s), OwnerNotice("a/1", at_s, cores=0.5)) for at_s in range(1, 6)]
    assert _priority(*slow).should_preempt(6.5)


def test_another_owner_is_given_its_time():
    slow = [(1.0, OwnerNotice("a/1", 1, cores=0.5)), (4.0, OwnerNotice("b/1", 2, cores=0.5))]
    assert not _priority(*slow).should_preempt(6.5)
    assert _priority(*slow).should_preempt(9.5)
