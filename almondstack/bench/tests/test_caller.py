"""Outcomes that a caller records for the responses of an entry."""

import contextlib
import socketserver
import threading

import pytest

from almondstack.bench.caller import Caller, WorkItem
from almondstack.bench.outcome_check import CallerEnd
from almondstack.core import encode_json, parse_address
from almondstack.testing.addresses import free_address

_ITEM = WorkItem(work_id="1", team="north", queue="q", zone="a", body=b"", deadline_ms=500)
_DIGEST = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
_ANSWER = encode_json({"work_id": "1", "upstream": "u1", "length": 0, "digest": _DIGEST})


@contextlib.contextmanager
def _entry(*replies: bytes):
    """Serve one connection for each reply: send the reply, then close."""
    unsent = list(replies)

    class Handler(socketserver.BaseRequestHandler):
        def handle(self) -> None:
            self.request.recv(65_536)
            self.request.sendall(unsent.pop(0))

    address = free_address()
    socketserver.ThreadingTCPServer.allow_reuse_address = True
    with socketserver.ThreadingTCPServer(parse_address(address), Handler) as server:
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        yield address
        server.shutdown()
        thread.join()


def _reply(outcome: str, body: bytes, length: int | None = None, reason: str = "") -> bytes:
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body) if length is None else length}"]
    lines += [f"Almondstack-Outcome: {outcome}"] if outcome else []
    lines += [f"Almondstack-Reason: {reason}"] if reason else []
    return "\r\n".join([*lines, "", ""]).encode() + body


@pytest.mark.parametrize(
    ("reply", "end", "is_right"),
    [
        (_reply("answered", _ANSWER), CallerEnd.ANSWERED, True),
        (_reply("answered", _ANSWER.replace(b'"1"', b'"2"')), CallerEnd.ANSWERED, False),
        (_reply("answered", b""), CallerEnd.ANSWERED, False),
        (_reply("answered", _ANSWER, length=1000), CallerEnd.BROKEN, True),
        (_reply("unknown", b""), CallerEnd.UNKNOWN, True),
        (_reply("", _ANSWER), CallerEnd.NONE, True),
    ],
)
def test_outcome_of_one_attempt(reply, end, is_right):
    with _entry(reply) as address:
        record = Caller({"a": [address]}).submit(_ITEM)
    assert (record.end, record.is_right) == (end, is_right)


def test_request_refused_by_an_entry_that_shuts_down_is_retried():
    refusal = _reply("not-run", b"", reason="shutting-down")
    with _entry(refusal, _reply("answered", _ANSWER)) as address:
        assert Caller({"a": [address]}).submit(_ITEM).end is CallerEnd.ANSWERED


def test_unknown_outcome_of_an_attempt_is_kept_after_later_refusals():
    refusal = _reply("not-run", b"", reason="shutting-down")
    with _entry(b"", *[refusal] * 4) as address:
        assert Caller({"a": [address]}).submit(_ITEM).end is CallerEnd.BROKEN
