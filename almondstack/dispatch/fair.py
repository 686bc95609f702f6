"""Dispatcher with fair queueing, permits, health checks and bounded retries."""

from almondstack.core import (
    Clock,
    LocalMetrics,
    NodeSettings,
    Outcome,
    Reason,
    RequestError,
    RetryReason,
)
from almondstack.dispatch.active_call import ActiveCall
from almondstack.dispatch.call import Call, UpstreamResponse
from almondstack.dispatch.departures import DepartureTracker, LeavingList, NoLeavingList
from almondstack.dispatch.exchange import Reply, exchange
from almondstack.dispatch.failures import BrokenExchangeError, NotSentError
from almondstack.dispatch.health import HealthTracker
from almondstack.dispatch.housekeeping import run_housekeeping
from almondstack.dispatch.parts import DispatchParts
from almondstack.dispatch.periodic import PeriodicThread
from almondstack.dispatch.probing import Prober
from almondstack.dispatch.settings import DispatchSettings
from almondstack.dispatch.streaming_response import StreamingResponse
from almondstack.fold import Fold
from almondstack.permits import Permits
from almondstack.queueing import (
    FairScheduler,
    FleetUsage,
    Grant,
    NoFleetUsage,
    NoSlotRequester,
    SlotRequester,
    WaitingCall,
)

__all__ = ["FairDispatcher"]

_SERVER_ERROR = 500
_UNAVAILABLE = 503


class FairDispatcher:
    """Runs admitted calls on upstreams, each in its caller's thread.

    Parameters
    ----------
    settings : DispatchSettings
        All settings.
    node : NodeSettings
        Name and availability zone of this entry.
    fold : Fold
        Current state of pools, teams and instances.
    permits : Permits
        Permits of ceilings, slots and rates.
    clock : Clock
        Time source for deadlines and run times.
    metrics : LocalMetrics
        Counters of starts and retries.
    usage : FleetUsage, optional
        Running calls of other entries.
    listing : LeavingList, optional
        Shows which upstreams are leaving, from the platform's instance list.
    slot_requester : SlotRequester, optional
        Requests slots from the platform for urgent calls.
    """

    __slots__ = ("_background_threads", "_parts", "_slot_requester")

    def __init__(
        self,
        settings: DispatchSettings,
        node: NodeSettings,
        fold: Fold,
        permits: Permits,
        clock: Clock,
        metrics: LocalMetrics,
        usage: FleetUsage | None = None,
        listing: LeavingList | None = None,
        slot_requester: SlotRequester | None = None,
    ) -> None:
        self._parts = DispatchParts(
            settings,
            node,
            fold,
            permits,
            clock,
            metrics,
            usage or NoFleetUsage(),
            listing or NoLeavingList(),
        )
        self._slot_requester = slot_requester or NoSlotRequester()
        prober = Prober(self._parts)
        self._background_threads = (
            PeriodicThread(
                "dispatch-house", settings.housekeeping_s, lambda: run_housekeeping(self._parts)
            ),
            PeriodicThread("dispatch-probe", settings.probes.interval_s, prober.probe_due),
        )

    @property
    def parts(self) -> DispatchParts:
        """Components of the dispatcher."""
        return self._parts

    @property
    def scheduler(self) -> FairScheduler:
        """Waiting and running calls."""
        return self._parts.scheduler

    @property
    def health(self) -> HealthTracker:
        """Health of upstreams; its reports may be exchanged between entries."""
        return self._parts.health

    @property
    def departures(self) -> DepartureTracker:
        """Upstreams that are leaving."""
        return self._parts.departures

    def start(self) -> None:
        """Start the threads for housekeeping and probes."""
        for thread in self._background_threads:
            thread.start()

    def stop(self) -> None:
        """Stop the background threads and close idle connections."""
        for thread in self._background_threads:
            thread.stop()
        self._parts.connections.close_all()

    def cancel(self, call_id: str) -> bool:
        """Cancel a call that has not started; return True if it was cancelled."""
        return self._parts.scheduler.cancel(call_id)

    def abandon(self, call: Call) -> None:
        """End the wait of a call whose caller disconnected; a running call goes on."""
        call.caller_gone.set()
        self._parts.scheduler.abandon(call.call_id)

    def submit(self, call: Call) -> UpstreamResponse:
        """Run ``call`` on an upstream.

        Explanation
        -----------
        Blocks until the head of the response has arrived.

        Raises
        ------
        RequestError
            No upstream responded; the outcome tells whether the work may have run.
        """
        self._check_pool(call)
        item = self._parts.scheduler.admit(call)
        self._parts.retries.note_first_attempt()
        active = ActiveCall(call, item)
        try:
            while True:
                response = self._attempt(active)
                if response is not None:
                    return response
        except BaseException as error:
            self._parts.scheduler.drop(item)
            if isinstance(error, RequestError):
                self._record_failed_attempts(active, error.reason)
            raise

    def on_complete(self, grant: Grant, reply: Reply) -> None:
        """Release the slot of ``grant``, as the work has certainly ended."""
        self._return_connection(grant, reply)
        is_typical = reply.status < _SERVER_ERROR and not reply.is_draining
        run_time_s = self._parts.clock.monotonic() - grant.started_s
        self._parts.scheduler.finish(grant, run_time_s if is_typical else None)

    def on_incomplete(self, grant: Grant, reply: Reply, is_upstream_fault: bool) -> None:
        """Hold the slot of ``grant``, as the work may still run."""
        self._parts.connections.discard(reply.connection)
        if is_upstream_fault:
            self._note_failure(grant)
        self._hold_grant(grant)

    def _check_pool(self, call: Call) -> None:
        if call.caller_gone.is_set():
            raise RequestError(Reason.CALLER_GONE)
        accepting = self._parts.chooser.accepting(call.pool)
        staying = [item.name for item in accepting if not self._parts.departures.is_leaving(item)]
        if not staying:
            raise RequestError(Reason.NO_UPSTREAM)
        if all(self._parts.health.is_unreachable(name) for name in staying):
            raise RequestError(Reason.UPSTREAMS_FAILING)

    def _attempt(self, active: ActiveCall) -> UpstreamResponse | None:
        """Return the response, or None once the call is queued again for a retry."""
        grant = self._await_grant(active)
        try:
            reply = self._exchange(active.call, grant)
        except NotSentError as error:
            self._note_unsent(active, grant, error)
        except BrokenExchangeError as error:
            self._note_broken(active, grant, error)
        except RequestError as error:
            self._end_failed_send(grant, error)
            active.raise_if_may_have_run()
            raise
        else:
            if not self._is_retried_after_drain(active, grant, reply):
                return self._accept(active, grant, reply)
        self._pause_and_requeue(active)
        return None

    def _await_grant(self, active: ActiveCall) -> Grant:
        item = active.item
        while True:
            if item.wait(self._next_wakeup_s(item) - self._parts.clock.monotonic()):
                active.raise_if_ended()
                assert item.grant is not None
                self._parts.metrics.count("started")
                return item.grant
            if self._parts.clock.monotonic() >= item.latest_start_s:
                self._parts.scheduler.end(item, Reason.DEADLINE_PASSED)
            elif not item.has_requested_slot:
                item.has_requested_slot = True
                self._slot_requester.request_slot(item.call.pool, item.call.team.name)

    def _end_failed_send(self, grant: Grant, error: RequestError) -> None:
        """Release the slot if nothing was run; otherwise hold it, as the work may run."""
        if error.outcome is Outcome.NOT_RUN:
            self._parts.scheduler.finish(grant)
        else:
            self._hold_grant(grant)

    def _next_wakeup_s(self, item: WaitingCall) -> float:
        if not item.call.is_urgent or item.has_requested_slot:
            return item.latest_start_s
        slot_request_s = item.enqueued_s + self._parts.settings.queueing.relief_after_s
        return min(item.latest_start_s, slot_request_s)

    def _exchange(self, call: Call, grant: Grant) -> Reply:
        address = grant.instance.spec.address
        until_s = min(grant.started_s + self._run_time_bound_s(call.pool), call.deadline_s)
        connection = self._parts.connections.take(address, call.is_idempotent)
        try:
            self._check_start(call, until_s)
            reply = exchange(call, connection, until_s, self._parts.clock)
        except BaseException:
            self._parts.connections.discard(connection)
            raise
        reply.set_read_timeout(self._parts.settings.connections.body_timeout_s)
        return reply

    def _check_start(self, call: Call, until_s: float) -> None:
        """Raise RequestError if the call must not be sent; nothing has been sent yet."""
        if call.caller_gone.is_set():
            raise RequestError(Reason.CALLER_GONE)
        if self._parts.clock.monotonic() >= until_s:
            raise RequestError(Reason.DEADLINE_PASSED)
        call.before_start()

    def _accept(self, active: ActiveCall, grant: Grant, reply: Reply) -> UpstreamResponse:
        name = grant.instance.name
        if reply.is_draining:
            self._parts.departures.note_drain_response(grant.instance)
        if reply.is_overload:
            self._parts.health.note_overload(name)
        elif reply.status >= _SERVER_ERROR and not reply.is_draining:
            self._note_failure(grant)
        else:
            self._parts.health.note_success(name)
            self._record_failed_attempts(active, None)
        return StreamingResponse(
            grant, reply, self, self._parts.settings.connections, self._parts.clock
        )

    def _is_retried_after_drain(self, active: ActiveCall, grant: Grant, reply: Reply) -> bool:
        """Suspend an idempotent call if a draining upstream refused it; return whether it did."""
        is_refusal = reply.is_draining and reply.status == _UNAVAILABLE
        if not is_refusal or not active.call.is_idempotent or not active.call.body.is_replayable:
            return False
        self._parts.departures.note_drain_response(grant.instance)
        response = StreamingResponse(
            grant, reply, self, self._parts.settings.connections, self._parts.clock
        )
        self._parts.scheduler.suspend(grant, has_started=True)
        response.close()
        active.add_failed_attempt(
            grant, True, Reason.UPSTREAM_OVERLOADED, RetryReason.UPSTREAM_DRAINING
        )
        return True

    def _note_unsent(self, active: ActiveCall, grant: Grant, error: NotSentError) -> None:
        self._parts.scheduler.suspend(grant, has_started=False)
        self._parts.scheduler.finish(grant)
        if error.retry_reason is RetryReason.CONNECT_FAILED:
            pool = self._parts.chooser.accepting_names(active.call.pool)
            self._parts.health.note_connect_failure(grant.instance.name, pool)
        active.add_failed_attempt(grant, False, Reason.UPSTREAMS_FAILING, error.retry_reason)

    def _note_broken(self, active: ActiveCall, grant: Grant, error: BrokenExchangeError) -> None:
        self._parts.scheduler.suspend(grant, has_started=True)
        self._hold_grant(grant)
        is_timeout = error.reason is Reason.UPSTREAM_TIMEOUT
        retry = RetryReason.IDEMPOTENT_TIMEOUT if is_timeout else RetryReason.IDEMPOTENT_BROKE
        active.add_failed_attempt(grant, True, error.reason, retry)

    def _pause_and_requeue(self, active: ActiveCall) -> None:
        item, history = active.item, active.history
        suspected = self._parts.health.suspected(history.avoid)
        now_s = self._parts.clock.monotonic()
        pause_s = self._parts.retries.pause_s(active.call, history, suspected, now_s)
        item.wait(pause_s)
        self._parts.scheduler.requeue(item, history.avoid)

    def _record_failed_attempts(self, active: ActiveCall, reason: Reason | None) -> None:
        """Record failed attempts with their upstreams, unless the call caused the failures."""
        if reason is Reason.REQUEST_FAILING:
            return
        pool = self._parts.chooser.accepting_names(active.call.pool)
        for failed in active.history.attempts:
            if failed.retry_reason in (
                RetryReason.IDEMPOTENT_BROKE,
                RetryReason.IDEMPOTENT_TIMEOUT,
            ):
                self._parts.health.note_failure(failed.instance, pool)

    def _note_failure(self, grant: Grant) -> None:
        pool = self._parts.chooser.accepting_names(grant.instance.pool)
        self._parts.health.note_failure(grant.instance.name, pool)

    def _return_connection(self, grant: Grant, reply: Reply) -> None:
        if reply.is_reusable and not reply.is_draining:
            self._parts.connections.put(
                reply.connection, self._parts.chooser.max_idle(grant.instance)
            )
        else:
            self._parts.connections.discard(reply.connection)

    def _hold_grant(self, grant: Grant) -> None:
        self._parts.holder.hold(grant, self._run_time_bound_s(grant.waiting.call.pool))

    def _run_time_bound_s(self, name: str) -> float:
        pool = self._parts.fold.state.pools.get(name)
        return pool.run_time_bound_s if pool else self._parts.settings.connections.body_timeout_s
