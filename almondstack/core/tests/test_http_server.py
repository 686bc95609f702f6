"""What the server counts, reports and answers around the handler of a request."""

import threading
import time
from contextlib import ExitStack, contextmanager

import pytest
from cheroot.workers.threadpool import ThreadPool

from almondstack.core import LocalMetrics
from almondstack.core.client_guard import ClientGuard, HttpLimits, Refusal
from almondstack.core.http_server import BodyGateway, PlatformHttpServer
from almondstack.testing.addresses import loopback_host
from almondstack.testing.raw_http import connect, exchange, read_to_end, wait_until

_LIMIT_S = 0.2


class _Gateway(BodyGateway):
    """Has the server's handler answer each request."""

    max_body_bytes = 10_000

    def answer(self, body):
        """Answer with the length of the body."""
        self.req.server.handle()
        self.send(b"200 OK", [], str(len(body.content)).encode())


@contextmanager
def _serving(handle):
    """Serve with one thread that calls ``handle``; yields the server, its address, its metrics."""
    metrics = LocalMetrics()
    limits = HttpLimits(head_timeout_s=_LIMIT_S, body_timeout_s=_LIMIT_S)
    server = PlatformHttpServer((loopback_host(), 0), _Gateway, ClientGuard(limits, metrics))
    server.handle = handle
    server.timeout = 30
    server.requests = ThreadPool(server, min=1, max=1)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield server, "{}:{}".format(*server.bind_addr), metrics
    finally:
        server.stop()
        thread.join()


def _request(body=b"{}"):
    fields = b"Host: a\r\nConnection: close\r\nContent-Length: %d" % len(body)
    return b"POST / HTTP/1.1\r\n%b\r\n\r\n%b" % (fields, body)


def _refusals(metrics):
    return [refusal for refusal in Refusal if metrics.total(f"client-refused.{refusal}")]


def test_the_time_that_a_thread_takes_is_not_counted_against_the_client():
    with _serving(lambda: time.sleep(2.0 * _LIMIT_S)) as (server, address, metrics):
        assert exchange(address, _request()).status == 200
        assert wait_until(lambda: not server.active)
        assert not _refusals(metrics)


def test_a_step_of_the_time_of_day_ends_no_connection(monkeypatch):
    read_time, readings = time.time, []

    def stepped_time():
        readings.append(read_time() + 3600.0)
        return readings[-1]

    with _serving(lambda: None) as (_, address, _), connect(address) as connection:
        connection.sendall(_request().replace(b"Connection: close\r\n", b""))
        assert connection.recv(65_536).startswith(b"HTTP/1.1 200")
        monkeypatch.setattr(time, "time", stepped_time)
        assert wait_until(lambda: len(readings) > 2)
        connection.sendall(_request())
        assert read_to_end(connection).status == 200


@pytest.mark.parametrize("kind", [ValueError, PermissionError, TimeoutError, ConnectionResetError])
def test_an_unforeseen_error_of_a_handler_is_reported_and_answered(monkeypatch, kind):
    def fail():
        raise kind("unexpected")

    reported = []
    monkeypatch.setattr(threading, "excepthook", lambda found: reported.append(found.exc_type))
    with _serving(fail) as (_, address, metrics):
        assert exchange(address, _request()).status == 500
        assert reported == [kind] and not _refusals(metrics)


def test_requests_that_wait_for_a_thread_are_active():
    may_go_on = threading.Event()
    with _serving(may_go_on.wait) as (server, address, _), ExitStack() as stack:
        stack.callback(may_go_on.set)
        connections = [stack.enter_context(connect(address)) for _ in range(3)]
        for connection in connections:
            connection.sendall(_request())
        assert wait_until(lambda: server.active == len(connections))
        may_go_on.set()
        assert [read_to_end(connection).status for connection in connections] == [200] * 3
        assert wait_until(lambda: server.active == 0)


def test_requests_that_were_read_are_answered_after_the_last_was_accepted():
    may_go_on = threading.Event()
    with _serving(may_go_on.wait) as (server, address, _), ExitStack() as stack:
        stack.callback(may_go_on.set)
        connections = [stack.enter_context(connect(address)) for _ in range(3)]
        for connection in connections:
            connection.sendall(_request())
        assert wait_until(lambda: server.active == len(connections))
        server.stop_accepting()
        with pytest.raises(OSError):
            connect(address)
        may_go_on.set()
        assert [read_to_end(connection).status for connection in connections] == [200] * 3
        server.ready = True
