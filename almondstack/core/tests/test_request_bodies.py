"""Bodies that arrive in pieces are decoded as a whole, and held within the limits."""

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.core.byte_budget import ByteBudget
from almondstack.core.request_bodies import BodyFault, BodyLimits, ChunkedBody, KnownLengthBody
from almondstack.core.socket_files import ReceiveBuffer

_MAX_BYTES = 40_000
_MAX_LINE_BYTES = 100
_FREE_BYTES = 16_384


@pytest.fixture
def link():
    """Yield the client's end of a connection, and the buffer of the server's end."""
    client, server = socket.socketpair()
    server.setblocking(False)
    with client, server:
        yield client, ReceiveBuffer(server)


def _limits(budget_bytes=1_000_000):
    return BodyLimits(_MAX_BYTES, _MAX_LINE_BYTES, ByteBudget(budget_bytes))


def _feed(body, link, *pieces):
    """Send pieces one after the other, and have the body take what has arrived."""
    client, buffer = link
    for piece in pieces:
        client.sendall(piece)
        buffer.receive(len(piece))
        body.take(buffer)
    return body


def _fault(link, data):
    return _feed(ChunkedBody(_limits()), link, data).fault


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=8), st.integers(1, 60))
def test_chunks_in_pieces_of_any_length_give_the_body_and_leave_what_follows(chunks, size):
    framed = b"".join(b"%x;e=1\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)
    sent = framed + b"0\r\nX: y\r\n\r\nGET"
    client, server = socket.socketpair()
    server.setblocking(False)
    with client, server:
        buffer = ReceiveBuffer(server)
        body = ChunkedBody(_limits())
        _feed(body, (client, buffer), *[sent[at : at + size] for at in range(0, len(sent), size)])
        assert body.is_ended and body.content == b"".join(chunks) and buffer.read(9) == b"GET"


def test_a_body_of_known_length_leaves_what_follows(link):
    body = _feed(KnownLengthBody(5, _limits()), link, b"ab", b"cdeGET")
    assert body.is_ended and body.content == b"abcde" and link[1].read(9) == b"GET"


@pytest.mark.parametrize(
    "data",
    [
        b"1;" + b"e" * _MAX_LINE_BYTES,
        b"0" * _MAX_LINE_BYTES,
        b"0\r\n" + b"X" * _MAX_LINE_BYTES,
        b"0\r\n" + b"X: y\r\n" * 20,
        b"%x\r\n" % (_MAX_BYTES + 1),
    ],
)
def test_framing_over_the_limit_is_refused(link, data):
    assert _fault(link, data) is BodyFault.TOO_LARGE


@pytest.mark.parametrize("data", [b"x\r\n", b"-1\r\n", b"0x3\r\n", b"\r\n", b"1\r\nab\r\n", b"1\n"])
def test_malformed_framing_is_refused(link, data):
    assert _fault(link, data) is BodyFault.MALFORMED


def test_framing_without_data_is_bounded_as_a_whole(link):
    body = ChunkedBody(BodyLimits(10, _MAX_LINE_BYTES, ByteBudget(0)))
    _feed(body, link, *[b"1;" + b"e" * 90 + b"\r\na\r\n"] * 3)
    assert body.fault is BodyFault.TOO_LARGE


def test_bytes_over_the_budget_are_not_held_and_those_held_are_given_back(link):
    budget = ByteBudget(1_000)
    limits = BodyLimits(_MAX_BYTES, _MAX_LINE_BYTES, budget)
    first = _feed(KnownLengthBody(_FREE_BYTES + 900, limits), link, b"a" * (_FREE_BYTES + 900))
    second = _feed(KnownLengthBody(_FREE_BYTES + 900, limits), link, b"a" * (_FREE_BYTES + 900))
    assert first.is_ended and second.fault is BodyFault.NOT_HELD and second.content == b""
    assert budget.held_bytes == 900
    first.release()
    assert budget.held_bytes == 0


def test_small_bodies_are_held_while_the_budget_is_used_up(link):
    body = _feed(KnownLengthBody(_FREE_BYTES, _limits(0)), link, b"a" * _FREE_BYTES)
    assert body.is_ended and len(body.content) == _FREE_BYTES


@pytest.mark.parametrize("end", [b"\r\n\r\n", b"\n\n", b"\n\r\n"])
def test_the_end_of_a_head_is_found_in_whatever_pieces_it_comes(link, end):
    client, buffer = link
    head = b"GET / HTTP/1.1\r\nHost: a" + end
    for at in range(len(head)):
        assert not buffer.has_head()
        client.sendall(head[at : at + 1])
        buffer.receive(1)
    assert buffer.has_head()


def test_short_chunks_that_have_arrived_are_read_without_a_call_for_each(link, monkeypatch):
    lines = []
    read_line = ReceiveBuffer.read_whole_line
    monkeypatch.setattr(
        ReceiveBuffer,
        "read_whole_line",
        lambda buffer, size: lines.append(size) or read_line(buffer, size),
    )
    body = _feed(ChunkedBody(_limits()), link, b"1\r\na\r\n" * 1_000 + b"0\r\n\r\n")
    assert body.is_ended and body.content == b"a" * 1_000 and len(lines) == 2


@pytest.mark.parametrize("size", [1, 100])
def test_short_chunks_are_bounded_like_long_ones(link, size):
    chunk = b"%x\r\n%b\r\n" % (size, b"a" * size)
    chunks = _MAX_BYTES // size
    body = ChunkedBody(_limits())
    _feed(body, link, *[chunk * 100] * (chunks // 100))
    assert not body.is_settled and len(body.content) == _MAX_BYTES
    assert _feed(body, link, chunk).fault is BodyFault.TOO_LARGE
