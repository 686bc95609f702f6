"""Tests of rejections at admission and of failed attempts, with a complete dispatcher."""

import threading

import msgspec
import pytest

from almondstack.core import Outcome, Reason
from almondstack.dispatch import DispatchSettings, FirstComeDispatcher
from almondstack.dispatch.connections import UpstreamConnection
from almondstack.dispatch.tests.test_exchanges import upstreams  # noqa: F401
from almondstack.model import (
    Configured,
    InstanceObserved,
    InstancePhase,
    Limit,
    ReleaseApplied,
    ReleaseNote,
    encode_record,
)
from almondstack.queueing import QueueingSettings
from almondstack.testing.dispatching import DispatcherHarness, wait_until
from almondstack.testing.scheduling import QUEUE
from almondstack.testing.scripted_upstream import Step

_SLOW = Step(pause_s=0.5)


def _fill(harness: DispatcherHarness, running: int, waiting: int) -> list[threading.Thread]:
    scheduler = harness.dispatcher.scheduler
    threads = [harness.in_thread(harness.body) for _ in range(running)]
    assert wait_until(lambda: scheduler.running_count("score", "north") == running)
    threads += [harness.in_thread(harness.body) for _ in range(waiting)]
    assert wait_until(lambda: scheduler.waiting_count("score") == waiting)
    return threads


def _apply(harness: DispatcherHarness, note: ReleaseNote) -> None:
    record = encode_record("operator", 2, ReleaseApplied(harness.fold.state.revision, note))
    verdict = harness.fold.apply(harness.fold.next_offset, record)
    assert verdict is not None and verdict.is_accepted, verdict


def _assert_not_run(harness: DispatcherHarness, reason: Reason, **fields: object) -> None:
    error = harness.error(**fields)
    assert error is not None
    assert (error.reason, error.outcome) == (reason, Outcome.NOT_RUN)


@pytest.mark.parametrize(
    ("queueing", "reason"),
    [
        (QueueingSettings(max_waiting=1), Reason.QUEUE_FULL),
        (QueueingSettings(max_waiting_per_team=1), Reason.TEAM_QUEUE_FULL),
    ],
)
def test_full_queue_rejects_immediately(queueing, reason, upstreams):  # noqa: F811
    server = upstreams(default=_SLOW)
    harness = DispatcherHarness(
        server.address, settings=DispatchSettings(queueing=queueing), slots=1
    )
    threads = _fill(harness, running=1, waiting=1)
    _assert_not_run(harness, reason)
    for thread in threads:
        thread.join()
    assert len(server.received) == 2


def test_expected_wait_above_the_deadline_rejects_immediately(upstreams):  # noqa: F811
    server = upstreams(default=_SLOW)
    harness = DispatcherHarness(server.address, slots=1)
    for _ in range(50):
        harness.dispatcher.scheduler.run_times.of(QUEUE.name).record(0.5, bound_s=60.0)
    threads = _fill(harness, running=1, waiting=3)
    error = harness.error(deadline_in_s=0.3)
    assert error is not None and error.reason is Reason.WAIT_EXCEEDS_DEADLINE
    assert error.retry_after_s is not None and error.retry_after_s >= 1
    for thread in threads:
        thread.join()


def test_rate_limit_rejects_above_its_burst(upstreams):  # noqa: F811
    harness = DispatcherHarness(upstreams().address)
    limit = Limit(name="slow", team="north", per_second=1, burst=2)
    _apply(harness, ReleaseNote(added=Configured(limits=(limit,))))
    errors = [harness.error() for _ in range(4)]
    assert Reason.RATE_LIMITED in [error.reason for error in errors if error]


def test_ceiling_of_zero_admits_no_call(upstreams):  # noqa: F811
    server = upstreams()
    harness = DispatcherHarness(server.address)
    team = msgspec.structs.replace(harness.fold.state.teams["north"], ceiling=0)
    _apply(harness, ReleaseNote(changed=Configured(teams=(team,))))
    call = harness.call()
    call.team = team
    with pytest.raises(Exception, match="ceiling"):
        harness.dispatcher.submit(call)
    assert server.received == []


def test_pool_with_only_failed_instances_rejects(upstreams):  # noqa: F811
    harness = DispatcherHarness(upstreams().address)
    version = harness.fold.state.instances["u1"].version
    seen = InstanceObserved("u1", version, InstancePhase.FAILED)
    assert harness.fold.apply(
        harness.fold.next_offset, encode_record("keeper", 1, seen)
    ).is_accepted
    _assert_not_run(harness, Reason.NO_UPSTREAM)


def test_idempotent_call_is_retried_after_a_timeout(upstreams):  # noqa: F811
    slow, good = upstreams(default=Step(pause_s=3.0)), upstreams()
    harness = DispatcherHarness(slow.address, good.address, run_time_bound_s=0.3)
    bodies = [harness.body(is_idempotent=True) for _ in range(3)]
    assert bodies == [b"ok"] * 3
    assert harness.metrics.total("retried.idempotent-timeout") >= 1


def test_send_failing_before_its_first_byte_is_retried(upstreams, monkeypatch):  # noqa: F811
    server = upstreams()
    harness = DispatcherHarness(server.address)
    send, failures = UpstreamConnection._send_first, [OSError("gone")]

    def fail_once(self, data):
        if not failures:
            return send(self, data)
        failures.pop()
        self.sock.close()
        return send(self, data)

    monkeypatch.setattr(UpstreamConnection, "_send_first", fail_once)
    assert harness.body() == b"ok"
    assert harness.metrics.total("retried.send-not-started") == 1
    assert len(server.received) == 1


def test_draining_of_the_only_upstream_yields_outcome_unknown(upstreams):  # noqa: F811
    head = b"HTTP/1.1 503 S\r\nAlmondstack-Draining: yes\r\nContent-Length: 0\r\n\r\n"
    server = upstreams(default=Step(pieces=(head,)))
    harness = DispatcherHarness(server.address)
    error = harness.error(is_idempotent=True, deadline_in_s=0.3)
    assert error is not None
    assert (error.reason, error.outcome) == (Reason.UPSTREAM_OVERLOADED, Outcome.UNKNOWN)
    assert len(server.received) == 1


def test_baseline_uses_round_robin_and_skips_unreachable_upstreams(upstreams):  # noqa: F811
    stopped, first, second = upstreams(), upstreams(), upstreams()
    stopped.close()
    harness = DispatcherHarness(stopped.address, first.address, second.address)
    baseline = FirstComeDispatcher(harness.fold, harness.clock)
    for _ in range(6):
        response = baseline.submit(harness.call())
        assert b"".join(response.chunks()) == b"ok"
        response.close()
    assert len(first.received) + len(second.received) == 6
    assert first.received and second.received
