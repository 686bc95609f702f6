"""Calls to one worker: what the lease of a first start is reckoned from."""

import pytest

from almondstack.control.messages import (
    LookFailed,
    LookReply,
    OrderKind,
    OrderReply,
    OrderStatus,
    StartOrder,
)
from almondstack.control.session import WorkerSession, _Order
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.placement import WorkerInfo

_CLOCK_MS = 500_000
_LEASE_MS = 4_500


class _Worker:
    """A worker whose calls are kept, and whose looks are answered as the test says."""

    def __init__(self, look=OrderStatus.DONE):
        self.look_status = look
        self.starts = []
        self.looks = []

    def caller(self, worker):
        """Return itself."""
        return self

    def look(self, deadline_ms, last_seen, wait_s, token):
        """Answer with the clock."""
        self.looks.append((deadline_ms, last_seen, wait_s))
        return LookReply(self.look_status, _CLOCK_MS, 1, (), ())

    def start(self, order, deadline_ms, token):
        """Keep the end of the lease."""
        self.starts.append(deadline_ms)
        return OrderReply(OrderStatus.DONE, _CLOCK_MS)


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


def _send_start(worker, news):
    session = _session(worker, news)
    order = _Order(OrderKind.START, "t", 1, start=StartOrder("t", 1, "s", "", ""))
    return session._send(worker, order)


def test_a_first_lease_is_not_reckoned_from_an_old_registration(news):
    """A registration was 4 s old, and a lasting task lapsed 0.6 s after its start (AVAIL)."""
    worker = _Worker()
    assert _send_start(worker, news).status is OrderStatus.DONE
    assert worker.looks == [(None, 0, 0.0)]
    assert worker.starts[0] >= _CLOCK_MS + _LEASE_MS


def test_nothing_is_started_on_a_worker_that_does_not_tell_its_clock(news):
    """In a cut zone the first call to a worker tells that it is cut off, before any start."""
    worker = _Worker(look=OrderStatus.UNCLEAR)
    assert _send_start(worker, news).status is OrderStatus.NOT_SENT
    assert worker.starts == [] and isinstance(news[0], LookFailed)
