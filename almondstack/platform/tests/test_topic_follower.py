"""How a topic of the platform's store is followed."""

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import Batch, ReadBackoff, Record, Snapshot, StoreRefusedError
from almondstack.platform.topic_follower import TopicFollower


class _Topic:
    """A topic of which one answer holds two records."""

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
        """Return what follows an offset."""
        if self.is_down:
            raise StoreRefusedError("away")
        found = self.records[offset : offset + 2]
        return Batch(found, offset + len(found), len(self.records))


@pytest.fixture
def topic():
    """Return a topic of nine configurations."""
    return _Topic()


def _follower(topic, taken):
    def take_all(records):
        taken.extend(record.value for record in records)

    def take(record):
        taken.append(record.value)

    return TopicFollower("x", topic, take, take_all, EventLog("test"), 0.0, 0.0)


def test_a_process_that_is_far_behind_reads_the_newest_configuration_only(topic):
    """Fifteen large configurations came over a slow link one by one (lbna-almond-grown scale-2).

    The machine answered 404 for a route 3.9 s after it had come.
    """
    taken = []
    follower = _follower(topic, taken)
    offset = follower.step(0)
    assert taken == [b"0", b"1"] and offset is None
    assert follower.step(offset) == 9
    assert taken == [b"0", b"1", b"8"]


def test_after_an_outage_the_newest_records_are_read(topic, monkeypatch):
    follower = _follower(topic, [])
    assert not follower._is_behind()
    follower._note_lost(StoreRefusedError("away"))
    assert not follower._is_behind()
    follower._failing_since_s -= 2.0
    assert follower._is_behind()
    follower._note_regained()
    assert not follower._is_behind()


def test_records_that_come_one_by_one_are_taken_in_their_order(topic):
    taken = []
    follower = _follower(topic, taken)
    assert follower.step(7) == 9 and taken == [b"7", b"8"]
    assert topic.snapshots == 0


def test_an_unforeseen_error_does_not_end_the_thread_that_follows():
    """It did, and the process went by an old version for good (lbna-almond-grown trouble-3)."""
    taken = []

    class _Faulty(_Topic):
        def snapshot(self):
            if self.snapshots == 0:
                self.snapshots += 1
                raise IndexError("list index out of range")
            follower.stop()
            return super().snapshot()

    follower = _follower(_Faulty(), taken)
    follower._run()
    assert taken == [b"8"]
