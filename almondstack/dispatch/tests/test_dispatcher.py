"""Tests of retries, health checks and leaving upstreams with a complete dispatcher."""

import threading

import pytest

from almondstack.core import Outcome, Reason, RequestError
from almondstack.dispatch import DispatchSettings, RetrySettings
from almondstack.dispatch.tests.test_exchanges import upstreams  # noqa: F401
from almondstack.model import InstancePhase, InstanceStepped, encode_record
from almondstack.permits import slots_resource
from almondstack.testing.dispatching import DispatcherHarness, wait_until
from almondstack.testing.scripted_upstream import OK, Step, Then

_BREAKS = Step(pieces=(), then=Then.CLOSE)
_DRAINS = Step(
    pieces=(b"HTTP/1.1 503 S\r\nAlmondstack-Draining: yes\r\nContent-Length: 0\r\n\r\n",)
)
_OVERLOADED = Step(pieces=(b"HTTP/1.1 503 S\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",))
_FAILS = Step(pieces=(b"HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n",))
_SLOW = Step(pause_s=0.3)


def test_request_failing_on_two_racks_is_not_charged_to_upstreams(upstreams):  # noqa: F811
    servers = [upstreams(default=_BREAKS) for _ in range(3)]
    harness = DispatcherHarness(*(server.address for server in servers))
    error = harness.error(is_idempotent=True)
    assert (error.reason, error.outcome) == (Reason.REQUEST_FAILING, Outcome.UNKNOWN)
    assert sum(len(server.received) for server in servers) == 2
    assert harness.dispatcher.health.reports() == ()


def test_failed_upstream_is_reported_when_the_request_succeeds_on_another(upstreams):  # noqa: F811
    servers = [upstreams(default=_BREAKS), upstreams()]
    harness = DispatcherHarness(*(server.address for server in servers))
    for _ in range(4):
        assert harness.body(is_idempotent=True) == b"ok"
    assert [report.instance for report in harness.dispatcher.health.reports()] == ["u1"]


def test_exhausted_retry_budget_stops_retries(upstreams):  # noqa: F811
    settings = DispatchSettings(retries=RetrySettings(budget_burst=0))
    stopped = [upstreams() for _ in range(2)]
    for server in stopped:
        server.close()
    harness = DispatcherHarness(*(server.address for server in stopped), settings=settings)
    error = harness.error()
    assert (error.reason, error.outcome) == (Reason.RETRIES_EXHAUSTED, Outcome.NOT_RUN)


def test_unreachable_upstream_yields_outcome_not_run(upstreams):  # noqa: F811
    stopped = upstreams()
    stopped.close()
    settings = DispatchSettings(retries=RetrySettings(max_tries=1))
    harness = DispatcherHarness(stopped.address, settings=settings)
    error = harness.error()
    assert (error.reason, error.outcome) == (Reason.UPSTREAMS_FAILING, Outcome.NOT_RUN)


def test_call_to_an_unreachable_pool_is_rejected_without_an_attempt(upstreams):  # noqa: F811
    stopped = upstreams()
    stopped.close()
    settings = DispatchSettings(retries=RetrySettings(max_tries=1))
    harness = DispatcherHarness(stopped.address, settings=settings)
    errors = [harness.error() for _ in range(3)]
    assert {error.reason for error in errors} == {Reason.UPSTREAMS_FAILING}
    assert harness.metrics.total("started") == 2


def test_draining_upstream_gets_no_new_calls(upstreams):  # noqa: F811
    leaving, staying = upstreams(default=_DRAINS), upstreams()
    harness = DispatcherHarness(leaving.address, staying.address)
    assert [harness.body(is_idempotent=True) for _ in range(6)] == [b"ok"] * 6
    assert len(leaving.received) == 1
    assert harness.metrics.total("retried.upstream-draining") == 1
    assert harness.permits.free_count(slots_resource("u1")) == 8


def test_overload_response_is_forwarded_and_not_retried(upstreams):  # noqa: F811
    servers = [upstreams(default=_OVERLOADED) for _ in range(2)]
    harness = DispatcherHarness(*(server.address for server in servers))
    response = harness.dispatcher.submit(harness.call(is_idempotent=True))
    response.close()
    assert response.status == 503
    assert sum(len(server.received) for server in servers) == 1


def test_upstream_that_fails_fast_does_not_attract_work(upstreams):  # noqa: F811
    failing, good = upstreams(default=_FAILS), upstreams()
    harness = DispatcherHarness(failing.address, good.address)
    for _ in range(60):
        response = harness.dispatcher.submit(harness.call())
        response.close()
    assert len(failing.received) <= 6
    assert len(good.received) >= 54


def test_draining_phase_in_the_log_stops_new_calls(upstreams):  # noqa: F811
    leaving, staying = upstreams(), upstreams()
    harness = DispatcherHarness(leaving.address, staying.address)
    version = harness.fold.state.instances["u1"].version
    step = InstanceStepped("u1", version, InstancePhase.DRAINING)
    verdict = harness.fold.apply(harness.fold.next_offset, encode_record("keeper", 1, step))
    assert verdict.is_accepted
    assert [harness.body() for _ in range(5)] == [b"ok"] * 5
    assert (len(leaving.received), len(staying.received)) == (0, 5)


def test_instance_no_longer_listed_as_leaving_gets_no_new_calls(upstreams):  # noqa: F811
    class Listing:
        names = frozenset({"u1"})

        def leaving(self):
            return self.names

    listing = Listing()
    leaving, staying = upstreams(), upstreams()
    harness = DispatcherHarness(leaving.address, staying.address, listing=listing)
    harness.dispatcher.departures.note_listing(list(harness.fold.state.instances.values()))
    listing.names = frozenset()
    harness.dispatcher.departures.note_listing(list(harness.fold.state.instances.values()))
    assert [harness.body() for _ in range(5)] == [b"ok"] * 5
    assert (len(leaving.received), len(staying.received)) == (0, 5)


@pytest.mark.parametrize("is_cancelled", [True, False], ids=["cancel", "hang-up"])
def test_cancelled_or_abandoned_call_leaves_the_queue(is_cancelled, upstreams):  # noqa: F811
    upstream = upstreams(default=_SLOW)
    harness = DispatcherHarness(upstream.address, slots=1)
    first = harness.in_thread(harness.body)
    scheduler = harness.dispatcher.scheduler
    assert wait_until(lambda: scheduler.running_count("score", "north") == 1)
    call = harness.call()
    errors = []

    def submit():
        try:
            harness.dispatcher.submit(call)
        except RequestError as error:
            errors.append(error.reason)

    second = harness.in_thread(submit)
    assert wait_until(lambda: scheduler.waiting_count("score") == 1)
    if is_cancelled:
        assert harness.dispatcher.cancel(call.call_id)
    else:
        harness.dispatcher.abandon(call)
    second.join(5.0)
    assert errors == [Reason.CANCELLED if is_cancelled else Reason.CALLER_GONE]
    assert scheduler.waiting_count("score") == 0
    assert not harness.dispatcher.cancel(call.call_id)
    first.join(5.0)
    assert len(upstream.received) == 1


def test_deadline_ends_a_waiting_call(upstreams):  # noqa: F811
    harness = DispatcherHarness(upstreams(default=_SLOW).address, slots=1)
    first = harness.in_thread(harness.body)
    assert wait_until(lambda: harness.dispatcher.scheduler.running_count("score", "north") == 1)
    error = harness.error(deadline_in_s=0.05)
    assert (error.reason, error.outcome) == (Reason.DEADLINE_PASSED, Outcome.NOT_RUN)
    first.join(5.0)


def test_call_rejected_by_before_start_is_not_sent(upstreams):  # noqa: F811
    upstream = upstreams()
    harness = DispatcherHarness(upstream.address)
    call = harness.call()

    def refuse():
        raise RequestError(Reason.KEY_REVOKED)

    call.before_start = refuse
    with pytest.raises(RequestError) as caught:
        harness.dispatcher.submit(call)
    assert caught.value.outcome is Outcome.NOT_RUN
    assert upstream.received == []
    assert harness.permits.free_count(slots_resource("u1")) == 8


def test_slots_and_connections_stay_bounded_under_many_threads(upstreams):  # noqa: F811
    upstream = upstreams(default=Step(pieces=(OK,), pause_s=0.002))
    harness = DispatcherHarness(upstream.address, slots=3)
    bodies = []
    lock = threading.Lock()

    def work():
        for _ in range(5):
            body = harness.body(deadline_in_s=20.0)
            with lock:
                bodies.append(body)

    threads = [harness.in_thread(work) for _ in range(24)]
    for thread in threads:
        thread.join(20.0)
    assert bodies == [b"ok"] * 120
    assert harness.permits.free_count(slots_resource("u1")) == 3
    assert harness.dispatcher.parts.connections.open_count(upstream.address) <= 3
