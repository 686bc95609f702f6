"""Tests of the HTTP client against a server that answers with prepared bytes."""

import contextlib
import socket
import threading

import pytest

from almondstack.core.http_client import HttpClient, NoAnswerError, NotSentError

_OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@contextlib.contextmanager
def _serving(*answers, closes=False):
    """Serve one connection after the other; each request on one gets the next answer."""
    listener = socket.create_server(("127.0.0.1", 0))
    requests = []
    remaining = list(answers)

    def run():
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                with connection:
                    _answer(connection)

    def _answer(connection):
        while remaining and (request := connection.recv(65_536)):
            requests.append(request)
            answer = remaining.pop(0)
            for part in answer if isinstance(answer, list) else [answer]:
                connection.sendall(part)
            if closes:
                return

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    try:
        yield f"127.0.0.1:{listener.getsockname()[1]}", requests
    finally:
        listener.shutdown(socket.SHUT_RDWR)
        listener.close()
        thread.join(5.0)


def test_two_calls_use_one_connection():
    with _serving(_OK, _OK) as (address, requests):
        client = HttpClient(address)
        first = client.call("POST", "/a?b=1", 2.0, b"{}", {"X-Expect-Instance": "w"})
        second = client.call("GET", "/c", 2.0, may_open=False)
        client.close()
    assert (first.status, first.body, second.body) == (200, b"ok", b"ok")
    assert (
        requests[0]
        == (
            f"POST /a?b=1 HTTP/1.1\r\nHost: {address}\r\nContent-Length: 2\r\n"
            "X-Expect-Instance: w\r\n\r\n{}"
        ).encode()
    )
    assert requests[1].startswith(b"GET /c HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("answer", "body"),
    [
        ([_OK[:20], _OK[20:39], _OK[39:]], b"ok"),
        ([b"HTTP/1.1 100 Continue\r\n\r\n", _OK], b"ok"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            b"abc",
        ),
        (b"HTTP/1.1 204 No Content\r\n\r\n", b""),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", b""),
    ],
)
def test_a_response_is_read_whole(answer, body):
    with _serving(answer) as (address, _):
        assert HttpClient(address).call("GET", "/", 2.0).body == body


def test_the_end_of_the_connection_ends_a_response_without_a_length():
    with _serving(b"HTTP/1.1 200 OK\r\n\r\nabc", closes=True) as (address, _):
        client = HttpClient(address)
        assert client.call("GET", "/", 2.0).body == b"abc"
        assert not client.is_connected


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: " + b"x" * 200_000,
    ],
)
def test_an_incomplete_or_malformed_response_is_no_answer(answer):
    with _serving(answer, closes=True) as (address, _):
        client = HttpClient(address)
        with pytest.raises(NoAnswerError):
            client.call("POST", "/", 2.0, b"{}")
        assert not client.is_connected


def test_bytes_after_a_response_never_become_part_of_an_answer():
    other = b"HTTP/1.1 404 Not Found\r\nContent-Length: 5\r\n\r\nother"
    with _serving(_OK + other, _OK) as (address, _):
        client = HttpClient(address)
        first = client.call("GET", "/", 2.0)
        assert (first.status, first.body) == (200, b"ok")
        assert not client.is_connected
        assert client.call("GET", "/", 2.0).body == b"ok"


def test_a_late_answer_is_not_taken_for_the_answer_to_the_next_call():
    with _serving([], _OK) as (address, _):
        client = HttpClient(address)
        with pytest.raises(NoAnswerError):
            client.call("GET", "/slow", 0.1)
        assert not client.is_connected
        with pytest.raises(NotSentError):
            client.call("GET", "/next", 2.0, may_open=False)


def test_a_call_to_a_port_without_a_listener_is_not_sent():
    with _serving() as (address, _):
        pass
    with pytest.raises(NotSentError):
        HttpClient(address).call("GET", "/", 1.0)


def test_a_closed_client_sends_nothing():
    with _serving(_OK, _OK) as (address, requests):
        client = HttpClient(address)
        client.call("GET", "/", 2.0)
        client.close()
        with pytest.raises(NotSentError):
            client.call("GET", "/", 2.0)
    assert len(requests) == 1
