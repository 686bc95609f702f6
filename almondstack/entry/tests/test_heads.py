"""Malformed, ambiguous, slow and oversized request heads and bodies on the callers' socket."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from almondstack.testing.entries import FakeResponse, running_entry
from almondstack.testing.raw_http import connect, exchange, read_to_end, submission, wait_until


def echo(call):
    body = b"".join(call.body.chunks())
    return FakeResponse([body], len(body))


@pytest.fixture(scope="module", name="entry")
def make_entry():
    with running_entry(echo) as entry:
        yield entry


@pytest.fixture(autouse=True)
def clear_recorded_calls(entry):
    entry.dispatcher.calls.clear()
    entry.metrics._totals.clear()


AMBIGUOUS = {
    "length and coding": ["Content-Length: 3", "Transfer-Encoding: chunked"],
    "two lengths": ["Content-Length: 3", "Content-Length: 4"],
    "two equal lengths": ["Content-Length: 3", "Content-Length: 3"],
    "signed length": ["Content-Length: +3"],
    "length with underscore": ["Content-Length: 1_0"],
    "list of lengths": ["Content-Length: 3, 3"],
    "two codings": ["Transfer-Encoding: gzip, chunked"],
    "unknown coding": ["Transfer-Encoding: xchunked"],
    "space before colon": ["Content-Length : 3"],
    "folded line": ["X-A: 1\r\n 2", "Content-Length: 3"],
    "underscore name": ["Almondstack_Urgent: yes", "Content-Length: 3"],
    "no colon": ["Content-Length 3"],
    "empty name": [": 3"],
    "control byte": ["X-A: a\x00b", "Content-Length: 3"],
    "bare carriage return": ["X-A: a\rb", "Content-Length: 3"],
    "two keys": ["Authorization: Bearer k1.secret", "Content-Length: 3"],
    "two ids": ["Idempotency-Key: a", "Idempotency-Key: b", "Content-Length: 3"],
    "two flags": ["Almondstack-Idempotent: yes", "Almondstack-Idempotent: no"],
}

BAD_CHUNKS = {
    "sign": b"+3\r\nabc\r\n0\r\n\r\n",
    "prefix": b"0x3\r\nabc\r\n0\r\n\r\n",
    "negative": b"-3\r\nabc\r\n0\r\n\r\n",
    "longer than its size": b"2\r\nabc\r\n0\r\n\r\n",
    "bare newline": b"3\nabc\r\n0\r\n\r\n",
    "no size": b"\r\nabc\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", AMBIGUOUS)
def test_ambiguous_head_is_refused_and_never_run(entry, name):
    data = submission(*AMBIGUOUS[name], body=b"abc")
    response = exchange(entry.address, data + submission(body=b"smuggled"))
    assert response.status == 400
    assert response.header("almondstack-outcome") == "not-run"
    assert response.response_count == 1
    assert entry.dispatcher.calls == []


@pytest.mark.parametrize("name", BAD_CHUNKS)
def test_bad_chunk_is_refused_and_never_run(entry, name):
    response = exchange(
        entry.address, submission("Transfer-Encoding: chunked", body=BAD_CHUNKS[name])
    )
    assert response.status == 400
    assert response.header("almondstack-reason") in ("bad-request", "body-incomplete")
    assert entry.dispatcher.calls == []


def test_chunked_body_arrives_complete(entry):
    body = b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n"
    response = exchange(entry.address, submission("Transfer-Encoding: chunked", body=body))
    assert (response.status, response.body) == (200, b"abcde")


@pytest.mark.parametrize(
    ("headers", "status", "reason"),
    [
        (["Content-Length: 9999999"], 413, "body-too-large"),
        (["Almondstack-Deadline-Ms: 0"], 400, "bad-header"),
        (["Almondstack-Deadline-Ms: -5"], 400, "bad-header"),
        (["Almondstack-Idempotent: maybe"], 400, "bad-header"),
        (["Idempotency-Key: nonsense"], 422, "id-malformed"),
        (["Idempotency-Key: t1.nonsense"], 422, "id-malformed"),
        (["Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057"], 422, "id-too-old"),
        (["Idempotency-Key: ffffffff-ac96-774b-bcce-b302099a8057"], 422, "id-in-future"),
    ],
)
def test_invalid_header_is_refused_with_its_reason(entry, headers, status, reason):
    response = exchange(entry.address, submission(*headers))
    assert response.status == status
    assert response.header("almondstack-reason") == reason
    assert response.header("almondstack-outcome") == "not-run"
    assert entry.metrics.total(f"refused.{reason}") == 1


@pytest.mark.parametrize(
    ("key", "queue", "status", "reason"),
    [
        ("k1.wrong", "invoices", 401, "key-unknown"),
        ("nokey", "invoices", 401, "key-unknown"),
        ("", "invoices", 401, "key-missing"),
        ("k1.secret", "nowhere", 404, "queue-unknown"),
    ],
)
def test_wrong_key_or_queue_is_refused_with_its_reason(entry, key, queue, status, reason):
    response = exchange(entry.address, submission(key=key, queue=queue))
    assert (response.status, response.header("almondstack-reason")) == (status, reason)


def test_incomplete_body_is_not_run(entry):
    with connect(entry.address) as connection:
        connection.sendall(submission("Content-Length: 10", body=b"abc"))
        connection.shutdown(1)
        response = read_to_end(connection)
    assert response.header("almondstack-reason") == "body-incomplete"
    assert entry.dispatcher.calls == []


def test_slow_head_is_aborted():
    with running_entry(echo, head_timeout_s=0.3) as entry, connect(entry.address) as connection:
        connection.sendall(b"POST /v1/queues/invoices/requests HTTP/1.1\r\nX-A: ")
        response = read_to_end(connection)
        assert response.status in (0, 400)
        assert entry.dispatcher.calls == []


def test_oversized_head_is_refused(entry):
    response = exchange(entry.address, submission("X-A: " + "a" * 100_000))
    assert response.status in (0, 400, 413)
    assert entry.dispatcher.calls == []


def test_idle_connections_occupy_no_thread():
    with running_entry(echo, threads=4) as entry:
        silent = [connect(entry.address) for _ in range(40)]
        assert exchange(entry.address, submission(body=b"x")).status == 200
        for connection in silent:
            connection.close()


def test_requests_beyond_the_threads_are_refused_and_not_run():
    with running_entry(threads=4, waiting_connections=4) as entry:
        held = []
        for _ in range(8):
            connection = connect(entry.address)
            connection.sendall(submission(body=b"x"))
            held.append(connection)
            queue_size = entry.server.requests._queue.qsize
            assert wait_until(
                lambda: len(entry.dispatcher.waiting) + queue_size() == len(held)  # noqa: B023
            )
        response = exchange(entry.address, submission(body=b"x"))
        assert response.status == 503
        assert response.header("almondstack-reason") == "too-many-connections"
        assert response.header("almondstack-outcome") == "not-run"
        for connection in held:
            connection.close()


@settings(max_examples=60)
@given(data=st.binary(max_size=300), prefix=st.sampled_from([b"", b"POST / HTTP/1.1\r\n", None]))
def test_any_bytes_give_a_refusal_with_a_reason_or_a_closed_connection(entry, data, prefix):
    head = submission()[:-4] + b"\r\n" if prefix is None else prefix
    with connect(entry.address) as connection:
        connection.sendall(head + data + b"\r\n\r\n")
        connection.shutdown(1)
        response = read_to_end(connection)
    if response.status and response.status != 200:
        assert response.header("almondstack-reason")
        assert response.status != 500
    assert exchange(entry.address, submission(body=b"x")).status == 200
