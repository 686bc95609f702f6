"""Tests of following a topic of the platform's store."""

import threading

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import Batch, ReadBackoff, Record, Snapshot, StoreRefusedError
from almondstack.platform.topic_follower import TopicFollower

_LONG_S = 60.0
"""A pause that no test waits for, in seconds."""


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


def test_a_new_owner_reads_the_workers_without_waiting_for_the_pause_of_a_follower(topic):
    """Instances that had been moved just before a change of owner stood idle for up to 2 s."""
    reads = []
    second_read = threading.Event()

    def apply_snapshot(records):
        reads.append("snapshot")

    def read(offset, wait_s):
        reads.append(offset)
        second_read.set()
        return Batch([], offset, offset)

    topic.read = read
    follower = TopicFollower(
        "x", topic, lambda record: None, apply_snapshot, EventLog("test"), 0.0, _LONG_S
    )
    follower.start()
    assert not second_read.wait(0.05)
    follower.change_pause(_LONG_S / 2)
    assert second_read.wait(_LONG_S / 4)
    follower.stop()
    assert reads == ["snapshot", 9]


def test_a_stopped_follower_does_not_finish_its_pause(topic):
    follower = TopicFollower(
        "x", topic, lambda record: None, lambda records: None, EventLog("test"), 0.0, _LONG_S
    )
    follower.start()
    follower.stop()
    follower._thread.join(_LONG_S / 4)
    assert not follower._thread.is_alive()


def test_an_owner_reads_the_workers_at_its_own_pace_while_others_space_out_their_reads(topic):
    """At 300 processes an owner started runs on workers that had drained for 3 s (sweep, DRAIN)."""
    follower = _follower(topic, [])
    topic.read_backoff.note_refused()
    assert follower._pause_factor() > 1.0
    follower.change_pause(0.08, ignores_throttling=True)
    assert follower._pause_factor() == 1.0
    follower.change_pause(2.0)
    assert follower._pause_factor() > 1.0


def test_a_record_with_an_unforeseen_error_does_not_hide_those_after_it(topic):
    """Guards against one record that keeps all others from being applied (review/6)."""
    applied = []

    def apply(record):
        if record.value == b"7":
            raise IndexError("list index out of range")
        applied.append(record.value)

    follower = TopicFollower("x", topic, apply, applied.extend, EventLog("test"), 0.0, 0.0)
    assert follower.read_once(7) == 9
    assert applied == [b"8"]
