"""The store client against a stand-in that speaks the platform's pages."""

import pytest

from almondstack.core.http_client import HttpCaller
from almondstack.ownership import (
    FencedError,
    HistoryLostError,
    LogMovedError,
    Record,
    StoreRefusedError,
    StoreUnclearError,
)
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.tests.builders import serving
from almondstack.standin.keyed_store import KeyedStoreStandin


@pytest.fixture
def store():
    """Serve a store, and give the stand-in and a client of one topic."""
    standin = KeyedStoreStandin()
    with serving(standin) as address:
        yield standin, KeyedTopic(StoreConnection(address), "keyed.work")


def _records(*keys):
    return [Record(key, b"v" + key.encode()) for key in keys]


def test_what_is_appended_is_read_in_order(store):
    _, topic = store
    topic.append(_records("a", "b"), 1.0)
    batch = topic.read(0, 0.0)
    assert batch.records == _records("a", "b") and batch.next_offset == 2
    assert topic.read(2, 0.01).records == []


def test_a_snapshot_holds_the_newest_of_each_key_over_many_pages(store):
    standin, topic = store
    for number in range(1_200):
        standin.put("keyed.work", f"k{number:04}", b"1")
    standin.put("keyed.work", "k0000", b"2")
    standin.put("keyed.work", "k0001", b"")
    snapshot = topic.snapshot()
    assert len(snapshot.records) == 1_199 and snapshot.next_offset == 1_202
    assert dict(snapshot.records)["k0000"] == b"2"


def test_expired_history_is_told(store):
    standin, topic = store
    topic.append(_records("a"), 1.0)
    standin.expire("keyed.work")
    with pytest.raises(HistoryLostError):
        topic.read(0, 0.0)


def test_a_token_is_claimed_once_however_many_records_come(store):
    _, topic = store
    topic.append(_records("a"), 1.0)
    assert topic.claim(3, Record("o", b"1"), 5)
    assert topic.claim(3, Record("o", b"1"), 5)
    assert not topic.claim(3, Record("o", b"2"), 60)
    assert not topic.claim(2, Record("o", b"2"), 60)
    assert topic.claim(4, Record("o", b"2"), 60)
    assert [record.key for record in topic.read(0, 0.0).records] == ["a", "o", "o"]


def test_an_owner_that_was_replaced_is_fenced(store):
    _, topic = store
    assert topic.claim(1, Record("o", b"1"), 100)
    topic.append_owned(_records("p"), 1, 101, 1.0)
    assert topic.claim(2, Record("o", b"2"), 7)
    with pytest.raises(FencedError):
        topic.append_owned(_records("p"), 1, 102, 1.0)


def test_an_owned_append_whose_answer_was_lost_is_repeated_once(store):
    standin, topic = store
    topic.claim(1, Record("o", b"1"), 100)
    standin.loses_appends = 1
    with pytest.raises(StoreUnclearError):
        topic.append_owned(_records("p"), 1, 101, 1.0)
    topic.append_owned(_records("p"), 1, 101, 1.0)
    assert [key for key, _ in standin.records("keyed.work")] == ["o", "p"]


def test_a_record_is_appended_only_at_the_end_that_its_writer_has_read(store):
    standin, topic = store
    topic.append_at(Record("ja", b"1"), 0, 1.0)
    with pytest.raises(LogMovedError):
        topic.append_at(Record("jb", b"1"), 0, 1.0)
    topic.append_at(Record("jb", b"1"), 1, 1.0)
    assert [key for key, _ in standin.records("keyed.work")] == ["ja", "jb"]


def test_an_append_at_the_end_without_an_answer_may_be_stored(store):
    standin, topic = store
    standin.loses_appends = 1
    with pytest.raises(StoreUnclearError):
        topic.append_at(Record("ja", b"1"), 0, 1.0)
    with pytest.raises(LogMovedError):
        topic.append_at(Record("ja", b"1"), 0, 1.0)


def test_an_owner_is_told_where_the_log_ends_behind_its_records(store):
    standin, topic = store
    standin.put("keyed.work", "ja", b"1")
    topic.claim(1, Record("o", b"1"), 1)
    assert topic.append_owned(_records("b"), 1, 2, 1.0) == 3


def test_a_refusal_says_that_nothing_was_done(store):
    standin, topic = store
    standin.refuses = True
    with pytest.raises(StoreRefusedError):
        topic.append(_records("a"), 1.0)
    assert standin.records("keyed.work") == []


def test_a_store_that_does_not_listen_has_done_nothing():
    from almondstack.testing.addresses import free_address

    topic = KeyedTopic(StoreConnection(free_address()), "keyed.work")
    with pytest.raises(StoreRefusedError):
        topic.append(_records("a"), 0.5)


def test_a_read_tells_where_the_log_ends(store):
    standin, topic = store
    for number in range(3):
        standin.put("keyed.work", f"k{number}", b"1")
    assert topic.read(1, 0.0).end_offset == 3
    assert topic.read(3, 0.01).end_offset == 3


def test_a_bounded_read_brings_one_large_record_and_tells_that_there_are_more():
    """Three configurations of 250 KB take 1.3 s over 5 Mbit/s (lbna-almond-grown, fresh-de14)."""
    standin = KeyedStoreStandin()
    for _ in range(3):
        standin.put("keyed.op", "config", b"x" * 250_000)
    with serving(standin) as address:
        topic = KeyedTopic(StoreConnection(address), "keyed.op", most_kb=260)
        batch = topic.read(0, 0.0)
    assert (len(batch.records), batch.next_offset, batch.end_offset) == (1, 1, 3)


def test_a_call_is_made_while_all_connections_are_in_use():
    """The client looked for an idle one and found none: IndexError (lbna-almond-grown)."""
    with serving(KeyedStoreStandin()) as address:
        caller = HttpCaller(address)
        caller.call("GET", "/almondstack/log-newest?topic=keyed.op&part=0", 1.0)
        in_use = caller._pool._get_conn()
        reply = caller.call("GET", "/almondstack/log-newest?topic=keyed.op&part=0", 1.0)
        in_use.close()
    assert reply.status in (200, 404)


def test_what_a_read_was_asked_to_wait_does_not_count_as_slow(store):
    _, topic = store
    topic.append(_records("a"), 1.0)
    topic.read(1, 0.3)
    assert not topic.latency.is_slow


def test_an_answer_that_takes_long_counts_as_slow(store):
    standin, topic = store
    topic.append(_records("a"), 1.0)
    standin.answer_delay_s = 0.2
    topic.read(0, 0.0)
    assert topic.latency.is_slow
