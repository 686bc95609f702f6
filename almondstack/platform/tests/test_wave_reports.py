"""Reports on waves in the platform's store."""

import json

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import LogMovedError, StoreUnclearError
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.directory import StoreDirectory
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.tests.builders import serving
from almondstack.standin.keyed_store import KeyedStoreStandin


@pytest.fixture
def connection():
    """Serve a stand-in of the store; yields a connection to it."""
    with serving(KeyedStoreStandin()) as address:
        yield StoreConnection(address)


def _states(connection):
    """Return the newest reports by key."""
    records = KeyedTopic(connection, "keyed.status").snapshot().records
    return {record.key: json.loads(record.value)["state"] for record in records}


def test_the_newest_report_of_each_wave_is_shown(connection):
    directory = StoreDirectory(connection, ConfigurationHolder(), EventLog("test"))
    for number, is_completed in ((1, False), (2, False), (1, True)):
        directory.report_wave(number, is_completed)
    assert _states(connection) == {"wave/1": "completed", "wave/2": "running"}


def test_a_report_that_is_carried_out_late_replaces_no_later_one(connection, monkeypatch):
    """Guards against a completed wave that is shown as running for good.

    PROTOCOL: a call without an answer "may be executed seconds later if its condition still
    holds".
    """
    directory = StoreDirectory(connection, ConfigurationHolder(), EventLog("test"))
    late = []
    write = StoreConnection.write

    def delay(connection, path, body, timeout_s):
        late.append(lambda: write(connection, path, body, timeout_s))
        raise StoreUnclearError("no answer")

    with monkeypatch.context() as patched:
        patched.setattr(StoreConnection, "write", delay)
        with pytest.raises(StoreUnclearError):
            directory.report_wave(1, False)
    directory.report_wave(1, True)
    late[0]()
    assert _states(connection) == {"wave/1": "completed"}


def test_a_report_beside_another_one_is_not_stored(connection, monkeypatch):
    """The caller repeats it if it still holds."""
    directory = StoreDirectory(connection, ConfigurationHolder(), EventLog("test"))
    directory.report_wave(1, False)
    append_at = KeyedTopic.append_at

    def append_after_another(topic, record, offset, timeout_s):
        monkeypatch.setattr(KeyedTopic, "append_at", append_at)
        directory.report_wave(1, True)
        append_at(topic, record, offset, timeout_s)

    monkeypatch.setattr(KeyedTopic, "append_at", append_after_another)
    with pytest.raises(LogMovedError):
        directory.report_wave(1, False)
    assert _states(connection) == {"wave/1": "completed"}
