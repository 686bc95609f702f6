"""Requests that wait for the owner are taken or withdrawn, never both; choice of the standby."""

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


def test_a_request_fails_in_a_process_that_is_not_the_owner():
    with pytest.raises(OwnerNotReachedError):
        OwnerRequests().ask(CancelRequest(_JOB), 1.0)


def test_a_request_for_another_owner_is_not_taken():
    """It may have been delayed while a later owner refused its job."""
    requests = _open(lambda request: request.answer(Receipt(Verdict.DONE)))
    with pytest.raises(OwnerNotReachedError):
        requests.ask(CancelRequest(_JOB), 1.0, token=6)


def test_a_request_for_a_token_that_the_owner_has_raised_is_taken():
    """Guards against callers turned away because their process has read the older notice."""
    requests = _open(lambda request: request.answer(Receipt(Verdict.DONE)))
    requests.add_token(9)
    for token in (7, 8, 9):
        assert requests.ask(CancelRequest(_JOB), 1.0, token=token).verdict is Verdict.DONE
    for token in (6, 10):
        with pytest.raises(OwnerNotReachedError):
            requests.ask(CancelRequest(_JOB), 1.0, token=token)
    requests.open(11, lambda request: request.answer(Receipt(Verdict.DONE)))
    with pytest.raises(OwnerNotReachedError):
        requests.ask(CancelRequest(_JOB), 1.0, token=9)


def test_a_request_that_is_not_taken_in_time_is_withdrawn():
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
def test_waiting_requests_fail_when_the_owner_ends(is_taken, error):
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


def test_the_standby_is_the_fastest_in_contact_with_the_store_and_is_kept():
    requests = OwnerRequests()
    assert requests.standby == ""
    requests.note_peer(Peer("slow/1", 0.5, 0.1))
    requests.note_peer(Peer("no-contact/1", 4.0, 1.5))
    requests.note_peer(Peer("fast-b/1", 2.0, 0.1))
    assert requests.standby == "fast-b/1"
    requests.note_peer(Peer("fast-a/1", 2.0, 0.1))
    assert requests.standby == "fast-b/1"
    requests.note_peer(Peer("fast-b/1", 2.0, 9.0))
    assert requests.standby == "fast-a/1"


def test_zone_cut_the_standby_is_in_another_zone_if_any_is():
    """If a zone is partitioned with owner and standby, all others delay their claims in vain."""
    requests = OwnerRequests("a")
    requests.note_peer(Peer("near/1", 2.0, 0.1, "a"))
    assert requests.standby == "near/1"
    requests.note_peer(Peer("far/1", 0.5, 0.1, "b"))
    assert requests.standby == "far/1"


def test_a_process_without_recent_requests_is_no_standby(monkeypatch):
    requests = OwnerRequests()
    requests.note_peer(Peer("fast/1", 2.0, 0.1))
    monkeypatch.setattr("almondstack.intake.requests._MAX_PEER_AGE_S", 0.0)
    assert requests.standby == ""


def test_made_up_processes_are_forgotten_oldest_first():
    requests = OwnerRequests()
    for number in range(5_000):
        requests.note_peer(Peer(f"p/{number}", 1.0, 0.1))
    assert len(requests._peers) <= 1_024 and "p/4999" in requests._peers


@pytest.mark.parametrize("is_posted", [True, False])
def test_a_request_that_fails_unforeseen_waits_no_longer(is_posted):
    def post(_):
        if not is_posted:
            raise RuntimeError("unexpected")

    requests = _open(post)
    with pytest.raises(OverflowError if is_posted else RuntimeError):
        requests.ask(CancelRequest(_JOB), 1e18)
    assert not requests._waiting
