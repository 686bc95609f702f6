"""Which entries of the registry name a worker to use."""

import json

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import Batch, ReadBackoff, Record, Snapshot
from almondstack.platform import directory as directory_module
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.directory import StoreDirectory
from almondstack.platform.store import StoreConnection

_ENTRY = {
    "service": "pool",
    "address": "127.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold-left-ms": 0,
    "capacity": {"cpu": 16_000, "mem-mb": 32_768, "gpus": 0},
    "labels": ["a", "r1-3"],
    "clock-ms": 482_113,
    "sequence": 4,
}


class _Events(EventLog):
    """Collects the names of events."""

    def __init__(self):
        super().__init__("test")
        self.names = []

    def write(self, event, **fields):
        self.names.append(event)


@pytest.fixture
def directory():
    """Return a directory that follows nothing."""
    return StoreDirectory(StoreConnection("127.0.0.1:1"), ConfigurationHolder(), _Events())


def _put(directory, entry, id="i-1"):
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    directory._apply(Record(id, value))


def test_an_entry_with_all_fields_is_used_also_with_more_fields(directory):
    _put(directory, {**_ENTRY, "born": 17, "remaining-ms": 900, "other": [1]})
    worker = directory.workers()["i-1"]
    assert (worker.life, worker.remaining_ms, worker.capacity.cpu_millis) == (17, 900, 16_000)


@pytest.mark.parametrize("field", sorted(_ENTRY))
@pytest.mark.parametrize("value", [None, {"x": 1}, "missing"])
def test_an_entry_that_lacks_a_field_is_not_used(directory, field, value):
    """Guards against jobs that are placed on an entry of another writer (review/3).

    Missing fields were filled in, and an address without a port ended the threads that
    called it; 4 of 10 accepted jobs never ran (LOST).
    """
    entry = {**_ENTRY, field: value}
    if value == "missing":
        del entry[field]
    _put(directory, _ENTRY, "i-0")
    _put(directory, entry)
    assert list(directory.workers()) == ["i-0"]


@pytest.mark.parametrize(
    "change",
    [
        {"address": "127.0.0.9"},
        {"address": "127.0.0.9:0"},
        {"address": "127.0.0.9:99999"},
        {"address": "host:80"},
        {"state": "gone"},
        {"service": ""},
        {"capacity": {"cpu": 1, "gpus": 0}},
        {"labels": "a"},
    ],
)
def test_an_entry_with_an_unusable_value_is_not_used(directory, change):
    _put(directory, {**_ENTRY, **change})
    assert directory.workers() == {}


@pytest.mark.parametrize("number", [2**63, -(10**400), 10**400])
@pytest.mark.parametrize(
    "field", ["born", "clock-ms", "cold-left-ms", "cpu", "remaining-ms", "sequence", "slots"]
)
def test_an_entry_with_a_number_that_no_float_holds_is_not_used(directory, field, number):
    """Guards against an entry of another writer that ends each owner (beyond-3/foreign, LOST)."""
    change = {"capacity": {**_ENTRY["capacity"], "cpu": number}} if field == "cpu" else {}
    _put(directory, _ENTRY, "i-0")
    _put(directory, {**_ENTRY, **(change or {field: number})})
    is_small_float = field == "cold-left-ms" and number == 2**63
    assert list(directory.workers()) == (["i-0", "i-1"] if is_small_float else ["i-0"])


@pytest.mark.parametrize("value", [b"\xff\xfe", b"[]", b"null", b"{"])
def test_an_entry_that_can_not_be_read_is_not_used(directory, value):
    _put(directory, value)
    assert directory.workers() == {}


def test_an_unusable_entry_is_logged_once_until_it_is_usable(directory):
    for _ in range(3):
        _put(directory, b"{")
    _put(directory, _ENTRY)
    _put(directory, b"{")
    assert directory._events.names == ["registration-unusable"] * 2
    directory._apply_snapshot([])
    assert directory._unusable == set()


_DEPTH = 3_000
"""Lists within lists; beyond the depth that the decoder of JSON can read."""


def _deep_entry():
    text = json.dumps({**_ENTRY, "notes": "@"})
    return text.replace('"@"', "[" * _DEPTH + "]" * _DEPTH).encode()


def test_an_entry_nested_too_deep_does_not_hide_the_workers_after_it():
    """Guards against an entry of another writer that ends the reading of all workers (review/6).

    The decoder raised ``RecursionError``; no process read the entries any more, and after a
    restart of each the system knew no worker: 10 of 10 accepted jobs never started (LOST).
    """
    records = [
        Record("i-0", json.dumps(_ENTRY).encode()),
        Record("other", _deep_entry()),
        Record("i-2", json.dumps({**_ENTRY, "state": "draining"}).encode()),
    ]
    for is_snapshot in (False, True):
        directory = StoreDirectory(StoreConnection("127.0.0.1:1"), ConfigurationHolder(), _Events())
        directory._follower._topic = _Topic(records)
        directory._follower.read_once(None if is_snapshot else 0)
        assert sorted(directory.workers()) == ["i-0", "i-2"]
        assert directory.workers()["i-2"].is_draining


def test_an_address_with_thousands_of_digits_is_not_used(directory):
    """Guards against a port whose conversion raises ``ValueError`` in the reader (review/6)."""
    _put(directory, {**_ENTRY, "address": "127.0.0.9:" + "8" * 5_000})
    assert directory.workers() == {}


def test_a_snapshot_drops_the_workers_that_it_lacks(directory):
    _put(directory, _ENTRY, "i-0")
    directory._apply_snapshot([Record("i-1", json.dumps(_ENTRY).encode())])
    assert list(directory.workers()) == ["i-1"]
    assert directory.is_loaded


class _Clock:
    """Replaces the module ``time``."""

    def __init__(self):
        self.now_s = 1_000.0

    def monotonic(self):
        return self.now_s


@pytest.fixture
def clock(monkeypatch):
    """Return the clock of the directory."""
    clock = _Clock()
    monkeypatch.setattr(directory_module, "time", clock)
    return clock


def _put_life(directory, id, life):
    _put(directory, {**_ENTRY, "born": life}, id)


def test_a_worker_may_have_restarted_unless_its_first_entry_was_seen(directory, clock):
    """Guards against a new owner that knows nothing of a worker's former life (TWICE)."""
    directory._apply_snapshot([Record("i-0", json.dumps({**_ENTRY, "born": 5}).encode())])
    clock.now_s += 20.0
    _put_life(directory, "i-1", 7)
    _put_life(directory, "i-2", 8)
    _put(directory, b"", "i-2")
    _put_life(directory, "i-2", 9)
    lives = {"i-0": 5, "i-1": 7, "i-2": 9, "i-3": 1}
    found = {id: directory.may_have_restarted(id, life) for id, life in lives.items()}
    assert found == {"i-0": True, "i-1": False, "i-2": True, "i-3": True}


@pytest.mark.parametrize("is_read_again", [False, True])
def test_a_worker_without_an_entry_may_have_had_a_life_before(directory, clock, is_read_again):
    """Guards against a process that has just started, or has missed entries, and owns the jobs.

    The worker had lost its entry while it was cut off from the store, and started again then.  A
    renewal of the owner before is carried out by its next life, whose lease was not counted
    (TWICE).
    """
    directory._apply_snapshot([])
    if is_read_again:
        clock.now_s += 20.0
        directory._apply_snapshot([])
    clock.now_s += 10.0
    _put_life(directory, "i-0", 5)
    clock.now_s += 20.0
    _put_life(directory, "i-0", 5)
    _put_life(directory, "i-1", 7)
    assert directory.may_have_restarted("i-0", 5) and not directory.may_have_restarted("i-1", 7)


def test_a_worker_whose_first_life_was_forgotten_may_have_restarted(directory, clock, monkeypatch):
    """Guards against the next entry of such a worker, which is not its first one."""
    monkeypatch.setattr(directory_module, "_MAX_LIVES_NOTED", 2)
    directory._apply_snapshot([])
    clock.now_s += 20.0
    for number in range(3):
        _put_life(directory, f"i-{number}", 5)
    _put_life(directory, "i-0", 6)
    assert directory.may_have_restarted("i-0", 6)


def test_an_entry_that_is_read_late_does_not_make_a_draining_worker_ready(directory, clock):
    """Guards against starts on a worker whose draining was acknowledged (DRAIN).

    PROTOCOL: a call without an answer "may be executed seconds later".
    """
    for sequence, state in ((5, "ready"), (7, "draining"), (6, "ready")):
        _put(directory, {**_ENTRY, "born": 9, "sequence": sequence, "state": state})
        clock.now_s += 1.0
    assert directory.workers()["i-1"].is_draining
    _put(directory, b"")
    _put(directory, {**_ENTRY, "born": 9, "sequence": 6})
    assert directory.workers() == {}
    _put(directory, {**_ENTRY, "born": 9, "sequence": 8})
    assert not directory.workers()["i-1"].is_draining


def test_an_entry_of_a_former_life_is_not_taken_for_that_of_the_next(directory, clock):
    """Guards against an owner that stops all runs of a worker as ones of a former life (AVAIL).

    The life is the same for each entry, however its time of day compares with that of others.
    """
    for life in (5_000, 3_500, 8_000):
        _put_life(directory, "i-1", life)
        assert directory.workers()["i-1"].life == life
    for life in (5_000, 3_500):
        _put(directory, {**_ENTRY, "born": life, "sequence": 99})
        assert directory.workers()["i-1"].life == 8_000


def test_an_entry_without_the_start_of_its_worker_is_used(directory, clock):
    for sequence in (7, 1):
        _put(directory, {**_ENTRY, "sequence": sequence, "clock-ms": sequence})
    assert directory.workers()["i-1"].clock_ms == 1


def test_a_worker_is_not_hidden_for_good_by_a_high_sequence(directory, clock):
    """Guards against an entry of another writer under the id of a worker (LOST)."""
    _put(directory, {**_ENTRY, "born": 9, "sequence": 10**9, "service": "other"})
    clock.now_s += 5.0
    _put_life(directory, "i-1", 9)
    assert directory.workers()["i-1"].pool == "other"
    clock.now_s += 9.0
    _put_life(directory, "i-1", 9)
    assert directory.workers()["i-1"].pool == "pool"


def test_a_page_that_is_read_before_the_log_is_not_undone_by_it(directory, clock):
    """Guards against entries of the log that are older than a page of the snapshot.

    PROTOCOL: "Pages are not a snapshot"; the log is read from the end at the first page on.
    """
    draining = {**_ENTRY, "born": 9, "sequence": 12, "state": "draining"}
    directory._apply_snapshot([Record("i-1", json.dumps(draining).encode())])
    _put(directory, {**_ENTRY, "born": 9, "sequence": 11})
    assert directory.workers()["i-1"].is_draining


class _Topic:
    """A topic that holds the given records."""

    def __init__(self, records):
        self._records = records
        self.read_backoff = ReadBackoff()

    def snapshot(self):
        """Return all records."""
        return Snapshot(self._records, len(self._records))

    def read(self, offset, wait_s):
        """Return the records from an offset on."""
        return Batch(self._records[offset:], len(self._records), len(self._records))
