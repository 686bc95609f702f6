"""Tests that the HTTP client maps failures of the log service to the right errors."""

import threading
from collections.abc import Iterator

import pytest
import urllib3

from almondstack.core import LogServiceSettings, encode_json
from almondstack.log import (
    FLEET,
    HttpLogClient,
    LogBounds,
    LogEntry,
    LogReplyLostError,
    LogTruncatedError,
    LogUnavailableError,
)
from almondstack.standin.log_service import LogServiceStandin
from almondstack.standin.web import serve
from almondstack.testing.addresses import free_address
from almondstack.testing.scripted_upstream import ScriptedUpstream, Step

RETAINED_RECORDS = 10


@pytest.fixture(scope="module")
def address() -> Iterator[str]:
    listen_address = free_address()
    server = serve(LogServiceStandin(RETAINED_RECORDS), listen_address, threads=8)
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield listen_address
    server.stop()
    thread.join(5)


@pytest.fixture
def client(address: str) -> HttpLogClient:
    _set_faults(address)
    return HttpLogClient(LogServiceSettings(address=address, timeout_s=2.0), "reader-1")


def _set_faults(address: str, **faults) -> None:
    body = encode_json(faults)
    urllib3.PoolManager().request("POST", f"http://{address}/control/faults", body=body)


def test_append_whose_reply_is_lost_raises_reply_lost_after_taking_effect(client, address):
    before = client.bounds(FLEET).next_offset
    _set_faults(address, drop_replies=1)
    with pytest.raises(LogReplyLostError):
        client.append(FLEET, [b"one", b"two"])
    assert client.bounds(FLEET).next_offset == before + 2
    assert client.append(FLEET, [b"three"]) == before + 2
    assert [entry.data for entry in client.read(FLEET, before)] == [b"one", b"two", b"three"]


def test_read_of_a_truncated_offset_raises_truncated(client):
    client.append("short", [b"%d" % number for number in range(RETAINED_RECORDS + 5)])
    assert client.bounds("short") == LogBounds(5, RETAINED_RECORDS + 5)
    with pytest.raises(LogTruncatedError):
        client.read("short", 4)
    assert client.read("short", 5)[0] == LogEntry(5, b"5")


def test_outage_and_disconnected_reader_raise_unavailable(client, address):
    _set_faults(address, is_down=True)
    with pytest.raises(LogUnavailableError):
        client.bounds(FLEET)
    _set_faults(address, cut_readers=["reader-1"])
    with pytest.raises(LogUnavailableError):
        client.read(FLEET, 0)
    other = HttpLogClient(LogServiceSettings(address=address), "reader-2")
    assert other.bounds(FLEET).oldest >= 0


def test_append_without_a_listening_service_raises_unavailable():
    client = HttpLogClient(LogServiceSettings(address=free_address()), "reader-1")
    with pytest.raises(LogUnavailableError):
        client.append(FLEET, [b"one"])


@pytest.mark.parametrize(
    ("response", "error"),
    [
        (b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n", LogReplyLostError),
        (b"HTTP/1.1 502 E\r\nContent-Length: 0\r\n\r\n", LogReplyLostError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", LogReplyLostError),
        (b"HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n", LogUnavailableError),
        (b"HTTP/1.1 429 T\r\nContent-Length: 0\r\n\r\n", LogUnavailableError),
    ],
)
def test_only_statuses_429_and_503_exclude_that_an_append_took_effect(response, error):
    service = ScriptedUpstream(default=Step(pieces=(response,)))
    client = HttpLogClient(LogServiceSettings(address=service.address), "test")
    try:
        with pytest.raises(error):
            client.append(FLEET, [b"x"])
    finally:
        service.close()
