"""Bodies over the limit are refused without being held in memory."""

import socket
import threading

import pytest

from almondstack.platform.job_api import JobApiServer
from almondstack.platform.tests.builders import JOB, job_body
from almondstack.platform.tests.test_job_api import _Process
from almondstack.testing.addresses import free_address
from almondstack.testing.raw_http import RawResponse, connect, read_to_end

_LIMIT_BYTES = 10_000
"""Limit of the configuration that the builders return."""

_TIMEOUT_S = 3.0


@pytest.fixture
def address():
    """Serve the API of a process; yields its address."""
    address = free_address()
    server = JobApiServer(address, _Process().api, threads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield address
    server.stop()
    thread.join()


def _head(*headers, method="POST", path=f"/q/{JOB}", key="k"):
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: jobs.example",
        f"Authorization: Bearer {key}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _ask(address, *pieces):
    """Send pieces for as long as the server reads, and return what it answers in time."""
    with connect(address) as connection:
        connection.settimeout(_TIMEOUT_S)
        try:
            for piece in pieces:
                connection.sendall(piece)
        except OSError:
            pass
        try:
            return read_to_end(connection)
        except TimeoutError:
            return RawResponse(b"", False)


@pytest.mark.parametrize("length", [2_000_000, 10_000_000_000, -1])
def test_a_body_that_is_announced_too_long_is_refused_before_it_is_sent(address, length):
    """Guards against a process that holds any body as a whole before it compares its length."""
    response = _ask(address, _head(f"Content-Length: {length}"))
    assert response.status == 413 and response.header("connection") == "close"


def test_a_chunk_that_is_announced_too_long_is_refused_before_it_is_sent(address):
    response = _ask(address, _head("Transfer-Encoding: chunked"), b"40000000\r\n")
    assert response.status == 413


def test_a_line_before_a_chunk_that_does_not_end_is_refused(address):
    response = _ask(address, _head("Transfer-Encoding: chunked"), b"1;" + b"a" * 200_000)
    assert response.status == 413


def test_chunks_without_end_are_refused(address):
    chunk = b"2000\r\n" + b" " * 0x2000 + b"\r\n"
    response = _ask(address, _head("Transfer-Encoding: chunked"), *[chunk] * 20)
    assert response.status == 413


@pytest.mark.parametrize(
    ("fields", "status"),
    [({"path": f"/none/{JOB}"}, 404), ({"key": "x"}, 401), ({"method": "GET"}, 410)],
)
def test_other_refusals_of_a_long_body_come_first_and_leave_it_unread(address, fields, status):
    response = _ask(address, _head("Content-Length: 10000000000", **fields))
    assert response.status == status and response.header("connection") == "close"


def test_a_body_a_little_over_the_limit_gets_its_answer_without_a_reset(address):
    """Guards against an answer that a client can't read: a close with unread bytes resets."""
    body = b" " * 500_000
    response = _ask(address, _head(f"Content-Length: {len(body)}"), body)
    assert response.status == 413 and not response.is_reset


@pytest.mark.parametrize("chunk_bytes", [1, 4_000])
def test_a_chunked_body_within_the_limit_is_accepted(address, chunk_bytes):
    """The framing of chunks doesn't count, however small they are."""
    body = job_body().ljust(_LIMIT_BYTES)
    pieces = [body[at : at + chunk_bytes] for at in range(0, len(body), chunk_bytes)]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n"
    assert (
        _ask(address, _head("Transfer-Encoding: chunked", "Connection: close"), framed).status
        == 200
    )


def test_a_connection_is_used_again_after_a_body_within_the_limit(address):
    body = job_body().ljust(_LIMIT_BYTES)
    request = _head(f"Content-Length: {len(body)}") + body
    last = _head("Connection: close", method="GET")
    response = _ask(address, request, last)
    assert response.status == 200 and response.response_count == 2


def test_a_caller_that_stops_amid_its_body_gets_no_answer_to_it(address):
    with connect(address) as connection:
        connection.sendall(_head("Transfer-Encoding: chunked") + b"10\r\nabc")
        connection.shutdown(socket.SHUT_WR)
        assert read_to_end(connection).status != 413
