"""Tests of transport failures and malformed responses, with scripted upstreams."""

import contextlib

import pytest

from almondstack.core import Outcome, Reason, RequestError
from almondstack.permits import slots_resource
from almondstack.testing.dispatching import DispatcherHarness, wait_until
from almondstack.testing.scripted_upstream import OK, Reads, ScriptedUpstream, Step, Then

_LARGE = b"x" * 3_000_000
_HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_BROKEN_HEADS = {
    "reset-unread": Step(pieces=(), reads=Reads.NOTHING, then=Then.RESET),
    "closed-unread": Step(pieces=(), reads=Reads.NOTHING, then=Then.CLOSE),
    "closed-after-head": Step(pieces=(), reads=Reads.HEAD, then=Then.CLOSE),
    "closed-after-body": Step(pieces=(), then=Then.CLOSE),
    "reset-after-body": Step(pieces=(), then=Then.RESET),
    "half-status": Step(pieces=(b"HTTP/1.1 2",), then=Then.CLOSE),
    "half-head": Step(pieces=(b"HTTP/1.1 200 OK\r\nContent-Le",), then=Then.CLOSE),
    "garbage": Step(pieces=(b"\x16\x03\x01 no http\r\n\r\n",), then=Then.CLOSE),
    "switching": Step(pieces=(b"HTTP/1.1 101 S\r\n\r\n",)),
    "malformed-header": Step(pieces=(b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",)),
    "endless-hints": Step(pieces=(b"HTTP/1.1 103 E\r\n\r\n" * 40,)),
    "two-lengths": Step(
        pieces=(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",)
    ),
    "odd-length": Step(pieces=(b"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",)),
    "two-framings": Step(
        pieces=(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",)
    ),
    "long-header": Step(pieces=(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000 + b"\r\n\r\n",)),
    "many-headers": Step(pieces=(b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 200 + b"\r\n",)),
}
_BROKEN_BODIES = {
    "short": Step(pieces=(_HALF,), then=Then.CLOSE),
    "short-reset": Step(pieces=(_HALF,), then=Then.RESET),
    "cut-chunk": Step(pieces=(_CHUNKED + b"5\r\nhal",), then=Then.CLOSE),
    "no-last-chunk": Step(pieces=(_CHUNKED + b"4\r\nhalf\r\n",), then=Then.CLOSE),
    "bad-chunk-size": Step(pieces=(_CHUNKED + b"zz\r\nhalf\r\n",), then=Then.CLOSE),
    "no-last-line": Step(pieces=(_CHUNKED + b"4\r\nhalf\r\n0\r\n",), then=Then.CLOSE),
    "negative-chunk": Step(pieces=(_CHUNKED + b"-4\r\nhalf\r\n0\r\n\r\n",), then=Then.CLOSE),
    "endless-chunk-line": Step(pieces=(_CHUNKED + b"4;" + b"x" * 200_000,), then=Then.CLOSE),
}
_COMPLETE = {
    "hints-first": (b"HTTP/1.1 103 E\r\nLink: a\r\n\r\nHTTP/1.1 100 C\r\n\r\n" + OK, b"ok"),
    "chunked": (_CHUNKED + b"2\r\no1\r\n3;a=b\r\nabc\r\n0\r\nT: v\r\n\r\n", b"o1abc"),
    "no-content": (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
    "empty": (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b""),
}


@pytest.fixture
def upstreams():
    with contextlib.ExitStack() as stack:

        def start(*steps, **fields):
            upstream = ScriptedUpstream(*steps, **fields)
            stack.callback(upstream.close)
            return upstream

        yield start


@pytest.mark.parametrize("name", _BROKEN_HEADS)
@pytest.mark.parametrize("body", [b"work", _LARGE], ids=["small", "large"])
def test_non_idempotent_call_is_sent_only_once(name, body, upstreams):
    broken = _BROKEN_HEADS[name]
    servers = [upstreams(default=broken), upstreams(default=broken)]
    harness = DispatcherHarness(*(server.address for server in servers))
    error = harness.error(body=body)
    assert error.outcome is Outcome.UNKNOWN
    assert sum(len(server.received) for server in servers) == 1
    assert harness.dispatcher.parts.holder.held_count == 1
    assert harness.metrics.totals().get("retried.idempotent-broke") is None


@pytest.mark.parametrize("name", _BROKEN_HEADS)
def test_idempotent_call_is_retried_on_another_upstream(name, upstreams):
    servers = [upstreams(_BROKEN_HEADS[name]) for _ in range(2)]
    servers[1] = upstreams()
    harness = DispatcherHarness(*(server.address for server in servers))
    assert harness.body(is_idempotent=True) == b"ok"
    tried = sum(len(server.received) for server in servers)
    assert harness.metrics.total("retried.idempotent-broke") == tried - 1 <= 1


@pytest.mark.parametrize("name", _BROKEN_BODIES)
def test_broken_body_fails_the_call_and_holds_its_grant(name, upstreams):
    harness = DispatcherHarness(upstreams(_BROKEN_BODIES[name]).address)
    error = harness.error(is_idempotent=True)
    assert error.reason is Reason.UPSTREAM_BROKE
    assert error.outcome is Outcome.UNKNOWN
    assert harness.dispatcher.parts.holder.held_count == 1


@pytest.mark.parametrize("name", _COMPLETE)
def test_connection_is_reused_after_a_complete_response(name, upstreams):
    data, body = _COMPLETE[name]
    upstream = upstreams(Step(pieces=(data,)), Step(pieces=(data,)))
    harness = DispatcherHarness(upstream.address)
    assert [harness.body(), harness.body()] == [body, body]
    assert (len(upstream.received), upstream.connection_count) == (2, 1)
    assert harness.permits.free_count(slots_resource("u1")) == 8


@pytest.mark.parametrize("pieces", [(OK + OK,), (OK, b"late")], ids=["at-once", "later"])
def test_unsolicited_bytes_are_never_read_as_the_next_response(pieces, upstreams):
    own = OK.replace(b"ok", b"me")
    upstream = upstreams(Step(pieces=pieces, pause_s=0.02), Step(pieces=(own,)))
    harness = DispatcherHarness(upstream.address)
    assert harness.body() == b"ok"
    if len(pieces) > 1:
        assert wait_until(lambda: not _is_idle_open(harness, upstream))
    assert harness.body() == b"me"
    polled = len(pieces) - 1  # the polling opens one more connection
    assert upstream.connection_count == 2 + polled


def _is_idle_open(harness, upstream):
    pool = harness.dispatcher.parts.connections
    connection = pool.take(upstream.address, is_idempotent=True)
    is_fresh = connection.use_count == 0
    if is_fresh:
        pool.discard(connection)
        return False
    pool.put(connection, 8)
    return True


def test_connection_closed_while_idle_is_not_reused(upstreams):
    upstream = upstreams()
    harness = DispatcherHarness(upstream.address)
    assert harness.body() == b"ok"
    upstream.close_connections()
    assert harness.body() == b"ok"
    assert (len(upstream.received), upstream.connection_count) == (2, 2)


def test_non_idempotent_call_is_retried_after_a_refused_connection(upstreams):
    stopped = upstreams()
    stopped.close()
    reachable = upstreams()
    harness = DispatcherHarness(stopped.address, reachable.address)
    assert [harness.body() for _ in range(6)] == [b"ok"] * 6
    assert len(reachable.received) == 6
    assert 1 <= harness.metrics.total("retried.connect-failed") <= 2


def test_broken_exchange_keeps_its_slot_until_the_run_time_bound(upstreams):
    upstream = upstreams(Step(pieces=(), then=Then.CLOSE))
    harness = DispatcherHarness(upstream.address, run_time_bound_s=0.3)
    assert harness.error().reason is Reason.UPSTREAM_BROKE
    assert harness.permits.free_count(slots_resource("u1")) == 7
    assert harness.dispatcher.scheduler.running_count("score", "north") == 1

    def is_free():
        harness.dispatcher.parts.holder.release_due()
        return harness.permits.free_count(slots_resource("u1")) == 8

    assert wait_until(is_free)
    assert harness.dispatcher.scheduler.running_count("score", "north") == 0


def test_head_sent_byte_by_byte_times_out_at_the_deadline(upstreams):
    slow = Step(pieces=tuple(b"HTTP/1.1 200 OK\r\n"[i : i + 1] for i in range(17)), pause_s=0.1)
    harness = DispatcherHarness(upstreams(slow).address)
    error = harness.error(deadline_in_s=0.3)
    assert (error.reason, error.outcome) == (Reason.UPSTREAM_TIMEOUT, Outcome.UNKNOWN)


def test_closed_response_is_drained_and_its_slot_released(upstreams):
    upstream = upstreams(
        Step(pieces=(b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", b"x" * 200_000))
    )
    harness = DispatcherHarness(upstream.address)
    response = harness.dispatcher.submit(harness.call())
    next(response.chunks())
    response.close()
    assert harness.permits.free_count(slots_resource("u1")) == 8
    assert harness.body() == b"ok"


def test_incomplete_request_body_yields_outcome_unknown(upstreams):
    class BrokenBody:
        length = 10
        is_replayable = False

        def chunks(self):
            yield b"half"
            raise RequestError(Reason.BODY_INCOMPLETE)

    upstream = upstreams(Step(reads=Reads.HEAD, pieces=(), then=Then.CLOSE))
    harness = DispatcherHarness(upstream.address)
    call = harness.call()
    call.body = BrokenBody()
    with pytest.raises(RequestError) as caught:
        harness.dispatcher.submit(call)
    assert caught.value.reason is Reason.BODY_INCOMPLETE
    assert caught.value.outcome is Outcome.UNKNOWN
