"""Tests of the worker client against a stand-in of the platform's workers."""

import socket

import pytest

from almondstack.control.messages import OrderStatus, StartOrder
from almondstack.core.http_client import HttpClient, HttpReply
from almondstack.jobs import RunEnd
from almondstack.placement import WorkerInfo
from almondstack.platform.tests.builders import serving
from almondstack.platform.workers import HttpWorkerCallers
from almondstack.standin.task_worker import TaskWorkerStandin

_TASK = "5c0e7a21d94b36f8.0.0.0"


@pytest.fixture
def worker():
    """Serve a stand-in worker with room for one run; yields it with a client."""
    standin = TaskWorkerStandin(room=1)
    with serving(standin) as address:
        yield standin, HttpWorkerCallers(1.0).caller(WorkerInfo("i-1", 0, "p", address))


def _start(caller, run=1, token=5, task=_TASK):
    if not caller.is_connected:
        caller.poll(None, 0, 0.0, token)
    return caller.start(StartOrder(task, run, "s", "", ""), 9_000, token).status


def test_a_run_is_listed_and_its_end_is_listed_until_acknowledged(worker):
    standin, caller = worker
    assert _start(caller) is OrderStatus.DONE
    listed = caller.poll(9_000, 0, 0.0, 5)
    assert [(run.task, run.run, run.percent) for run in listed.running] == [(_TASK, 1, 100)]
    assert listed.life == 1_000
    standin.end(_TASK)
    for _ in range(2):
        (end,) = caller.poll(9_000, 0, 0.0, 5).ended
        assert (end.number, end.end) == (1, RunEnd.DONE)
    assert caller.poll(9_000, 1, 0.0, 5).ended == ()


def test_refusals_map_to_distinct_statuses(worker):
    standin, caller = worker
    _start(caller)
    assert _start(caller, task="5c0e7a21d94b36f8.0.0.1") is OrderStatus.NO_ROOM
    assert _start(caller, token=4) is OrderStatus.FENCED
    standin.end(_TASK)
    assert _start(caller) is OrderStatus.OLD_RUN
    standin.is_unhealthy = True
    assert _start(caller, run=2) is OrderStatus.REFUSED


def test_a_run_that_was_stopped_before_its_start_arrived_does_not_start(worker):
    standin, caller = worker
    caller.poll(None, 0, 0.0, 5)
    assert caller.stop(_TASK, 1, 5).status is OrderStatus.DONE
    assert _start(caller) is OrderStatus.OLD_RUN
    assert standin.running == {}


def test_no_order_opens_a_connection(worker):
    """Guards against starts that follow a stop to a life that nobody has polled (TWICE)."""
    standin, caller = worker
    assert caller.stop(_TASK, 1, 5).status is OrderStatus.NOT_SENT
    assert caller.pace(_TASK, 1, 50, 5).status is OrderStatus.NOT_SENT
    assert standin.running == {}


def test_a_lost_answer_is_unclear_and_a_retry_succeeds(worker):
    standin, caller = worker
    standin.start_replies_to_drop = 1
    assert _start(caller) is OrderStatus.UNCLEAR
    assert _start(caller) is OrderStatus.DONE
    assert standin.running == {_TASK: 1}


def test_another_worker_at_the_address_is_reported_as_gone(worker):
    standin, caller = worker
    standin.id = "i-2"
    assert _start(caller) is OrderStatus.GONE
    assert caller.poll(9_000, 0, 0.0, 5).status is OrderStatus.GONE


def test_a_look_over_a_new_connection_acknowledges_no_ended_run(worker):
    """A restarted worker numbers ended runs from 1.

    It dropped one that had not been read, because of the number acknowledged to its predecessor
    (soak, seeds 5, 6).
    """
    standin, caller = worker
    _start(caller)
    standin.end(_TASK)
    assert len(caller.poll(9_000, 0, 0.0, 5).ended) == 1
    caller._caller._idle.last._socket.shutdown(socket.SHUT_RDWR)
    assert len(caller.poll(9_000, 1, 0.0, 5).ended) == 1
    assert caller.poll(9_000, 1, 0.0, 5).ended == ()


@pytest.mark.parametrize(
    "body",
    [
        b'{"clock-ms":9,"running":[["5c0e7a21d94b36f8.0.0.0"]],"ended":[]}',
        b'{"clock-ms":9,"running":[["5c0e7a21d94b36f8.0.0.0","x","",1]],"ended":[]}',
        b'{"clock-ms":9,"running":[],"ended":[[1,"5c0e7a21d94b36f8.0.0.0"]]}',
        b'{"clock-ms":9,"running":7}',
        b'{"clock-ms":9,"running":[["5c0e7a21d94b36f8.0.0.0",1,"",1%s]]}' % (b"0" * 400),
        b'{"clock-ms":1%s,"running":[]}' % (b"0" * 400),
        b"[",
    ],
)
def test_a_malformed_list_of_runs_is_unclear(worker, monkeypatch, body):
    """A row that was too short ended the worker's thread, and the worker was not polled again."""
    _, caller = worker
    monkeypatch.setattr(HttpClient, "call", lambda *_: HttpReply(200, body))
    assert caller.poll(9_000, 0, 0.0, 5).status is OrderStatus.UNCLEAR


def test_a_connection_closed_by_the_worker_is_not_connected(worker):
    standin, caller = worker
    assert not caller._caller.is_connected
    caller.poll(9_000, 0, 0.0, 5)
    assert caller._caller.is_connected
    caller._caller._idle.last._socket.shutdown(socket.SHUT_RDWR)
    assert not caller._caller.is_connected


class _BreaksAfterCheck(HttpClient):
    """A client whose connection breaks just after it was found to be open."""

    @property
    def is_connected(self):
        found = super().is_connected
        if found:
            self._idle.last._socket.shutdown(socket.SHUT_RDWR)
        return found


def test_ended_runs_are_not_acknowledged_over_a_newer_connection(worker):
    """The worker restarted between the check of the connection and the call (soak, seeds 2, 5)."""
    standin, caller = worker
    caller._caller = _BreaksAfterCheck(caller._caller.address)
    _start(caller)
    standin.end(_TASK)
    assert caller.poll(9_000, 1, 0.0, 5).status is OrderStatus.NOT_SENT
    assert len(caller.poll(9_000, 1, 0.0, 5).ended) == 1


def test_a_start_is_not_sent_over_a_new_connection(worker):
    """An owner that had been paused started a run on a restarted worker.

    The new incarnation had not received a fencing token yet (soak, seed 22).
    """
    standin, caller = worker
    order = StartOrder(_TASK, 1, "s", "", "")
    assert caller.start(order, 9_000, 5).status is OrderStatus.NOT_SENT
    caller.poll(None, 0, 0.0, 5)
    caller._caller._idle.last._socket.shutdown(socket.SHUT_RDWR)
    assert caller.start(order, 9_000, 5).status is OrderStatus.NOT_SENT
    assert standin.running == {}


@pytest.mark.parametrize(("ends", "is_whole"), [(499, True), (500, False), (624, False)])
def test_a_list_of_ends_that_fills_a_page_is_not_whole(ends, is_whole):
    """Guards against runs past the first page of ends that are taken for lost (review/2)."""
    standin = TaskWorkerStandin(room=ends)
    with serving(standin) as address:
        caller = HttpWorkerCallers(5.0).caller(WorkerInfo("i-1", 0, "p", address))
        names = [f"5c0e7a21d94b36f8.0.0.{number}" for number in range(ends)]
        for name in names:
            assert _start(caller, task=name) is OrderStatus.DONE
        for name in names:
            standin.end(name)
        listed = caller.poll(9_000, 0, 0.0, 5)
        assert len(listed.ended) == min(ends, 500) and listed.is_whole is is_whole
        remaining = caller.poll(9_000, listed.ended[-1].number, 0.0, 5)
        assert len(remaining.ended) == ends - len(listed.ended) and remaining.is_whole
