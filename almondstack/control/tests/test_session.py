"""Calls to one worker: what the lease of a first start is reckoned from."""

import threading
import time

import pytest

from almondstack.control.messages import (
    OrderKind,
    OrderReply,
    OrderStatus,
    PollAnswered,
    PollFailed,
    PollReply,
    StartOrder,
)
from almondstack.control.session import WorkerSession, _Order
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.placement import WorkerInfo

_CLOCK_MS = 500_000
_LEASE_MS = 4_500
_PATIENCE_S = 20.0
_MAX_POLLS = 3
"""No test here needs more; a session that goes on looking fails."""


class _Worker:
    """A worker whose calls are kept, and whose looks are answered as the test says."""

    def __init__(self, poll=OrderStatus.DONE, life=1):
        self.poll_status = poll
        self.life = life
        self.starts = []
        self.polls = []
        self.is_connected = False

    def caller(self, worker):
        """Return itself."""
        return self

    def poll(self, deadline_ms, last_seen, wait_s, token):
        """Answer with the clock."""
        assert len(self.polls) < _MAX_POLLS
        self.polls.append((deadline_ms, last_seen, wait_s))
        return PollReply(self.poll_status, _CLOCK_MS, self.life, (), ())

    def start(self, order, deadline_ms, token):
        """Keep the end of the lease."""
        self.starts.append(deadline_ms)
        return OrderReply(OrderStatus.DONE, _CLOCK_MS)

    def close(self):
        """Nothing is open."""


@pytest.fixture
def news():
    """Keep what sessions report."""
    return []


def _session(worker, news):
    registered = WorkerInfo("w", 1, "p", "127.0.0.1:1", clock_ms=_CLOCK_MS - 4_400)
    return WorkerSession(
        registered,
        worker,
        1,
        ControlSettings(lease_s=_LEASE_MS / 1000.0),
        news.append,
        lambda: True,
        NullMetrics(),
        0.0,
    )


def _send_start(worker, news, clock_ms=None):
    session = _session(worker, news)
    session._note_clock(clock_ms)
    return session._send(worker, _start())


def _start(task="t", is_wanted=lambda: True):
    return _Order(OrderKind.START, task, 1, StartOrder(task, 1, "s", "", ""), is_wanted)


def test_a_first_lease_is_not_reckoned_from_an_old_registration(news):
    """A registration was 4 s old, and a lasting task lapsed 0.6 s after its start (AVAIL)."""
    worker = _Worker()
    assert _send_start(worker, news).status is OrderStatus.DONE
    assert worker.polls == [(None, 0, 0.0)]
    assert worker.starts[0] >= _CLOCK_MS + _LEASE_MS


def test_nothing_is_started_on_a_worker_that_does_not_tell_its_clock(news):
    """In a cut zone the first call to a worker tells that it is cut off, before any start."""
    worker = _Worker(poll=OrderStatus.UNCLEAR)
    assert _send_start(worker, news).status is OrderStatus.NOT_SENT
    assert worker.starts == [] and isinstance(news[0], PollFailed)


def test_once_another_life_has_answered_it_is_not_told_what_was_seen_before(news):
    """The second look told it, before the owner could act, and it forgot an end (soak, seed 2)."""
    worker = _Worker(life=2)
    session = _session(worker, news)
    session.acknowledge(29)
    session._is_busy = True
    session._run_polls()
    assert len(worker.polls) == 1 and isinstance(news[0], PollAnswered)


def test_nothing_is_started_on_another_life(news):
    """It knows no token, and carries out what an owner that paused still orders (soak, seed 22)."""
    worker = _Worker(life=2)
    assert _send_start(worker, news, clock_ms=_CLOCK_MS).status is OrderStatus.NOT_SENT
    assert worker.starts == [] and isinstance(news[0], PollAnswered)


def test_a_worker_that_has_answered_over_the_connection_is_not_asked_again(news):
    worker = _Worker()
    worker.is_connected = True
    assert _send_start(worker, news, clock_ms=_CLOCK_MS).status is OrderStatus.DONE
    assert worker.polls == []


def test_a_start_whose_connection_breaks_after_the_meeting_is_told_as_not_sent(news):
    """The process may be paused between the two calls, and the worker reborn meanwhile."""
    worker = _Worker()
    worker.start = lambda order, deadline_ms, token: OrderReply(OrderStatus.NOT_SENT)
    assert _send_start(worker, news).status is OrderStatus.NOT_SENT
    assert len(worker.polls) == 1


def test_a_start_that_is_no_longer_wanted_when_its_turn_comes_is_dropped(news):
    """It waited behind calls without answers, and its job was cancelled meanwhile (UNASKED)."""
    worker = _Worker()
    session = _session(worker, news)
    reply = session._send(worker, _start(is_wanted=lambda: False))
    assert reply.status is OrderStatus.UNWANTED and worker.starts == []


class _MuteFirst(_Worker):
    """A worker that leaves the first start without an answer until the test is over."""

    def __init__(self):
        super().__init__()
        self.is_connected = True
        self.is_asked = threading.Event()
        self.may_answer = threading.Event()
        self.is_relieved = threading.Event()

    def start(self, order, deadline_ms, token):
        """Answer all but the first start at once."""
        if order.task == "first":
            self.is_asked.set()
            self.may_answer.wait(_PATIENCE_S)
        elif order.task == "last":
            self.is_relieved.set()
        return super().start(order, deadline_ms, token)


def test_orders_do_not_wait_behind_one_whose_answer_is_late(news):
    """Workers that left a third of their orders unanswered held the others up for seconds."""
    worker = _MuteFirst()
    session = _session(worker, news)
    for task in ("first", "second", "last"):
        session.start(_start(task).start, lambda: True)
    assert worker.is_asked.wait(_PATIENCE_S)
    session.add_connection_if_slow(time.monotonic())
    assert not worker.is_relieved.is_set()
    session.add_connection_if_slow(time.monotonic() + ControlSettings().order_patience_s)
    assert worker.is_relieved.wait(_PATIENCE_S)
    worker.may_answer.set()
    session.close()


def test_a_worker_is_looked_at_again_after_an_error_has_ended_the_thread(news, monkeypatch):
    """It was never looked at again, and its runs stayed open for good."""
    failed = threading.Event()
    monkeypatch.setattr(threading, "excepthook", lambda _: failed.set())
    worker = _Worker()
    poll = worker.poll

    def failing_poll(*arguments):
        if not failed.is_set():
            raise IndexError("a fault of ours")
        return poll(*arguments)

    worker.poll = failing_poll
    session = _session(worker, news)
    session.set_busy(True)
    assert failed.wait(_PATIENCE_S)
    until_s = time.monotonic() + _PATIENCE_S
    while not news and time.monotonic() < until_s:
        session.set_busy(True)
        time.sleep(0.01)
    session.close()
    assert isinstance(news[0], PollAnswered)
