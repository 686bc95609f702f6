"""Forwarding of requests to the owner in another process, over loopback."""

import socket
import threading
import time

import msgspec
import pytest

from almondstack.core.byte_budget import ByteBudget
from almondstack.core.http_client import HttpClient, HttpReply, NoAnswerError, NotSentError
from almondstack.intake import (
    CancelRequest,
    OwnerNotReachedError,
    OwnerRequests,
    OwnerUnclearError,
    Peer,
    Receipt,
    SubmissionRequest,
    Verdict,
)
from almondstack.jobs import (
    JobIndex,
    OwnerNotice,
    RecordKind,
    Submission,
    encode_notice,
    record_key,
)
from almondstack.relay import OwnerClient, RelayServer
from almondstack.relay.messages import CancelCall, OwnerReply, RelayPath, Sender
from almondstack.testing.addresses import free_address
from almondstack.testing.job_builders import make_step

_JOB = "5c0e7a21d94b36f8"
_TOKEN = 7


@pytest.fixture
def owner():
    """Serve requests for an owner on loopback."""
    requests = OwnerRequests()
    server = RelayServer(free_address(), requests, lambda: None)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    yield requests, "{}:{}".format(*server.bind_addr), server
    server.stop()
    thread.join()


def _client(address, token=_TOKEN):
    index = JobIndex()
    _apply_notice(index, address, token)
    return _client_of(index, OwnerRequests()), index


def _client_of(index, requests, lag_s=0.0):
    return OwnerClient(index, requests, lambda: Peer("a/1", 2.0, 0.1), lambda: 1.0, lambda: lag_s)


def _apply_notice(index, address, token=_TOKEN):
    notice = OwnerNotice("o/1", token, "", {}, 1.0, address)
    index.apply(record_key(RecordKind.OWNER), encode_notice(notice))


def _submission():
    return SubmissionRequest(_JOB, Submission("q", "a", "spec", (make_step(2),)), 42)


def _answering(receipt, seen):
    def post(request):
        seen.append(request)
        request.take()
        request.answer(receipt)

    return post


def test_a_submission_reaches_the_owner_unchanged(owner):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.FULL, 1_250.0, 3), seen))
    client, _ = _client(address)
    assert client.ask(_submission(), 5.0) == Receipt(Verdict.FULL, 1_250.0, 3)
    assert seen[0].submission == _submission().submission
    assert (seen[0].job, seen[0].read_offset) == (_JOB, 42)
    assert requests.standby == "a/1"


def test_a_cancel_reaches_the_owner(owner):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), seen))
    client, _ = _client(address)
    assert client.ask(CancelRequest(_JOB), 5.0).verdict is Verdict.DONE
    assert isinstance(seen[0], CancelRequest) and seen[0].job == _JOB


def test_a_former_owner_accepts_nothing(owner):
    _, address, _ = owner
    client, _ = _client(address)
    with pytest.raises(OwnerNotReachedError):
        client.ask(_submission(), 5.0)


def test_a_refused_connection_accepts_nothing_and_the_next_request_fails_at_once():
    client, index = _client(free_address())
    with pytest.raises(OwnerNotReachedError, match="not-sent"):
        client.ask(_submission(), 5.0)
    _apply_notice(index, client._index.notice.requests_address)
    with pytest.raises(OwnerNotReachedError, match="a moment ago"):
        client.ask(_submission(), 5.0)


def test_an_owner_that_timed_out_is_retried_only_after_a_new_record_of_it(monkeypatch):
    """A suspended process still accepts connections but does not answer."""
    with socket.create_server(("127.0.0.1", 0)) as mute:
        address = f"127.0.0.1:{mute.getsockname()[1]}"
        client, index = _client(address)
        with pytest.raises(OwnerUnclearError):
            client.ask(_submission(), 0.2)
        monkeypatch.setattr("almondstack.relay.client._FAILURE_PAUSE_S", 0.0)
        with pytest.raises(OwnerNotReachedError, match="a moment ago"):
            client.ask(_submission(), 0.2)
        time.sleep(0.01)
        _apply_notice(index, address)
        with pytest.raises(OwnerUnclearError):
            client.ask(_submission(), 0.2)


def test_power_lost_an_owner_without_recent_records_gets_no_request(owner, monkeypatch):
    """Otherwise each process waits 1.5 s for it, at the expense of callers' deadlines."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    client, index = _client(address)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE
    monkeypatch.setattr(index, "_owner_record_s", time.monotonic() - 1.5)
    with pytest.raises(OwnerNotReachedError, match="a moment ago"):
        client.ask(_submission(), 5.0)
    client._backoff_factor = lambda: 4.0
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE


def test_an_owner_in_this_process_is_asked_without_the_network():
    index = JobIndex()
    requests = OwnerRequests()
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    client = _client_of(index, requests)
    assert client.ask(_submission(), 1.0).verdict is Verdict.DONE


@pytest.mark.parametrize("path", ["/v1/submissions", "/v1/cancels"])
def test_a_malformed_call_is_not_accepted(owner, path):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), seen))
    assert HttpClient(address).call("POST", path, 5.0, b"\xc1").status == 400
    assert HttpClient(address).call("POST", "/v1/elsewhere", 5.0, b"").status == 404
    assert seen == []


@pytest.mark.parametrize("timeout_ms", [-1, 10_001, 2**62])
def test_a_call_with_a_time_out_of_bounds_is_not_accepted(owner, timeout_ms):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), seen))
    call = CancelCall(_TOKEN, timeout_ms, _JOB, Sender("p/1", 1.0, 0.0, "a"))
    body = msgspec.msgpack.encode(call)
    assert HttpClient(address).call("POST", RelayPath.CANCEL, 5.0, body).status == 400
    assert seen == []


def _long_submission():
    return SubmissionRequest(_JOB, Submission("q", "a", "s" * 40_000, (make_step(2),)), 42)


def test_bodies_of_callers_keep_no_call_out(owner):
    requests, address, server = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    assert server.guard.budget.reserve(server.guard.limits.max_held_bytes)
    client, _ = _client(address)
    assert client.ask(_long_submission(), 5.0).verdict == Verdict.DONE


def test_a_call_that_can_not_be_held_is_not_accepted(owner):
    requests, address, server = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), seen))
    server.budget = ByteBudget(0)
    assert HttpClient(address).call("POST", RelayPath.CANCEL, 5.0, b"a" * 40_000).status == 503
    client, _ = _client(address)
    with pytest.raises(OwnerNotReachedError):
        client.ask(_long_submission(), 5.0)
    assert seen == []


def test_an_error_in_the_owners_process_leaves_the_outcome_unclear(owner):
    requests, address, _ = owner

    def post(request):
        request.take()
        raise RuntimeError("unexpected")

    requests.open(_TOKEN, post)
    client, _ = _client(address)
    with pytest.raises(OwnerUnclearError):
        client.ask(_submission(), 5.0)


def test_connections_of_many_processes_stay_open(owner):
    """If the server keeps only ten open, the others reconnect for each request, and some fail."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    clients = [_client(address)[0] for _ in range(40)]
    for client in clients:
        client.ask(_submission(), 5.0)
    opened = [client._caller._idle.last for client in clients]
    for client in clients:
        client.ask(_submission(), 5.0)
    assert all(connection.is_connected for connection in opened)
    assert [client._caller._idle.last for client in clients] == opened


def test_an_owner_has_threads_for_many_waiting_requests(owner, monkeypatch):
    """In a slow store, dozens of requests wait for one append."""
    requests, address, server = owner
    waiting = []
    many = 16
    all_came = threading.Event()

    def post(request):
        request.take()
        waiting.append(request)
        if len(waiting) == many:
            all_came.set()

    requests.open(_TOKEN, post)
    server.resize_thread_pool(is_owner=True)
    client, index = _client(address)
    # The owner isn't silent, however long this machine takes to start the callers.
    monkeypatch.setattr(index, "_owner_record_s", time.monotonic() + 60.0)
    callers = [threading.Thread(target=client.ask, args=(_submission(), 20.0)) for _ in range(many)]
    for caller in callers:
        caller.start()
    assert all_came.wait(20.0)
    for request in waiting:
        request.answer(Receipt(Verdict.DONE))
    for caller in callers:
        caller.join()


def test_without_the_store_the_last_known_owner_is_asked(owner, monkeypatch):
    """If the store rejects this process, it reads no records of a live owner either."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    index = JobIndex()
    _apply_notice(index, address)
    monkeypatch.setattr(index, "_owner_record_s", time.monotonic() - 2.0)
    client = _client_of(index, OwnerRequests(), lag_s=2.0)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE


def test_without_the_store_for_long_no_request_is_forwarded(owner):
    """This process may still accept a key that has been revoked."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    index = JobIndex()
    _apply_notice(index, address)
    client = _client_of(index, OwnerRequests(), lag_s=4.0)
    with pytest.raises(OwnerNotReachedError, match="too long"):
        client.ask(_submission(), 5.0)


def test_an_owner_that_has_been_replaced_names_the_next_one(owner, monkeypatch):
    requests, address, server = owner
    later = OwnerRequests()
    seen = []
    later.open(_TOKEN + 1, _answering(Receipt(Verdict.DONE), seen))
    next_server = RelayServer(free_address(), later, lambda: None)
    next_server.prepare()
    thread = threading.Thread(target=next_server.serve, daemon=True)
    thread.start()
    next_address = "{}:{}".format(*next_server.bind_addr)
    server.notice = lambda: OwnerNotice("n/1", _TOKEN + 1, "", {}, 1.0, next_address)
    client, _ = _client(address)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE
    # The previous owner gets no further request.
    monkeypatch.setattr(server, "notice", None)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE
    assert len(seen) == 2
    next_server.stop()
    thread.join()


def test_a_process_that_knows_no_later_owner_does_not_redirect(owner):
    _, address, server = owner
    server.notice = lambda: OwnerNotice("o/1", _TOKEN, "", {}, 1.0, address)
    client, _ = _client(address)
    with pytest.raises(OwnerNotReachedError, match="409"):
        client.ask(_submission(), 5.0)


class _ReplacedOwnerCaller:
    """HTTP caller of an owner whose successor is unreachable; records the calls."""

    asked: list[tuple[str, float]] = []
    next_error: Exception = NotSentError("connection refused")

    def __init__(self, address, *_):
        self.address = address

    def call(self, method, path, timeout_s, body):
        """Answer after 0.2 s with the next owner's address, at which no process listens."""
        self.asked.append((self.address, timeout_s))
        if self.address != "127.0.0.1:1":
            raise self.next_error
        time.sleep(0.2)
        return HttpReply(409, msgspec.msgpack.encode(OwnerReply(_TOKEN + 1, "127.0.0.1:2")))

    def close(self):
        """Do nothing: no connection is open."""


@pytest.fixture
def replaced(monkeypatch):
    """Return a client of a replaced owner, its index, and the recorded calls."""
    monkeypatch.setattr(_ReplacedOwnerCaller, "asked", [])
    monkeypatch.setattr("almondstack.relay.client.HttpClient", _ReplacedOwnerCaller)
    client, index = _client("127.0.0.1:1")
    return client, index, _ReplacedOwnerCaller.asked


def test_the_next_owner_gets_only_the_remaining_time(replaced):
    """If both get the whole time-out, it passes before the second owner answers in a slow store."""
    client, _, asked = replaced
    with pytest.raises(OwnerNotReachedError):
        client.ask(_submission(), 1.0)
    assert [address for address, _ in asked] == ["127.0.0.1:1", "127.0.0.1:2"]
    assert asked[1][1] <= 0.8


def test_a_next_owner_that_gives_no_answer_may_have_taken_the_request(replaced, monkeypatch):
    monkeypatch.setattr(_ReplacedOwnerCaller, "next_error", NoAnswerError("killed or partitioned"))
    client, _, _ = replaced
    with pytest.raises(OwnerUnclearError):
        client.ask(_submission(), 1.0)


def test_no_time_left_the_next_owner_is_not_asked(replaced):
    client, _, asked = replaced
    with pytest.raises(OwnerNotReachedError, match="409"):
        client.ask(_submission(), 0.25)
    assert len(asked) == 1


def test_a_next_owner_that_can_not_be_reached_is_not_retried_at_once(replaced):
    """Otherwise each caller tries to connect to it until its notice is read."""
    client, _, asked = replaced
    for _ in range(3):
        with pytest.raises(OwnerNotReachedError):
            client.ask(_submission(), 1.0)
    assert len(asked) == 2
