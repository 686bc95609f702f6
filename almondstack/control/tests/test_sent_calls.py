"""Deadlines for one life of a worker that the next one may take: until when they count."""

import time

import pytest

from almondstack.control.lease import WorkerLease, longest_lease_s
from almondstack.control.messages import (
    OrderKind,
    OrderReply,
    OrderStatus,
    PollReply,
    StartOrder,
)
from almondstack.control.order_queue import Order
from almondstack.control.sent_calls import MAX_CALL_DELAY_S, SentCalls, longest_hold_s
from almondstack.control.session import WorkerSession
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.placement import WorkerInfo

_SETTINGS = ControlSettings(lease_s=4.5, max_hold_s=6.0)
_HOLD_S = longest_hold_s(_SETTINGS)
_LIFE, _NEXT_LIFE = 1_000, 2_000


class _Caller:
    """Answers each call with the next status, as the life that the test sets."""

    def __init__(self, *statuses, life=_LIFE):
        self.statuses = list(statuses)
        self.life = life
        self.is_connected = False
        self.deadlines = []

    def caller(self, worker):
        """Return this object as the caller."""
        return self

    def poll(self, deadline_ms, last_seen, wait_s, token):
        """Record the deadline."""
        self.deadlines.append(deadline_ms)
        status = self.statuses.pop(0)
        self.is_connected = status is OrderStatus.DONE
        return PollReply(status, 500, self.life if self.is_connected else 0, (), ())

    def start(self, order, deadline_ms, token):
        """Record the deadline."""
        self.deadlines.append(deadline_ms)
        return OrderReply(self.statuses.pop(0), 500)


def _session(caller, sent, life=_LIFE):
    info = WorkerInfo("w", life, "p", "127.0.0.1:1")
    services = (caller, 1, _SETTINGS, lambda event: None, lambda: True, LocalMetrics())
    return WorkerSession(info, *services, 0.0, sent)


def test_the_first_poll_over_a_connection_carries_no_deadline():
    """Guards against the deadline of a former life's clock for the next one (TWICE).

    A server that was back under its old id took it, and granted the longest lease that it
    grants; cut off soon after, it went on with runs that had been started elsewhere.
    """
    caller = _Caller(*[OrderStatus.DONE] * 3, OrderStatus.UNCLEAR, OrderStatus.DONE)
    session = _session(caller, SentCalls(_SETTINGS))
    for _ in range(2):
        session._poll(caller)
    caller.is_connected = False
    session._poll(caller)
    assert [deadline is None for deadline in caller.deadlines] == [True, False, True]


@pytest.mark.parametrize(
    "status, is_open",
    [
        (OrderStatus.DONE, False),
        (OrderStatus.OLD_RUN, False),
        (OrderStatus.NOT_SENT, False),
        (OrderStatus.UNCLEAR, True),
    ],
)
def test_a_start_without_an_answer_counts_for_the_next_life(status, is_open):
    sent = SentCalls(_SETTINGS)
    caller = _Caller(OrderStatus.DONE, status)
    session = _session(caller, sent)
    session._handshake(caller)
    session._send(caller, _start_order())
    expected_s = time.monotonic() + MAX_CALL_DELAY_S + _HOLD_S
    next_session = _session(_Caller(), sent, _NEXT_LIFE)
    assert next_session.lease_end_s == pytest.approx(
        expected_s if is_open else longest_lease_s(_SETTINGS), abs=1.0
    )


def test_the_first_answer_ends_the_need_of_a_contact():
    caller = _Caller(OrderStatus.UNCLEAR, OrderStatus.DONE)
    services = (caller, 1, _SETTINGS, lambda event: None, lambda: True, LocalMetrics())
    info = WorkerInfo("w", _LIFE, "p", "127.0.0.1:1")
    session = WorkerSession(info, *services, 0.0, SentCalls(_SETTINGS), None, 100.0)
    session._poll(caller)
    assert session.needs_contact(99.0) and not session.needs_contact(101.0)
    session._poll(caller)
    assert not session.needs_contact(99.0)


def test_no_call_begins_once_the_session_is_closed():
    """Guards against a call with the token that the next life gets as well (TWICE)."""
    sent = SentCalls(_SETTINGS)
    caller = _Caller(OrderStatus.DONE)
    session = _session(caller, sent)
    session.close()
    assert session._poll(caller) is False and caller.deadlines == []
    assert session._send(caller, _start_order()).status is OrderStatus.NOT_SENT
    assert not sent.needs_higher_token(_NEXT_LIFE, 1, time.monotonic())


def _start_order():
    return Order(OrderKind.START, "t", 1, StartOrder("t", 1, "s", "", ""))


def test_a_call_that_fails_unforeseen_counts_as_unanswered():
    sent = SentCalls(_SETTINGS)
    caller = _Caller(OrderStatus.DONE)
    session = _session(caller, sent)
    session._handshake(caller)
    with pytest.raises(IndexError):
        session._send(caller, _start_order())
    assert sent.end_s(_NEXT_LIFE) > time.monotonic() + MAX_CALL_DELAY_S


def test_a_call_under_way_counts_for_other_lives_only():
    sent = SentCalls(_SETTINGS)
    sent.begin(_LIFE, 100.0)
    assert sent.end_s(_NEXT_LIFE) == pytest.approx(100.0 + MAX_CALL_DELAY_S + _HOLD_S)
    assert sent.end_s(_LIFE) == 0.0


def test_a_life_is_settled_once_no_call_for_another_can_arrive():
    sent = SentCalls(_SETTINGS)
    number = sent.begin(_LIFE, 100.0)
    assert sent.settled_s(_NEXT_LIFE) == 100.0 + MAX_CALL_DELAY_S
    assert sent.settled_s(_LIFE) == 0.0
    sent.settle(number, _LIFE, 100.5)
    assert sent.settled_s(_NEXT_LIFE) == 0.0


def test_what_was_sent_is_over_once_no_lease_can_last_by_it():
    sent = SentCalls(_SETTINGS)
    number = sent.begin(_LIFE, 100.0)
    assert not sent.is_over(1_000.0)
    sent.leave_open(number)
    end_s = sent.end_s(_NEXT_LIFE)
    assert not sent.is_over(end_s - 0.1) and sent.is_over(end_s + 0.1)


def test_the_life_that_has_answered_for_another_holds_the_longest_lease():
    sent = SentCalls(_SETTINGS)
    sent.settle(sent.begin(_LIFE, 100.0), _NEXT_LIFE, 100.4)
    assert sent.end_s(_NEXT_LIFE) == pytest.approx(100.4 + _HOLD_S)


def test_the_last_unanswered_call_of_a_life_counts():
    sent = SentCalls(_SETTINGS)
    for sent_s in (100.0, 103.0):
        sent.leave_open(sent.begin(_LIFE, sent_s))
    assert sent.end_s(_NEXT_LIFE) == pytest.approx(103.0 + MAX_CALL_DELAY_S + _HOLD_S)


def test_deadlines_of_the_owner_before_count_until_the_worker_has_answered():
    """Guards against a new owner that takes runs for ended too soon (TWICE)."""
    lease = WorkerLease(_SETTINGS, 0, 100.0, former_until_s=113.0)
    assert lease.end_s == pytest.approx(113.0 + _HOLD_S)
    lease.note_poll(104.0)
    lease.note_poll(105.0)
    assert lease.end_s == pytest.approx(104.0 + _HOLD_S)


def test_a_call_that_fails_at_once_counts_beside_one_that_fails_later():
    """Guards against a call that is forgotten as one sent before it had its time-out later (TWICE).

    A poll waits longer for its answer than an order does.
    """
    sent = SentCalls(_SETTINGS)
    poll = sent.begin(_LIFE, 100.0, 1)
    start = sent.begin(_LIFE, 101.5, 1)
    sent.leave_open(start)
    sent.leave_open(poll)
    assert sent.settled_s(_NEXT_LIFE) == 101.5 + MAX_CALL_DELAY_S
    assert sent.end_s(_NEXT_LIFE) == 101.5 + MAX_CALL_DELAY_S + _HOLD_S
    assert sent.needs_higher_token(_NEXT_LIFE, 1, 113.5)
