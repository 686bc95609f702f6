"""Tests of the store client against a stand-in of the platform's store."""

import pytest

from almondstack.core.http_client import HttpClient
from almondstack.ownership import (
    FencedError,
    HistoryLostError,
    LogMovedError,
    Record,
    StoreRefusedError,
    StoreUnclearError,
)
from almondstack.ownership.latency import StoreLatency
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.tests.builders import serving
from almondstack.standin.keyed_store import KeyedStoreStandin


@pytest.fixture
def store():
    """Serve a stand-in of the store; yields it with a client of one topic."""
    standin = KeyedStoreStandin()
    with serving(standin) as address:
        yield standin, KeyedTopic(StoreConnection(address), "keyed.work")


def _records(*keys):
    return [Record(key, b"v" + key.encode()) for key in keys]


def test_appended_records_are_read_in_order(store):
    _, topic = store
    topic.append(_records("a", "b"), 1.0)
    batch = topic.read(0, 0.0)
    assert batch.records == _records("a", "b") and batch.next_offset == 2
    assert topic.read(2, 0.01).records == []


def test_a_snapshot_of_many_pages_holds_the_newest_record_of_each_key(store):
    standin, topic = store
    for number in range(1_200):
        standin.put("keyed.work", f"k{number:04}", b"1")
    standin.put("keyed.work", "k0000", b"2")
    standin.put("keyed.work", "k0001", b"")
    snapshot = topic.snapshot()
    assert len(snapshot.records) == 1_199 and snapshot.next_offset == 1_202
    assert dict(snapshot.records)["k0000"] == b"2"


def _refuse_reads(monkeypatch, is_refused):
    """Have the store refuse the reads for which ``is_refused(number, path)``; return all paths."""
    paths = []
    read = StoreConnection.read

    def refusing(connection, path, timeout_s, wait_s=0.0):
        paths.append(path)
        if is_refused(len(paths), path):
            connection.read_backoff.note_refused()
            raise StoreRefusedError("status 429")
        return read(connection, path, timeout_s, wait_s)

    monkeypatch.setattr(StoreConnection, "read", refusing)
    monkeypatch.setattr("almondstack.platform.store._PAGE_RETRY_PAUSE_S", 0.001)
    return paths


def test_three_hundred_processes_a_refused_page_does_not_begin_the_snapshot_again(
    store, monkeypatch
):
    """With 3,000 workers a snapshot has six pages; with half of all reads refused none ended."""
    standin, topic = store
    for number in range(1_200):
        standin.put("keyed.work", f"k{number:04}", b"v")
    paths = _refuse_reads(monkeypatch, lambda number, path: number % 2 == 0)
    assert len(topic.snapshot().records) == 1_200
    assert sum("after=" not in path for path in paths) == 1


def test_a_store_that_refuses_everything_ends_a_snapshot_after_a_bounded_time(store, monkeypatch):
    standin, topic = store
    for number in range(600):
        standin.put("keyed.work", f"k{number:04}", b"v")
    monkeypatch.setattr("almondstack.platform.store._PAGE_RETRIES_S", 0.05)
    paths = _refuse_reads(monkeypatch, lambda number, path: "after=" in path)
    with pytest.raises(StoreRefusedError):
        topic.snapshot()
    assert len(paths) > 2


def test_a_refused_first_page_is_reported_at_once(store, monkeypatch):
    _, topic = store
    paths = _refuse_reads(monkeypatch, lambda number, path: True)
    with pytest.raises(StoreRefusedError):
        topic.snapshot()
    assert len(paths) == 1


def test_a_read_of_expired_records_raises_history_lost(store):
    standin, topic = store
    topic.append(_records("a"), 1.0)
    standin.expire("keyed.work")
    with pytest.raises(HistoryLostError):
        topic.read(0, 0.0)


def test_a_token_is_claimed_by_one_owner_only(store):
    _, topic = store
    topic.append(_records("a"), 1.0)
    assert topic.claim(3, Record("o", b"1"), 5)
    assert topic.claim(3, Record("o", b"1"), 5)
    assert not topic.claim(3, Record("o", b"2"), 60)
    assert not topic.claim(2, Record("o", b"2"), 60)
    assert topic.claim(4, Record("o", b"2"), 60)
    assert [record.key for record in topic.read(0, 0.0).records] == ["a", "o", "o"]


def test_a_replaced_owner_is_fenced(store):
    _, topic = store
    assert topic.claim(1, Record("o", b"1"), 100)
    topic.append_owned(_records("p"), 1, 101, 1.0)
    assert topic.claim(2, Record("o", b"2"), 7)
    with pytest.raises(FencedError):
        topic.append_owned(_records("p"), 1, 102, 1.0)


def test_a_retry_of_an_owned_append_is_stored_once(store):
    standin, topic = store
    topic.claim(1, Record("o", b"1"), 100)
    standin.append_replies_to_drop = 1
    with pytest.raises(StoreUnclearError):
        topic.append_owned(_records("p"), 1, 101, 1.0)
    topic.append_owned(_records("p"), 1, 101, 1.0)
    assert [key for key, _ in standin.records("keyed.work")] == ["o", "p"]


def test_a_conditional_append_succeeds_only_at_the_end_of_the_log(store):
    standin, topic = store
    topic.append_at(Record("ja", b"1"), 0, 1.0)
    with pytest.raises(LogMovedError):
        topic.append_at(Record("jb", b"1"), 0, 1.0)
    topic.append_at(Record("jb", b"1"), 1, 1.0)
    assert [key for key, _ in standin.records("keyed.work")] == ["ja", "jb"]


def test_a_conditional_append_without_an_answer_is_unclear(store):
    standin, topic = store
    standin.append_replies_to_drop = 1
    with pytest.raises(StoreUnclearError):
        topic.append_at(Record("ja", b"1"), 0, 1.0)
    with pytest.raises(LogMovedError):
        topic.append_at(Record("ja", b"1"), 0, 1.0)


def test_an_owned_append_returns_the_end_offset_of_the_log(store):
    standin, topic = store
    standin.put("keyed.work", "ja", b"1")
    topic.claim(1, Record("o", b"1"), 1)
    assert topic.append_owned(_records("b"), 1, 2, 1.0) == 3


def test_a_refused_append_stores_nothing(store):
    standin, topic = store
    standin.is_unavailable = True
    with pytest.raises(StoreRefusedError):
        topic.append(_records("a"), 1.0)
    assert standin.records("keyed.work") == []


def test_an_append_to_a_closed_port_is_refused():
    from almondstack.testing.addresses import free_address

    topic = KeyedTopic(StoreConnection(free_address()), "keyed.work")
    with pytest.raises(StoreRefusedError):
        topic.append(_records("a"), 0.5)


def test_a_read_returns_the_end_offset_of_the_log(store):
    standin, topic = store
    for number in range(3):
        standin.put("keyed.work", f"k{number}", b"1")
    assert topic.read(1, 0.0).end_offset == 3
    assert topic.read(3, 0.01).end_offset == 3


def test_a_read_with_a_size_limit_returns_one_large_record_and_the_end_offset():
    """Three configurations of 250 KB take 1.3 s over 5 Mbit/s (lbna-almond-grown, fresh-de14)."""
    standin = KeyedStoreStandin()
    for _ in range(3):
        standin.put("keyed.op", "config", b"x" * 250_000)
    with serving(standin) as address:
        topic = KeyedTopic(StoreConnection(address), "keyed.op", max_read_kb=260)
        batch = topic.read(0, 0.0)
    assert (len(batch.records), batch.next_offset, batch.end_offset) == (1, 1, 3)


def test_a_call_succeeds_while_all_pooled_connections_are_in_use():
    """The client raised IndexError when its pool had no idle connection (lbna-almond-grown)."""
    with serving(KeyedStoreStandin()) as address:
        caller = HttpClient(address)
        caller.call("GET", "/almondstack/log-newest?topic=keyed.op&part=0", 1.0)
        in_use = caller._idle.take()
        reply = caller.call("GET", "/almondstack/log-newest?topic=keyed.op&part=0", 1.0)
        in_use.close()
    assert reply.status in (200, 404)


def test_the_requested_wait_of_a_read_does_not_count_as_slow(store, monkeypatch):
    _, topic = store
    topic.append(_records("a"), 1.0)
    noted = []
    monkeypatch.setattr(StoreLatency, "note_read", lambda _, *times_s: noted.append(times_s))
    topic.read(1, 0.3)
    ((took_s, wait_s),) = noted
    assert took_s >= wait_s == 0.3
    monkeypatch.undo()
    latency = StoreLatency()
    latency.note_read(0.31, wait_s)
    assert not latency.is_slow


def test_a_late_answer_counts_as_slow(store):
    standin, topic = store
    topic.append(_records("a"), 1.0)
    standin.answer_delay_s = 0.2
    topic.read(0, 0.0)
    assert topic.latency.is_slow
