"""Limits on callers: what each refusal says, and that a request inside them sees no change."""

import socket
import threading
import time
from contextlib import contextmanager

import pytest

from almondstack.core import LocalMetrics, parse_address
from almondstack.core.client_guard import ClientGuard, HttpLimits
from almondstack.platform.job_api import JobApiServer
from almondstack.platform.tests.builders import JOB, configuration_bytes, job_body
from almondstack.platform.tests.test_job_api import _Process
from almondstack.testing.addresses import free_address
from almondstack.testing.raw_http import connect, exchange, read_to_end, wait_until

_THREADS = 2
_BODY_BYTES = 200_000
_SOON_S = 0.2


@contextmanager
def _serving(process=None, **limits):
    """Serve the API of a process; yields the server, its address and the metrics of refusals."""
    process = process or _Process()
    process.holder.put_configuration(configuration_bytes(2, limits={}))
    metrics = LocalMetrics()
    guard = ClientGuard(HttpLimits(**limits), metrics)
    address = free_address()
    server = JobApiServer(address, process.api, _THREADS, guard)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server, address, metrics
    finally:
        server.stop()
        thread.join()


def _head(*fields, method="POST", path=f"/q/{JOB}", key="k"):
    lines = [f"{method} {path} HTTP/1.1", "Host: jobs.example", f"Authorization: Bearer {key}"]
    return "\r\n".join([*lines, *fields]).encode() + b"\r\n\r\n"


def _job(length):
    """Return a whole request with a body of a length, after which the connection closes."""
    body = job_body().ljust(length)
    return _head(f"Content-Length: {length}", "Connection: close") + body


def _is_refused(metrics, reason):
    return wait_until(lambda: metrics.total(f"client-refused.{reason}") > 0)


def test_half_sent_requests_hold_no_thread():
    with _serving() as (server, address, _):
        idle = [connect(address) for _ in range(2 * _THREADS)]
        for connection, data in zip(idle, [b"", b"POST", _head(), _job(500)[:-9]], strict=True):
            connection.sendall(data)
        assert exchange(address, _job(500)).status == 200
        assert wait_until(lambda: server.requests.idle == _THREADS)
        for connection in idle:
            connection.close()


@pytest.mark.parametrize("size", [1, 7, 300])
def test_a_request_that_comes_in_pieces_is_accepted(size):
    sent = _job(600)
    with _serving() as (_, address, _), connect(address) as connection:
        for at in range(0, len(sent), size):
            connection.sendall(sent[at : at + size])
        assert read_to_end(connection).status == 200


def test_a_large_body_after_a_pause_is_accepted():
    sent = _job(_BODY_BYTES)
    with _serving() as (server, address, _), connect(address) as connection:
        connection.sendall(sent[:100_000])
        time.sleep(_SOON_S)
        assert server.active == 1
        connection.sendall(sent[100_000:])
        assert read_to_end(connection).status == 200
        assert wait_until(lambda: server.active == 0)
        assert server.guard.budget.held_bytes == 0


@pytest.mark.parametrize(("key", "path", "status"), [("x", "/q/", 401), ("k", "/none/", 404)])
def test_an_unknown_key_or_queue_is_refused_before_the_body_is_sent(key, path, status):
    with _serving() as (_, address, _), connect(address) as connection:
        connection.sendall(_head("Content-Length: 200000", key=key, path=path + JOB))
        response = read_to_end(connection)
    assert response.status == status and response.header("connection") == "close"


def test_a_refusal_is_read_by_a_client_that_is_still_sending():
    """Guards against an answer that is lost in a reset."""
    with _serving() as (_, address, _), connect(address) as connection:
        connection.sendall(_head("Content-Length: 900000", key="x"))
        connection.recv(1, socket.MSG_PEEK)
        for _ in range(3):
            connection.sendall(b" " * 300_000)
            time.sleep(_SOON_S / 4.0)
        response = read_to_end(connection)
    assert response.status == 401 and not response.is_reset


def test_a_client_that_goes_on_sending_after_a_refusal_is_cut_off(monkeypatch):
    monkeypatch.setattr("almondstack.core.server_connection._LINGER_S", 60.0)
    with _serving() as (_, address, _), connect(address) as connection:
        connection.sendall(_head("Content-Length: 10000000000", key="x"))
        with pytest.raises(OSError):
            for _ in range(200):
                connection.sendall(b" " * 100_000)


def test_a_client_that_reads_no_answers_is_dropped_before_a_thread_waits_for_it():
    requests = _head(method="GET", path="/q/") * 20
    with _serving(write_timeout_s=60.0) as (server, address, metrics):
        server.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            connection.connect(parse_address(address))
            connection.setblocking(False)
            assert wait_until(lambda: _is_dropped(connection, requests))
        assert metrics.total("client-refused.unread-answers") == 1


def _is_dropped(connection, data):
    """Send data if there is room; return whether the server has closed the connection."""
    try:
        connection.send(data)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return False


def test_a_refused_request_whose_body_has_come_keeps_its_connection():
    refused = _head("Content-Length: 2", key="x") + b"{}"
    with _serving() as (_, address, _):
        response = exchange(address, refused + _job(500))
    assert response.status == 401 and response.response_count == 2


def test_bodies_over_the_budget_are_refused_and_not_stored():
    process = _Process()
    with _serving(process, max_held_bytes=_BODY_BYTES) as (server, address, metrics):
        with connect(address) as first, connect(address) as second:
            first.sendall(_job(_BODY_BYTES)[:-1])
            assert wait_until(lambda: server.guard.budget.held_bytes > _BODY_BYTES // 2)
            second.sendall(_job(_BODY_BYTES))
            response = read_to_end(second)
            assert response.status == 503 and b"nothing was stored" in response.body
            assert response.header("retry-after") == "1" and not response.is_reset
            assert not process.store.records and _is_refused(metrics, "memory")
            assert exchange(address, _job(500)).status == 200
        assert wait_until(lambda: server.guard.budget.held_bytes == 0)


def test_a_malformed_chunk_is_refused_and_not_stored():
    with _serving() as (_, address, _):
        response = exchange(address, _head("Transfer-Encoding: chunked") + b"0x3\r\n")
    assert response.status == 400 and b"nothing was stored" in response.body


def test_trailers_inside_the_limit_are_dropped():
    sent = _head("Transfer-Encoding: chunked", "Connection: close")
    body = job_body()
    sent += b"%x\r\n%b\r\n0\r\nX: %b\r\n\r\n" % (len(body), body, b"y" * 16_000)
    with _serving() as (_, address, _):
        assert exchange(address, sent).status == 200


@pytest.mark.parametrize(
    "data", [b"GET /" + b"a" * 40_000, b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 9_000]
)
def test_a_head_over_the_limit_is_refused(data):
    with _serving() as (_, address, metrics):
        assert exchange(address, data).status in (413, 414)
        assert _is_refused(metrics, "head")


def test_a_head_of_the_documented_length_is_accepted():
    fields = [f"X-{number}: {'v' * 1_000}" for number in range(16)]
    with _serving() as (_, address, _):
        sent = _head(*fields, "Connection: close", method="GET", path="/q/")
        assert exchange(address, sent).status == 200


@pytest.mark.parametrize(
    ("data", "reason"), [(b"POST /", "head-time"), (_job(500)[:-1], "body-time")]
)
def test_a_request_that_does_not_arrive_in_time_is_dropped(data, reason):
    with _serving(head_timeout_s=_SOON_S, body_timeout_s=_SOON_S) as (server, address, metrics):
        assert exchange(address, data).data == b""
        assert _is_refused(metrics, reason) and server.active == 0


@pytest.mark.parametrize("data", [b"GET /" + b"a" * 1_000, _job(1_000)])
def test_a_request_that_trickles_is_dropped_at_its_deadline(data):
    """Guards against a deadline that each byte renews."""
    limits = {"head_timeout_s": 2.0 * _SOON_S, "body_timeout_s": 2.0 * _SOON_S}
    is_body = data.startswith(b"POST")
    with _serving(**limits) as (_, address, metrics), connect(address) as connection:
        connection.sendall(data[:-500])
        pieces = iter(data[-500:-1])
        assert wait_until(lambda: _trickle(connection, next(pieces, None)))
        assert _is_refused(metrics, "body-time" if is_body else "head-time")


def _trickle(connection, byte):
    """Send a byte; return whether the server has closed the connection."""
    assert byte is not None, "the connection outlived its deadline"
    time.sleep(_SOON_S / 10.0)
    return _is_dropped(connection, bytes([byte]))


def test_the_connection_that_waited_longest_makes_room_for_a_new_one():
    with _serving(max_connections=2) as (_, address, metrics), connect(address) as first:
        first.sendall(b"GET")
        time.sleep(_SOON_S)
        with connect(address) as second:
            second.sendall(b"GET")
            assert exchange(address, _job(500)).status == 200
            assert read_to_end(first).data == b""
            assert _is_refused(metrics, "connections")
            second.setblocking(False)
            with pytest.raises(BlockingIOError):
                second.recv(1)


def test_methods_that_a_client_makes_up_share_their_metrics():
    process = _Process()
    with _serving(process) as (_, address, _):
        for method in ("BREW", "MILK"):
            assert exchange(address, _head("Connection: close", method=method)).status == 405
    assert process.api._metrics.total("answer.other.405") == 2


def test_a_client_that_ends_its_side_after_a_request_gets_the_answer():
    with _serving() as (_, address, _), connect(address) as connection:
        connection.sendall(_job(500).replace(b"Connection: close\r\n", b""))
        connection.shutdown(socket.SHUT_WR)
        assert read_to_end(connection).status == 200
