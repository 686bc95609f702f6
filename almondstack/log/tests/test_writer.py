"""Tests of the order, the retries and the maximum of pending records of the writer."""

import threading

import pytest

from almondstack.core import LocalMetrics, LogServiceSettings, SystemClock
from almondstack.fold import Fold
from almondstack.log import FLEET, RecordWriter, WriterFullError
from almondstack.model import KeyRevoked, decode_envelope
from almondstack.testing.fake_log import FakeLog

SETTINGS = LogServiceSettings(address="127.0.0.1:1", batch_window_s=0.0)


def _writer(log: FakeLog, metrics: LocalMetrics, **fields) -> RecordWriter:
    fields = {"position": lambda: 0, **fields}
    return RecordWriter(log.client(), FLEET, "me", SETTINGS, metrics, SystemClock(), **fields)


def _sequences(log: FakeLog) -> list[int]:
    return [decode_envelope(data).sequence for data in log.records(FLEET)]


def test_sequences_of_many_threads_reach_the_log_in_order_despite_lost_replies():
    log, metrics = FakeLog(), LocalMetrics()
    log.lost_replies = 2
    writer = _writer(log, metrics)
    writer.start()
    threads = [
        threading.Thread(target=lambda: [writer.submit(KeyRevoked("k")) for _ in range(50)])
        for _ in range(4)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert writer.wait_until_confirmed(10)
    writer.stop()
    first_seen = list(dict.fromkeys(_sequences(log)))
    assert first_seen == list(range(1, 201))
    assert metrics.total("log.fleet.retried.reply-lost") == 2
    assert metrics.total("log.fleet.records") == 200
    assert log.append_count < 200


def test_outage_fills_the_pending_records_to_their_maximum_and_no_further():
    log, metrics = FakeLog(), LocalMetrics()
    log.is_down = True
    writer = _writer(log, metrics, max_pending=100)
    accepted = [writer.submit(KeyRevoked("k")) for _ in range(100)]
    for _ in range(1000):
        with pytest.raises(WriterFullError):
            writer.submit(KeyRevoked("k"))
    assert writer.pending_count == 100
    assert metrics.total("log.fleet.refused.writer-full") == 1000
    assert not writer.append_once()
    log.is_down = False
    assert writer.append_once()
    assert _sequences(log) == accepted
    assert writer.submit(KeyRevoked("k")) == 101


def test_base_is_the_position_at_the_first_append_and_kept_by_retries():
    log, fold = FakeLog(), Fold()
    positions: list[int | None] = [None]
    writer = _writer(log, LocalMetrics(), position=lambda: positions[0])
    writer.submit(KeyRevoked("k"))
    assert not writer.append_once() and not log.records(FLEET)
    positions[0] = 7
    log.lost_replies = 1
    assert not writer.append_once()
    positions[0] = 9
    assert writer.append_once()
    assert [decode_envelope(data).base for data in log.records(FLEET)] == [7, 7]
    assert fold.next_offset == 0
