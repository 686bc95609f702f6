"""Appends to the metadata store's stand-in with an incomplete body."""

import socket

import pytest

from almondstack.core import parse_address
from almondstack.ownership import Record
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.tests.builders import serving
from almondstack.standin.keyed_store import KeyedStoreStandin

_TOPIC = "keyed.work"
_RECORDS = [Record("jone", b"1"), Record("jtwo", b"2")]


@pytest.fixture
def store():
    """Yield a stand-in that listens, and its address."""
    store = KeyedStoreStandin()
    with serving(store) as address:
        yield store, address


def _send_partial_append(address, body):
    """Send the header of an append and only the given part of its body."""
    path = f"/almondstack/log-append?topic={_TOPIC}&part=0&producer-id=owner&epoch=1&sequence=1"
    head = f"POST {path} HTTP/1.1\r\nHost: store\r\nContent-Length: 14\r\n\r\n"
    with socket.create_connection(parse_address(address)) as caller:
        caller.sendall(head.encode() + body)
        caller.shutdown(socket.SHUT_WR)
        assert caller.recv(100) == b""


@pytest.mark.parametrize(
    "body", [b"", b"\x00\x00\x00\x05\x04jone1"[:6], b"\x00\x00\x00\x06\x04jone1"]
)
def test_append_with_incomplete_body_does_not_use_its_sequence_number(store, body):
    """The stand-in dropped the incomplete rest and took the retry for a duplicate (soak seed 5)."""
    standin, address = store
    _send_partial_append(address, body)
    topic = KeyedTopic(StoreConnection(address), _TOPIC, 1_000)
    topic.append_owned(_RECORDS, 1, 1, 1.0)
    assert standin.records(_TOPIC) == [("jone", b"1"), ("jtwo", b"2")]
