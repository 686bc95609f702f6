"""Clients that keep to no limit don't end a real process, fill it or keep it from others.

Explanation
-----------
The tests share a process on loopback with a configuration and one without.  Each sends a small
crowd and looks at what doesn't depend on the machine's speed: the process lives, its memory and
descriptors stay under a bound, and one ordinary request gets its answer while the crowd is still
there.
"""

import functools
import itertools
import json
from contextlib import ExitStack

import pytest

from almondstack.platform.tests.builders import JOB, job_body
from almondstack.platform.tests.real_process import running_process
from almondstack.testing.client_crowd import ClientCrowd

_MAX_MEMORY_MB = 100.0
"""Half of the memory of the smallest machine."""

_MAX_DESCRIPTORS = 150
"""The settings allow 64 connections an address; a process has about 40 others."""

_SENDING_TIMEOUT_S = 8.0
_BIG_BODY = 262_144
_MB = 1_048_576


@pytest.fixture(scope="module")
def process(tmp_path_factory):
    """Yield a running process with the default limits of a configuration."""
    with running_process(tmp_path_factory.mktemp("configured"), limits={}) as process:
        yield process


@pytest.fixture(scope="module")
def unconfigured_process(tmp_path_factory):
    """Yield a running process that has no configuration."""
    folder = tmp_path_factory.mktemp("unconfigured")
    with running_process(folder, has_configuration=False) as process:
        yield process


def _head(*fields, method="POST", path=f"/q/{JOB}", key="k"):
    lines = [f"{method} {path} HTTP/1.1", "Host: jobs.example"]
    if key:
        lines.append(f"Authorization: Bearer {key}")
    return "\r\n".join([*lines, *fields]).encode() + b"\r\n\r\n"


_CHUNKED = _head("Transfer-Encoding: chunked")


def _endless(start, piece, total=20 * _MB):
    """Return a script that sends ``start``, then ``piece`` up to ``total`` bytes."""
    block = piece * max(1, 65_536 // len(piece))
    return lambda: itertools.chain([start], itertools.repeat(block, total // len(block)))


def _distinct_fields(start, total=20 * _MB):
    """Return a script that sends ``start`` and then header fields with distinct names."""

    def script():
        yield start
        for number in range(total // 65_536):
            yield b"".join(b"X-%d-%d: %b\r\n" % (number, at, b"v" * 20) for at in range(2_000))

    return script


def _check(process, *, status=200):
    """Compare all that is seen of the process with the bounds; prints it."""
    is_answered = process.is_job_answered(status)
    assert process.is_alive
    peak_mb, descriptors = process.peak_mb, process.descriptors
    print(f"peak_mb={peak_mb:.0f} descriptors={descriptors} is_answered={is_answered}")
    assert (peak_mb <= _MAX_MEMORY_MB, descriptors <= _MAX_DESCRIPTORS, is_answered) == (True,) * 3


_ENDLESS = {
    "trailer": _endless(_CHUNKED + b"2\r\n{}\r\n0\r\nX: ", b"a"),
    "trailers": _distinct_fields(_CHUNKED + b"2\r\n{}\r\n0\r\n"),
    "chunk-extension": _endless(_CHUNKED + b"2;", b"a"),
    "chunk-size": _endless(_CHUNKED, b"0"),
    "empty-chunk-extensions": _endless(_CHUNKED, b"1;" + b"a" * 4_000 + b"\r\n \r\n"),
    "header": _endless(b"POST / HTTP/1.1\r\nX: ", b"a"),
    "headers": _distinct_fields(b"POST / HTTP/1.1\r\n"),
    "folded-headers": _endless(b"POST / HTTP/1.1\r\n", b"Accept: aaaa\r\n"),
    "request-line": _endless(b"POST /", b"a"),
    "bare-lines": _endless(b"", b"\r\n"),
}


@pytest.mark.parametrize("kind", sorted(_ENDLESS))
def test_what_has_no_end_does_not_fill_the_memory(process, kind):
    with ClientCrowd(process.front, 8, _ENDLESS[kind]) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S)
        _check(process)


@pytest.mark.parametrize("port", ["ready", "metrics", "relay"])
def test_what_has_no_end_does_not_fill_the_memory_by_another_port(process, port):
    with ClientCrowd(getattr(process, port), 8, _ENDLESS["header"]) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S)
        _check(process)


def _check_large_chunks(process, key, status):
    head = _head("Transfer-Encoding: chunked", key=key)
    size = 2_000_000
    script = _endless(head + b"%x\r\n" % size, b" ", size - 100_000)
    with ClientCrowd(process.front, 48, script, is_renewed=True) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S)
        _check(process, status=status)


@pytest.mark.parametrize("key", ["k", "wrong", ""])
def test_large_chunks_do_not_fill_the_memory(process, key):
    _check_large_chunks(process, key, 200)


@pytest.mark.parametrize("key", ["k", "wrong", ""])
def test_large_chunks_do_not_fill_the_memory_before_a_configuration(unconfigured_process, key):
    _check_large_chunks(unconfigured_process, key, 503)


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_bodies_over_the_limit_from_many_connections_are_refused(process, framing):
    size = 20 * _MB
    field = f"Content-Length: {size}" if framing == "length" else "Transfer-Encoding: chunked"
    piece = b" " * 4_000 if framing == "length" else b"fa0\r\n" + b" " * 4_000 + b"\r\n"
    with ClientCrowd(process.front, 48, _endless(_head(field), piece, size)) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S)
        _check(process)


def test_bodies_within_the_limit_that_never_end_do_not_fill_the_memory(process):
    script = _endless(_head(f"Content-Length: {_BIG_BODY}"), b" ", _BIG_BODY - _MB // 16)
    with ClientCrowd(process.front, 60, script, is_renewed=True) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S)
        _check(process)


_HALF_SENT = {
    "nothing": b"",
    "request-line": b"POST /q/",
    "head": _head()[:-2],
    "body": _head("Content-Length: 100") + b"{",
    "body-without-key": _head("Content-Length: 100", key="") + b"{",
    "chunk": _CHUNKED + b"10\r\nabc",
}


@pytest.mark.parametrize("kind", sorted(_HALF_SENT))
def test_half_sent_requests_keep_nobody_from_the_callers_address(process, kind):
    with ClientCrowd(process.front, 300, lambda: iter([_HALF_SENT[kind]]), is_renewed=True):
        _check(process)


@pytest.mark.parametrize(("port", "status"), [("ready", 200), ("metrics", 200), ("relay", 404)])
@pytest.mark.parametrize("kind", ["nothing", "head", "body"])
def test_half_sent_requests_keep_nobody_from_the_other_addresses(process, port, status, kind):
    address = getattr(process, port)
    with ClientCrowd(address, 300, lambda: iter([_HALF_SENT[kind]]), is_renewed=True):
        assert process.is_answered(address, status)
        _check(process)


@pytest.mark.parametrize(("port", "status"), [("front", 404), ("ready", 200), ("metrics", 200)])
def test_answers_that_nobody_reads_keep_nobody_from_theirs(process, port, status):
    address = getattr(process, port)
    script = _endless(b"", _head(method="GET"), 4 * _MB)
    with ClientCrowd(address, 24, script, is_renewed=True, is_reading=False) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S / 2.0)
        assert process.is_answered(address, status)
        _check(process)


_DESCRIPTOR_LIMIT = 256


@pytest.mark.parametrize("max_connections", [None, 900])
def test_half_sent_heads_do_not_use_up_the_descriptors_for_good(tmp_path, max_connections):
    """With 900 connections an address the process runs out of descriptors, else it must not."""
    limits = "header-timeout-ms: 60000"
    if max_connections is not None:
        limits += f", max-connections: {max_connections}"
    with ExitStack() as stack:
        process = stack.enter_context(
            running_process(
                tmp_path,
                limits={},
                http_limits=f"{{{limits}}}",
                max_descriptors=_DESCRIPTOR_LIMIT,
            )
        )
        highest = 0
        for address in (process.ready, process.metrics, process.relay, process.front):
            crowd = ClientCrowd(address, 100, lambda: iter([_HALF_SENT["request-line"]]))
            stack.enter_context(crowd).wait_until_sent(_SENDING_TIMEOUT_S)
            highest = max(highest, process.descriptors)
        is_answered = process.is_job_answered()
        print(f"highest={highest} is_answered={is_answered}")
        assert process.is_alive and is_answered
        if max_connections is None:
            assert highest < _DESCRIPTOR_LIMIT


def test_callers_that_never_pause_get_answers_to_all_that_was_read_before_a_stop(tmp_path):
    """Several crowds, since each renews one connection at a time."""
    script = functools.partial(_whole_job, itertools.count(1_000))
    with ExitStack() as stack:
        process = stack.enter_context(running_process(tmp_path, limits={}))
        for _ in range(8):
            stack.enter_context(ClientCrowd(process.front, 7, script, is_renewed=True))
        assert process.is_job_answered()
        lines = process.stop()
    assert [json.loads(line)["active"] for line in lines] == [0]


def _whole_job(numbers):
    body = job_body()
    fields = f"Content-Length: {len(body)}", "Connection: close"
    yield _head(*fields, path=f"/q/{next(numbers):016x}") + body


def test_names_of_methods_without_end_do_not_fill_the_memory(process):
    """Guards against a counter for each name that a client makes up."""

    members = itertools.count()
    script = functools.partial(_distinct_methods, members)
    with ClientCrowd(process.front, 8, script) as crowd:
        crowd.wait_until_sent(_SENDING_TIMEOUT_S)
        _check(process)


def _distinct_methods(members, count=1_000):
    member = next(members)
    for number in range(count):
        method = f"{'A' * 8_000}{member}N{number}"
        yield _head(method=method)
