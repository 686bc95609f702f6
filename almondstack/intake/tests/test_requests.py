"""Requests that wait for the owner: taken or withdrawn, never both."""

import threading

import pytest

from almondstack.intake import (
    CancelRequest,
    OwnerNotReachedError,
    OwnerRequests,
    OwnerUnclearError,
    Peer,
    Receipt,
    Verdict,
)

_JOB = "5c0e7a21d94b36f8"


def _open(post):
    requests = OwnerRequests()
    requests.open(7, post)
    return requests


def test_nobody_is_asked_where_no_owner_is():
    with pytest.raises(OwnerNotReachedError):
        OwnerRequests().ask(CancelRequest(_JOB), 1.0)


def test_a_request_for_another_owner_is_not_taken():
    """It was held up on its way, and an owner that came later has refused its job since."""
    requests = _open(lambda request: request.answer(Receipt(Verdict.DONE)))
    with pytest.raises(OwnerNotReachedError):
        requests.ask(CancelRequest(_JOB), 1.0, token=6)


def test_a_request_that_is_not_taken_in_time_never_is():
    waiting = []
    with pytest.raises(OwnerNotReachedError):
        _open(waiting.append).ask(CancelRequest(_JOB), 0.01)
    assert not waiting[0].take()


def test_a_request_that_is_taken_and_not_answered_in_time_is_unclear():
    with pytest.raises(OwnerUnclearError):
        _open(lambda request: request.take()).ask(CancelRequest(_JOB), 0.01)


@pytest.mark.parametrize(
    ("is_taken", "error"), [(False, OwnerNotReachedError), (True, OwnerUnclearError)]
)
def test_nobody_waits_for_an_owner_that_has_ended(is_taken, error):
    posted = threading.Event()

    def post(request):
        if is_taken:
            request.take()
        posted.set()

    requests = _open(post)

    def end():
        posted.wait()
        requests.close()

    ending = threading.Thread(target=end)
    ending.start()
    with pytest.raises(error):
        requests.ask(CancelRequest(_JOB), 60.0)
    ending.join()


def test_the_standby_is_the_fastest_that_hears_the_store_and_stays_it():
    requests = OwnerRequests()
    assert requests.standby == ""
    requests.note_peer(Peer("slow/1", 0.5, 0.1))
    requests.note_peer(Peer("deaf/1", 4.0, 1.5))
    requests.note_peer(Peer("fast-b/1", 2.0, 0.1))
    assert requests.standby == "fast-b/1"
    requests.note_peer(Peer("fast-a/1", 2.0, 0.1))
    assert requests.standby == "fast-b/1"
    requests.note_peer(Peer("fast-b/1", 2.0, 9.0))
    assert requests.standby == "fast-a/1"


def test_zone_cut_the_standby_is_in_another_zone_if_any_is():
    """Owner and standby were cut off together, and all others left it the first claim."""
    requests = OwnerRequests("a")
    requests.note_peer(Peer("near/1", 2.0, 0.1, "a"))
    assert requests.standby == "near/1"
    requests.note_peer(Peer("far/1", 0.5, 0.1, "b"))
    assert requests.standby == "far/1"


def test_a_process_that_was_not_heard_of_for_long_is_no_standby(monkeypatch):
    requests = OwnerRequests()
    requests.note_peer(Peer("fast/1", 2.0, 0.1))
    monkeypatch.setattr("almondstack.intake.requests._FRESH_S", 0.0)
    assert requests.standby == ""
