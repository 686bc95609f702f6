"""A short soak test of real processes, its regression seeds and its parts."""

import io
import json
import socket
import time

import pytest

from almondstack.jobs import RecordKind, RunEnd, Submission
from almondstack.jobs.records import record_key
from almondstack.standin.soak import SoakSettings, run_soak, workers
from almondstack.standin.soak import checker as checker_module
from almondstack.standin.soak.checker import RealClock, SoakChecker
from almondstack.standin.soak.faults import REBIRTH_KINDS, FaultKind, plan_faults
from almondstack.standin.soak.proxy import LinkFault, LoopbackProxy
from almondstack.standin.soak.rebirths import plan_rebirths
from almondstack.standin.soak.seeds import FAILED_SEEDS
from almondstack.standin.soak.workers import SoakWorker
from almondstack.testing.addresses import loopback_host
from almondstack.testing.job_builders import make_step
from almondstack.testing.owner_oracle import RuleBrokenError

_SHORT = SoakSettings(fault_period_s=4.0)
_KINDS_OF_SEED_2 = [0, 10, 0, 8, 4, 5, 2, 5, 8]
"""Numbers of the kinds of faults that seed 2 plays, as at 64c85be."""


def test_a_short_soak_breaks_no_rule(tmp_path):
    report = run_soak(101, _SHORT, tmp_path)
    assert report.broken == [] and report.accepted > 0 and report.completed > 0


@pytest.mark.parametrize("seed", sorted(FAILED_SEEDS))
def test_a_regression_seed_breaks_no_rule(seed, tmp_path):
    report = run_soak(seed, SoakSettings(), tmp_path)
    assert report.broken == [] and report.completed > 0, FAILED_SEEDS[seed]


def test_fifty_seeds_include_every_kind_of_fault():
    kinds = {fault.kind for seed in range(50) for fault in plan_faults(seed, 10.0)}
    assert kinds == set(FaultKind) - set(REBIRTH_KINDS)
    kinds |= {fault.kind for seed in range(50) for fault in plan_rebirths(seed, 10.0, 4)}
    assert kinds == set(FaultKind)


def test_new_kinds_of_faults_leave_the_schedules_of_old_seeds_as_they_were():
    """The regression seeds are worth something only while they play what once failed."""
    kinds = list(FaultKind)
    assert [kinds.index(fault.kind) for fault in plan_faults(2, 10.0)] == _KINDS_OF_SEED_2


def test_each_rebirth_is_a_restart_amid_late_calls_and_a_cut_after_it():
    faults = plan_rebirths(7, 10.0, 4)
    for worker in {fault.selector for fault in faults}:
        late, crash, cut = [fault for fault in faults if fault.selector == worker]
        assert late.kind is FaultKind.LATE_CALLS and crash.kind is FaultKind.WORKER_CRASH
        assert late.begin_s < crash.begin_s < late.end_s
        assert 0.9 <= cut.begin_s - crash.begin_s <= 2.5 and 4.0 <= cut.end_s - cut.begin_s <= 9.0


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


def _shown_as_completed(is_undisturbed):
    checker = SoakChecker({}, 2)
    checker.are_processes_undisturbed = is_undisturbed
    checker.record_attempt("0" * 16, _submission())
    checker.oracle.done_tasks.add("0" * 16 + ".0.0.0")
    checker.record_shown_state("0" * 16, "completed")
    return checker


def test_a_start_a_second_after_its_job_was_shown_as_completed_breaks_a_rule(monkeypatch):
    checker = _shown_as_completed(is_undisturbed=True)
    checker.check_start_after_completion("0" * 16 + ".0.0.0")
    assert checker.broken == []
    monkeypatch.setattr(checker_module, "_SHOWN_SLACK_S", 0.0)
    checker.check_start_after_completion("0" * 16 + ".0.0.0")
    assert checker.broken[0].startswith("TWICE")


def test_a_disturbed_process_may_start_a_task_of_a_completed_job(monkeypatch):
    checker = _shown_as_completed(is_undisturbed=False)
    monkeypatch.setattr(checker_module, "_SHOWN_SLACK_S", 0.0)
    checker.check_start_after_completion("0" * 16 + ".0.0.0")
    assert checker.broken == []


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


@pytest.fixture
def are_all_calls_late(monkeypatch):
    """Make each call to a worker a late one that is due at once."""
    monkeypatch.setattr(workers, "_LATE_SHARE", 1.0)
    monkeypatch.setattr(workers, "_SILENCE_S", 0.0)
    monkeypatch.setattr(workers, "_MIN_DELAY_S", 0.0)
    monkeypatch.setattr(workers, "_MAX_DELAY_S", 0.0)


@pytest.mark.usefixtures("are_all_calls_late")
def test_a_late_poll_has_the_next_incarnation_forget_its_ends():
    checker = SoakChecker({}, 2)
    checker.record_attempt("0" * 16, _submission())
    worker = SoakWorker("w-0", checker, RealClock(), seed=1)
    worker.are_calls_late = True
    with pytest.raises(ConnectionResetError):
        _post(worker, "4001", "hold", **{"last-seen": 9, "fencing-token": 3})
    worker.are_calls_late = False
    worker.crash()
    start = {"task": "0" * 16 + ".0.0.0", "run": 1, "spec": "s"}
    reply = _post(worker, "4002", "run-start", **start, **{"deadline-ms": 5_000})
    assert reply.status == 200
    worker.worker.finish(start["task"], RunEnd.DONE)
    worker.carry_out_late_calls()
    assert worker.worker.listed_ends == set()
    checker.check(lambda: checker.oracle.note_start(start["task"], "s", "w-1", 1))
    assert checker.broken[0].startswith("TWICE")


@pytest.mark.usefixtures("are_all_calls_late")
def test_a_late_start_begins_a_run_on_the_next_incarnation():
    checker = SoakChecker({}, 2)
    checker.record_attempt("0" * 16, _submission())
    worker = SoakWorker("w-0", checker, RealClock(), seed=1)
    worker.are_calls_late = True
    start = {"task": "0" * 16 + ".0.0.0", "run": 1, "spec": "s", "deadline-ms": 5_000}
    with pytest.raises(ConnectionResetError):
        _post(worker, "4001", "run-start", **start)
    assert worker.worker.running == {}
    worker.crash()
    worker.carry_out_late_calls()
    assert worker.worker.running == {start["task"]: 1}


def test_a_worker_may_have_a_time_of_day_and_an_age_of_its_own():
    worker = SoakWorker("w-0", SoakChecker({}, 2), RealClock(2.0), seed=1, age_s=60.0)
    assert worker.worker.clock_ms >= 60_000
    assert abs(worker.worker.life / 1000.0 - time.time() + 58.0) < 1.0


def _post(worker, port, call, **body):
    environ = {"REMOTE_PORT": port, "wsgi.input": io.BytesIO(json.dumps(body).encode())}
    return worker.handle("POST", f"/almondstack/{call}", {}, environ)


def _submission():
    return Submission("q", "a", "s", (make_step(1),))
