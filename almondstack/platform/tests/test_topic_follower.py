"""Tests of following a topic of the platform's store."""

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import Batch, ReadBackoff, Record, Snapshot, StoreRefusedError
from almondstack.platform.topic_follower import TopicFollower


class _Topic:
    """A topic whose reads return at most two records."""

    def __init__(self):
        self.records = [Record("config", b"%d" % number) for number in range(9)]
        self.snapshots = 0
        self.is_down = False
        self.read_backoff = ReadBackoff()

    def snapshot(self):
        """Return the newest record."""
        self.snapshots += 1
        return Snapshot(self.records[-1:], len(self.records))

    def read(self, offset, wait_s):
        """Return up to two records from an offset on."""
        if self.is_down:
            raise StoreRefusedError("away")
        found = self.records[offset : offset + 2]
        return Batch(found, offset + len(found), len(self.records))


@pytest.fixture
def topic():
    """Return a topic of nine configurations."""
    return _Topic()


def _follower(topic, applied):
    def apply_snapshot(records):
        applied.extend(record.value for record in records)

    def apply(record):
        applied.append(record.value)

    return TopicFollower("x", topic, apply, apply_snapshot, EventLog("test"), 0.0, 0.0)


def test_a_process_that_is_far_behind_skips_to_the_newest_configuration(topic):
    """Fifteen large configurations were read one by one over a slow link.

    The machine answered 404 for a route 3.9 s after it had been added (lbna-almond-grown,
    scale-2).
    """
    applied = []
    follower = _follower(topic, applied)
    offset = follower.read_once(0)
    assert applied == [b"0", b"1"] and offset is None
    assert follower.read_once(offset) == 9
    assert applied == [b"0", b"1", b"8"]


def test_after_an_outage_the_newest_records_are_read(topic, monkeypatch):
    follower = _follower(topic, [])
    assert not follower._needs_snapshot()
    follower._record_failure(StoreRefusedError("away"))
    assert not follower._needs_snapshot()
    follower._failing_since_s -= 2.0
    assert follower._needs_snapshot()
    follower._record_success()
    assert not follower._needs_snapshot()


def test_single_records_are_applied_in_order(topic):
    applied = []
    follower = _follower(topic, applied)
    assert follower.read_once(7) == 9 and applied == [b"7", b"8"]
    assert topic.snapshots == 0


def test_an_unexpected_error_does_not_end_the_followers_thread():
    """The thread ended, and the process used an old configuration from then on.

    Seen in lbna-almond-grown, trouble-3.
    """
    applied = []

    class _Faulty(_Topic):
        def snapshot(self):
            if self.snapshots == 0:
                self.snapshots += 1
                raise IndexError("list index out of range")
            follower.stop()
            return super().snapshot()

    follower = _follower(_Faulty(), applied)
    follower._run()
    assert applied == [b"8"]
