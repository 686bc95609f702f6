"""Requests passed on to the owner in another process, over loopback."""

import socket
import threading
import time

import msgspec
import pytest

from almondstack.core.http_client import HttpCaller, HttpReply, NoAnswerError, NotSentError
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
from almondstack.jobs import JobBook, OwnerNotice, RecordKind, Submission, encode_notice, record_key
from almondstack.relay import OwnerClient, RelayServer
from almondstack.relay.messages import OwnerReply
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
    book = JobBook()
    _sign(book, address, token)
    return _client_of(book, OwnerRequests()), book


def _client_of(book, requests, lag_s=0.0):
    return OwnerClient(book, requests, lambda: Peer("a/1", 2.0, 0.1), lambda: 1.0, lambda: lag_s)


def _sign(book, address, token=_TOKEN):
    notice = OwnerNotice("o/1", token, "", {}, 1.0, address)
    book.apply(record_key(RecordKind.OWNER), encode_notice(notice))


def _submission():
    return SubmissionRequest(_JOB, Submission("q", "a", "spec", (make_step(2),)), 42)


def _answering(receipt, seen):
    def post(request):
        seen.append(request)
        request.take()
        request.answer(receipt)

    return post


def test_a_submission_comes_to_the_owner_as_it_was_handed_in(owner):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.FULL, 1_250.0), seen))
    client, _ = _client(address)
    assert client.ask(_submission(), 5.0) == Receipt(Verdict.FULL, 1_250.0)
    assert seen[0].submission == _submission().submission
    assert (seen[0].job, seen[0].read_offset) == (_JOB, 42)
    assert requests.standby == "a/1"


def test_a_cancel_comes_to_the_owner(owner):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), seen))
    client, _ = _client(address)
    assert client.ask(CancelRequest(_JOB), 5.0).verdict is Verdict.DONE
    assert isinstance(seen[0], CancelRequest) and seen[0].job == _JOB


def test_an_owner_that_has_ended_takes_nothing(owner):
    _, address, _ = owner
    client, _ = _client(address)
    with pytest.raises(OwnerNotReachedError):
        client.ask(_submission(), 5.0)


def test_where_nothing_listens_nothing_is_taken_and_the_next_caller_is_not_held_up():
    client, book = _client(free_address())
    with pytest.raises(OwnerNotReachedError, match="not-sent"):
        client.ask(_submission(), 5.0)
    _sign(book, client._book.notice.requests_address)
    with pytest.raises(OwnerNotReachedError, match="a moment ago"):
        client.ask(_submission(), 5.0)


def test_an_owner_that_does_not_answer_is_asked_again_only_when_it_was_heard(monkeypatch):
    """A paused process accepts connections and says nothing."""
    with socket.create_server(("127.0.0.1", 0)) as mute:
        address = f"127.0.0.1:{mute.getsockname()[1]}"
        client, book = _client(address)
        with pytest.raises(OwnerUnclearError):
            client.ask(_submission(), 0.2)
        monkeypatch.setattr("almondstack.relay.client._PAUSE_S", 0.0)
        with pytest.raises(OwnerNotReachedError, match="a moment ago"):
            client.ask(_submission(), 0.2)
        time.sleep(0.01)
        _sign(book, address)
        with pytest.raises(OwnerUnclearError):
            client.ask(_submission(), 0.2)


def test_power_lost_an_owner_that_the_store_brings_nothing_of_is_not_asked(owner, monkeypatch):
    """Each process waited 1.5 s for it while callers' time went by."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    client, book = _client(address)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE
    monkeypatch.setattr(book, "_owner_heard_s", time.monotonic() - 1.5)
    with pytest.raises(OwnerNotReachedError, match="a moment ago"):
        client.ask(_submission(), 5.0)
    client._spread = lambda: 4.0
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE


def test_an_owner_in_this_process_is_asked_without_the_network():
    book = JobBook()
    requests = OwnerRequests()
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    client = _client_of(book, requests)
    assert client.ask(_submission(), 1.0).verdict is Verdict.DONE


@pytest.mark.parametrize("path", ["/v1/submissions", "/v1/cancels"])
def test_what_does_not_decode_is_not_taken(owner, path):
    requests, address, _ = owner
    seen = []
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), seen))
    assert HttpCaller(address).call("POST", path, 5.0, b"\xc1").status == 400
    assert HttpCaller(address).call("POST", "/v1/elsewhere", 5.0, b"").status == 404
    assert seen == []


def test_a_fault_of_the_owners_process_leaves_open_whether_it_has_taken_the_request(owner):
    requests, address, _ = owner

    def post(request):
        request.take()
        raise RuntimeError("a fault")

    requests.open(_TOKEN, post)
    client, _ = _client(address)
    with pytest.raises(OwnerUnclearError):
        client.ask(_submission(), 5.0)


def test_connections_of_many_processes_stay_open(owner):
    """Ten were kept; the others were opened anew for each request, and some found no place."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    clients = [_client(address)[0] for _ in range(40)]
    for client in clients:
        client.ask(_submission(), 5.0)
    opened = [client._caller._last_connection for client in clients]
    for client in clients:
        client.ask(_submission(), 5.0)
    assert all(connection.is_connected for connection in opened)
    assert [client._caller._last_connection for client in clients] == opened


def test_an_owner_has_threads_for_many_requests_that_wait(owner):
    """A slow store lets dozens wait for one append."""
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
    client, _ = _client(address)
    callers = [threading.Thread(target=client.ask, args=(_submission(), 20.0)) for _ in range(many)]
    for caller in callers:
        caller.start()
    assert all_came.wait(20.0)
    for request in waiting:
        request.answer(Receipt(Verdict.DONE))
    for caller in callers:
        caller.join()


def test_without_the_store_the_last_known_owner_is_asked(owner, monkeypatch):
    """Nothing of a living owner is heard where the store turns this process away."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    book = JobBook()
    _sign(book, address)
    monkeypatch.setattr(book, "_owner_heard_s", time.monotonic() - 2.0)
    client = _client_of(book, OwnerRequests(), lag_s=2.0)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE


def test_without_the_store_for_long_nothing_is_handed_in(owner):
    """A key may have been revoked that this process still takes."""
    requests, address, _ = owner
    requests.open(_TOKEN, _answering(Receipt(Verdict.DONE), []))
    book = JobBook()
    _sign(book, address)
    client = _client_of(book, OwnerRequests(), lag_s=4.0)
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
    # The one before is not asked again.
    monkeypatch.setattr(server, "notice", None)
    assert client.ask(_submission(), 5.0).verdict is Verdict.DONE
    assert len(seen) == 2
    next_server.stop()
    thread.join()


def test_a_process_that_knows_no_later_owner_sends_nobody_on(owner):
    _, address, server = owner
    server.notice = lambda: OwnerNotice("o/1", _TOKEN, "", {}, 1.0, address)
    client, _ = _client(address)
    with pytest.raises(OwnerNotReachedError, match="409"):
        client.ask(_submission(), 5.0)


class _Replaced:
    """A connection to an owner that was replaced by one out of reach; keeps how it was asked."""

    asked: list[tuple[str, float]] = []
    next_error: Exception = NotSentError("nobody listens")

    def __init__(self, address, *_):
        self.address = address

    def call(self, method, path, timeout_s, body):
        """Take a while and name the next owner, at an address that has none."""
        self.asked.append((self.address, timeout_s))
        if self.address != "127.0.0.1:1":
            raise self.next_error
        time.sleep(0.2)
        return HttpReply(409, msgspec.msgpack.encode(OwnerReply(_TOKEN + 1, "127.0.0.1:2")))

    def close(self):
        """Nothing is open."""


@pytest.fixture
def replaced(monkeypatch):
    """Give a client of an owner that has been replaced, and what is asked of whom."""
    monkeypatch.setattr(_Replaced, "asked", [])
    monkeypatch.setattr("almondstack.relay.client.HttpCaller", _Replaced)
    client, book = _client("127.0.0.1:1")
    return client, book, _Replaced.asked


def test_the_next_owner_gets_the_time_that_the_one_before_has_left(replaced):
    """Both got all of the caller's time: in a slow store it was over before the second answered."""
    client, _, asked = replaced
    with pytest.raises(OwnerNotReachedError):
        client.ask(_submission(), 1.0)
    assert [address for address, _ in asked] == ["127.0.0.1:1", "127.0.0.1:2"]
    assert asked[1][1] <= 0.8


def test_a_next_owner_that_gives_no_answer_may_have_taken_the_request(replaced, monkeypatch):
    monkeypatch.setattr(_Replaced, "next_error", NoAnswerError("it was killed, or cut off"))
    client, _, _ = replaced
    with pytest.raises(OwnerUnclearError):
        client.ask(_submission(), 1.0)


def test_no_time_left_the_next_owner_is_not_asked(replaced):
    client, _, asked = replaced
    with pytest.raises(OwnerNotReachedError, match="409"):
        client.ask(_submission(), 0.25)
    assert len(asked) == 1


def test_a_next_owner_that_can_not_be_reached_is_not_asked_at_once_again(replaced):
    """Each caller tried to open a connection to it, until its notice was read."""
    client, _, asked = replaced
    for _ in range(3):
        with pytest.raises(OwnerNotReachedError):
            client.ask(_submission(), 1.0)
    assert len(asked) == 2
