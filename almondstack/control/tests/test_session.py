"""Calls to one worker: lease deadlines, restarts of the worker, and late answers."""

import threading
import time
from types import SimpleNamespace

import pytest

from almondstack.control.messages import (
    OrderKind,
    OrderReply,
    OrderStatus,
    PollAnswered,
    PollFailed,
    PollReply,
    StartOrder,
    StartSent,
)
from almondstack.control.order_queue import Order
from almondstack.control.session import WorkerSession
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.placement import WorkerInfo

_CLOCK_MS = 500_000
_LEASE_MS = 4_500
_TIMEOUT_S = 20.0
_MAX_POLLS = 3
"""Maximum number of polls that a test needs; more polls fail the test."""


class _Worker:
    """Records calls, and answers polls with the status and start time that the test sets."""

    def __init__(self, poll=OrderStatus.DONE, life=1):
        self.poll_status = poll
        self.life = life
        self.starts = []
        self.stops = []
        self.polls = []
        self.is_connected = False

    def caller(self, worker):
        """Return this object as the caller."""
        return self

    def poll(self, deadline_ms, last_seen, wait_s, token):
        """Record the poll, and answer with the clock."""
        assert len(self.polls) < _MAX_POLLS
        self.polls.append((deadline_ms, last_seen, wait_s))
        return PollReply(self.poll_status, _CLOCK_MS, self.life, (), ())

    def start(self, order, deadline_ms, token):
        """Record the end of the lease."""
        self.starts.append(deadline_ms)
        return OrderReply(OrderStatus.DONE, _CLOCK_MS)

    def stop(self, task, run, token):
        """Record the stop."""
        self.stops.append((task, run))
        return OrderReply(OrderStatus.DONE, _CLOCK_MS)

    def close(self):
        """Do nothing: no connection is open."""


@pytest.fixture
def events():
    """Collect the events that sessions post, without the notes of what is sent."""
    return _Events()


class _Events(list):
    """Events of sessions; the notes of starts that are sent are kept apart."""

    def __init__(self):
        super().__init__()
        self.sent = []

    def append(self, event):
        """Add an event."""
        if isinstance(event, StartSent):
            self.sent.append(event)
        else:
            super().append(event)


def _session(worker, events):
    registered = WorkerInfo("w", 1, "p", "127.0.0.1:1", clock_ms=_CLOCK_MS - 4_400)
    return WorkerSession(
        registered,
        worker,
        1,
        ControlSettings(lease_s=_LEASE_MS / 1000.0),
        events.append,
        lambda: True,
        LocalMetrics(),
        0.0,
    )


def _send_start(worker, events, clock_ms=None):
    session = _session(worker, events)
    session._lease.note_clock(clock_ms, time.monotonic())
    return session._send(worker, _start())


def _start(task="t", is_wanted=lambda: True):
    return Order(OrderKind.START, task, 1, StartOrder(task, 1, "s", "", ""), is_wanted)


def test_a_first_lease_is_not_computed_from_an_old_registration(events):
    """Guards against leases that expire early because the registered clock value is old.

    A registration was 4 s old, and the lease of a long-running task expired 0.6 s after
    its start (AVAIL).
    """
    worker = _Worker()
    assert _send_start(worker, events).status is OrderStatus.DONE
    assert worker.polls == [(None, 0, 0.0)]
    assert worker.starts[0] >= _CLOCK_MS + _LEASE_MS


def test_nothing_is_started_on_a_worker_that_does_not_answer_a_poll(events):
    """Guards against starts on a worker in a partitioned zone: the first call detects it."""
    worker = _Worker(poll=OrderStatus.UNCLEAR)
    assert _send_start(worker, events).status is OrderStatus.NOT_SENT
    assert worker.starts == [] and isinstance(events[0], PollFailed)


def test_a_stop_over_a_new_connection_is_sent_only_after_a_poll(events):
    """Guards against a stop by which a session goes on with the worker's next life (TWICE)."""
    worker = _Worker()
    stop = Order(OrderKind.STOP, "t", 1)
    assert _session(worker, events)._send(worker, stop).status is OrderStatus.DONE
    assert worker.polls == [(None, 0, 0.0)]
    restarted = _Worker(life=2)
    session = _session(restarted, events)
    assert session._send(restarted, stop).status is OrderStatus.NOT_SENT
    assert restarted.stops == [] and isinstance(events[-1], PollAnswered)


def test_a_restarted_worker_gets_no_acknowledgement_of_its_earlier_incarnation(events):
    """Guards against an end that the restarted worker drops although nobody has read it.

    The second poll acknowledged it before the owner could close the session (soak,
    seed 2).
    """
    worker = _Worker(life=2)
    session = _session(worker, events)
    session.acknowledge(29)
    session._is_busy = True
    session._run_polls()
    assert len(worker.polls) == 1 and isinstance(events[0], PollAnswered)


def test_nothing_is_started_on_another_incarnation(events):
    """Guards against a fenced owner that starts runs on a restarted worker.

    Such a worker has no fencing token yet, and accepts the orders of an owner that was
    paused (soak, seed 22).
    """
    worker = _Worker(life=2)
    assert _send_start(worker, events, clock_ms=_CLOCK_MS).status is OrderStatus.NOT_SENT
    assert worker.starts == [] and isinstance(events[0], PollAnswered)


def test_a_worker_that_has_answered_over_the_connection_is_not_polled_again(events):
    worker = _Worker()
    worker.is_connected = True
    assert _send_start(worker, events, clock_ms=_CLOCK_MS).status is OrderStatus.DONE
    assert worker.polls == []


def test_a_start_whose_connection_breaks_after_the_handshake_is_reported_as_not_sent(events):
    """Guards against a start on a worker that restarts between the handshake and the start.

    This process may be paused between the two calls.
    """
    worker = _Worker()
    worker.start = lambda order, deadline_ms, token: OrderReply(OrderStatus.NOT_SENT)
    assert _send_start(worker, events).status is OrderStatus.NOT_SENT
    assert len(worker.polls) == 1


def test_a_queued_start_that_is_no_longer_wanted_is_dropped(events):
    """Guards against the start of a job that is cancelled while the start is queued.

    The start was queued behind calls without answers (UNASKED).
    """
    worker = _Worker()
    session = _session(worker, events)
    reply = session._send(worker, _start(is_wanted=lambda: False))
    assert reply.status is OrderStatus.UNWANTED and worker.starts == []


class _FirstStartUnanswered(_Worker):
    """A worker that does not answer the first start before the test ends."""

    def __init__(self):
        super().__init__()
        self.is_connected = True
        self.has_first = threading.Event()
        self.may_answer = threading.Event()
        self.has_last = threading.Event()

    def start(self, order, deadline_ms, token):
        """Answer all but the first start at once."""
        if order.task == "first":
            self.has_first.set()
            self.may_answer.wait(_TIMEOUT_S)
        elif order.task == "last":
            self.has_last.set()
        return super().start(order, deadline_ms, token)


def test_orders_are_not_blocked_by_one_whose_answer_is_late(events):
    """Guards against orders that wait for seconds behind unanswered ones.

    This happened with workers that left a third of their orders unanswered.
    """
    worker = _FirstStartUnanswered()
    session = _session(worker, events)
    for task in ("first", "second", "last"):
        session.start(_start(task).start, lambda: True)
    assert worker.has_first.wait(_TIMEOUT_S)
    session.add_connection_if_slow(time.monotonic())
    assert not worker.has_last.is_set()
    session.add_connection_if_slow(time.monotonic() + ControlSettings().order_patience_s)
    assert worker.has_last.wait(_TIMEOUT_S)
    worker.may_answer.set()
    session.close()


def test_many_orders_go_over_several_connections(events):
    """Guards against a wide job that waits for one call after the other (review/11, LOST)."""
    worker = _FirstStartUnanswered()
    session = _session(worker, events)
    for task in ("first", *map(str, range(40)), "last"):
        session.start(_start(task).start, lambda: True)
    assert worker.has_first.wait(_TIMEOUT_S)
    session.add_connection_if_slow(time.monotonic())
    assert worker.has_last.wait(_TIMEOUT_S)
    worker.may_answer.set()
    session.close()


def test_a_stop_is_sent_before_the_starts_that_wait_and_only_once(events):
    """Guards against stops that wait behind starts, and fill the queue by repeats (review/11)."""
    worker = _FirstStartUnanswered()
    session = _session(worker, events)
    for task in ("first", "second", "last"):
        session.start(_start(task).start, lambda: True)
    assert worker.has_first.wait(_TIMEOUT_S)
    for _ in range(3):
        session.stop("running", 1)
    worker.may_answer.set()
    assert worker.has_last.wait(_TIMEOUT_S)
    session.close()
    assert worker.stops == [("running", 1)]
    assert [event.task for event in events[:3]] == ["first", "running", "second"]


def test_a_start_that_waits_for_long_is_noted_when_it_is_sent(events, monkeypatch):
    """Guards against a start that counts as unanswered while it waits (review/11, LOST)."""
    monkeypatch.setattr("almondstack.control.session._LONG_WAIT_S", 0.1)
    worker = _FirstStartUnanswered()
    session = _session(worker, events)
    for task in ("first", "last"):
        session.start(_start(task).start, lambda: True)
    assert worker.has_first.wait(_TIMEOUT_S)
    assert events.sent == []
    time.sleep(0.15)
    worker.may_answer.set()
    assert worker.has_last.wait(_TIMEOUT_S)
    session.close()
    assert [event.task for event in events.sent] == ["last"]


def test_a_worker_is_polled_again_after_an_unforeseen_error(events, monkeypatch):
    """Guards against a worker that is never polled again, so that its runs never end.

    The error is reported to the owner as a poll without an answer: if it goes on, the lease
    of the worker's runs ends, and they run elsewhere (review/3).
    """
    failed = threading.Event()
    monkeypatch.setattr(threading, "excepthook", lambda _: failed.set())
    worker = _Worker()
    poll = worker.poll

    def failing_poll(*arguments):
        if not failed.is_set():
            raise IndexError("injected error")
        return poll(*arguments)

    worker.poll = failing_poll
    session = _session(worker, events)
    session.set_busy(True)
    assert failed.wait(_TIMEOUT_S)
    until_s = time.monotonic() + _TIMEOUT_S
    while len(events) < 2 and time.monotonic() < until_s:
        time.sleep(0.01)
    session.close()
    assert isinstance(events[0], PollFailed) and isinstance(events[1], PollAnswered)


def test_a_start_whose_call_fails_unforeseen_is_reported_as_unclear(events, monkeypatch):
    """Guards against starts that stay queued behind one that has ended their thread (review/3)."""
    failed = []
    monkeypatch.setattr(threading, "excepthook", failed.append)
    worker = _Worker()

    def failing_start(order, deadline_ms, token):
        raise ValueError("injected error")

    worker.start = failing_start
    session = _session(worker, events)
    for task in ("first", "second"):
        session.start(_start(task).start, lambda: True)
    until_s = time.monotonic() + _TIMEOUT_S
    while len(events) < 2 and time.monotonic() < until_s:
        time.sleep(0.01)
    session.close()
    assert [(event.task, event.reply.status) for event in events] == [
        ("first", OrderStatus.UNCLEAR),
        ("second", OrderStatus.UNCLEAR),
    ]
    assert len(failed) == 2 and session._orders_began_s == {}


class _SlowClockWorker(_Worker):
    """A worker whose clock is 2 % slow."""

    def __init__(self, now_s):
        super().__init__()
        self.is_connected = True
        self.now_s = now_s

    def _clock_ms(self):
        return int(self.now_s() * 0.98 * 1000.0)

    def poll(self, deadline_ms, last_seen, wait_s, token):
        """Record the poll, and answer with the slow clock."""
        return (
            super().poll(deadline_ms, last_seen, wait_s, token)._replace(clock_ms=self._clock_ms())
        )

    def start(self, order, deadline_ms, token):
        """Record the deadline, and answer with the slow clock."""
        return super().start(order, deadline_ms, token)._replace(clock_ms=self._clock_ms())


@pytest.mark.parametrize("idle_s", [20.0, 75.0])
def test_the_first_lease_after_an_idle_time_ends_when_the_owner_counts_it_as_ended(
    events, monkeypatch, idle_s
):
    """Guards against a second run beside the first after a worker was idle (review/1)."""
    now_s = [1_000.0]
    clock = SimpleNamespace(monotonic=lambda: now_s[0], sleep=time.sleep)
    monkeypatch.setattr("almondstack.control.session.time", clock)
    worker = _SlowClockWorker(clock.monotonic)
    session = _session(worker, events)
    session._execute(worker, _start("before"))
    now_s[0] += idle_s
    session._execute(worker, _start("after"))
    ends_s = worker.starts[-1] / 0.98 / 1000.0
    assert ends_s <= session.lease_end_s + 0.01
    assert ends_s >= now_s[0] + 0.9 * _LEASE_MS / 1000.0


def test_a_start_sent_while_the_first_poll_waits_is_counted(events, monkeypatch):
    """Guards against a run that outlasts what its owner counts with.

    The answer to the first poll set the time of the last extension back to the sending of
    that poll, before a start that was sent while the poll waited at the worker.
    """
    now_s = [1_000.0]
    clock = SimpleNamespace(monotonic=lambda: now_s[0], sleep=lambda _: None)
    monkeypatch.setattr("almondstack.control.session.time", clock)
    worker = _SlowClockWorker(clock.monotonic)
    session = _session(worker, events)
    session._lease.note_clock(worker._clock_ms(), now_s[0])
    answer = worker.poll

    def poll_with_start(deadline_ms, last_seen, wait_s, token):
        now_s[0] += 0.5
        if not worker.starts:
            session._execute(worker, _start())
        now_s[0] += 0.5
        return answer(deadline_ms, last_seen, wait_s, token)

    worker.poll = poll_with_start
    session._poll(worker)
    assert worker.starts[-1] / 0.98 / 1000.0 <= session.lease_end_s + 0.01
