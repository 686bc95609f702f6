"""A short soak test of real processes, its regression seeds and its parts."""

import io
import json
import socket

import pytest

from almondstack.jobs import RecordKind, Submission
from almondstack.jobs.records import record_key
from almondstack.standin.soak import SoakSettings, run_soak
from almondstack.standin.soak.checker import RealClock, SoakChecker
from almondstack.standin.soak.faults import FaultKind, plan_faults
from almondstack.standin.soak.proxy import LinkFault, LoopbackProxy
from almondstack.standin.soak.seeds import FAILED_SEEDS
from almondstack.standin.soak.workers import SoakWorker
from almondstack.testing.addresses import loopback_host
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_oracle import RuleBrokenError

_SHORT = SoakSettings(fault_period_s=4.0)


def test_a_short_soak_breaks_no_rule(tmp_path):
    report = run_soak(101, _SHORT, tmp_path)
    assert report.broken == [] and report.accepted > 0 and report.completed > 0


@pytest.mark.parametrize("seed", sorted(FAILED_SEEDS))
def test_a_regression_seed_breaks_no_rule(seed, tmp_path):
    report = run_soak(seed, SoakSettings(), tmp_path)
    assert report.broken == [] and report.completed > 0, FAILED_SEEDS[seed]


def test_fifty_seeds_include_every_kind_of_fault():
    kinds = {fault.kind for seed in range(50) for fault in plan_faults(seed, 10.0)}
    assert kinds == set(FaultKind)


def test_a_job_refused_on_all_attempts_must_not_run():
    checker = SoakChecker({}, 2)
    submission = _submission()
    checker.record_attempt("0" * 16, submission)
    checker.record_refusal("0" * 16)
    checker.check(lambda: checker.oracle.note_start("0" * 16 + ".0.0.0", "s", "w", 1))
    assert checker.broken[0].startswith("REFUSED")


def test_a_job_whose_first_attempt_is_unclear_may_run_after_a_refusal():
    checker = SoakChecker({}, 2)
    checker.record_attempt("0" * 16, _submission())
    checker.record_unclear("0" * 16)
    checker.record_refusal("0" * 16)
    checker.check(lambda: checker.oracle.note_start("0" * 16 + ".0.0.0", "s", "w", 1))
    assert checker.broken == []


def test_a_job_reported_as_completed_without_its_tasks_breaks_a_rule():
    checker = SoakChecker({}, 2)
    checker.record_attempt("0" * 16, _submission())
    checker.record_shown_state("0" * 16, "completed")
    assert checker.broken[0].startswith("MIXED")


def test_a_record_of_a_job_never_submitted_breaks_a_rule():
    """The clock thread ended with an error on such a record, and the soak continued without it."""
    checker = SoakChecker({}, 2)
    key = record_key(RecordKind.PROGRESS, "0" * 16)
    checker.check(lambda: checker.oracle.judge_record(key, b"x"))
    assert checker.broken[0].startswith("UNASKED")


def test_a_broken_rule_is_recorded_and_not_raised():
    checker = SoakChecker({}, 2)

    def broken():
        raise RuleBrokenError("TWICE: x")

    assert checker.check(broken) is None and checker.broken == ["TWICE: x"]


@pytest.fixture
def link():
    """Yield a proxy to a server, and both ends of a connection through it."""
    server = socket.create_server((loopback_host(), 0))
    proxy = LoopbackProxy("{}:{}".format(*server.getsockname()), loopback_host())
    host, port = proxy.address.split(":")
    caller = socket.create_connection((host, int(port)), timeout=5.0)
    callee, _ = server.accept()
    yield proxy, caller, callee
    proxy.close()
    for connection in (caller, callee, server):
        connection.close()


def _is_received(callee, data):
    callee.settimeout(0.3)
    try:
        return callee.recv(100) == data
    except TimeoutError:
        return False


def test_a_link_forwards_both_ways(link):
    _, caller, callee = link
    caller.sendall(b"ask")
    assert _is_received(callee, b"ask")
    callee.sendall(b"answer")
    assert caller.recv(100) == b"answer"


def test_a_link_that_lost_requests_drops_later_ones_and_forwards_replies(link):
    proxy, caller, callee = link
    proxy.fault = LinkFault.REQUESTS_LOST
    caller.sendall(b"one")
    assert not _is_received(callee, b"one")
    proxy.fault = LinkFault.NONE
    caller.sendall(b"two")
    assert not _is_received(callee, b"two")
    callee.sendall(b"reply")
    assert caller.recv(100) == b"reply"


def test_a_link_that_is_reset_ends_its_connections(link):
    proxy, caller, callee = link
    caller.sendall(b"ask")
    assert _is_received(callee, b"ask")
    proxy.reset()
    try:
        received = caller.recv(100)
    except ConnectionError:
        received = b""
    assert received == b""


@pytest.fixture
def worker():
    """Return a worker with a connection from port 4001, and a function that polls it by port."""
    checker = SoakChecker({}, 2)
    worker = SoakWorker("w-0", checker, RealClock(), seed=1)

    def poll(port):
        body = json.dumps({"last-seen": 9, "fencing-token": 3}).encode()
        environ = {"REMOTE_PORT": port, "wsgi.input": io.BytesIO(body)}
        return worker.handle("POST", "/almondstack/hold", {}, environ).status

    assert poll("4001") == 200
    return worker, poll


def test_a_call_in_progress_at_a_crash_does_not_reach_the_next_incarnation(worker):
    """Such a poll made the next incarnation drop its ends (seeds 2 and 5 under load)."""
    worker, poll = worker
    worker.crash()
    with pytest.raises(ConnectionResetError):
        poll("4001")


def test_a_connection_opened_after_a_crash_reaches_the_next_incarnation(worker):
    worker, poll = worker
    worker.crash()
    assert poll("4002") == 200


def _submission():
    return Submission("q", "a", "s", (make_step(1),))
