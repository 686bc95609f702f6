"""Permits that entries draw from the log and transfer to one another.

Explanation
-----------
Starting a request uses permits that this entry holds, without a call to another
process.  A thread follows the fold, draws permits, returns them when a bound is
lowered, and requests them from peers.  A requesting peer gets part of the
surplus at once.  If there is none, its request stays pending until a permit is
released: calls of this entry that wait for a permit come first, but only until
the request is ``keep_s`` seconds old.  That delay avoids a transfer at each
call, and still lets every entry use a ceiling that is smaller than the number
of entries.

See Also
--------
almondstack.permits.accounting : why no permit is counted twice.
"""

import threading
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from almondstack.core import AlmondError, Clock, LocalMetrics
from almondstack.fold import Fold
from almondstack.model import PermitCount, is_rate
from almondstack.permits.accounting import PermitAccounting, RecordSink
from almondstack.permits.demand import DemandPlanner
from almondstack.permits.guard import StartGuard
from almondstack.permits.messages import PermitRequest, TransferTotals, TransferTotalsAck
from almondstack.permits.peer_requests import PeerRequestQueue
from almondstack.permits.settings import GivePolicy, PermitSettings
from almondstack.permits.table import PermitTable
from almondstack.permits.targets import floor_share

__all__ = ["EscrowPermits", "PeerLink"]

_RESEND_INTERVAL_S = 0.5


class _Outgoing(msgspec.Struct, frozen=True):
    """A message and its receiver."""

    peer: str
    body: PermitRequest | TransferTotals


class PeerLink(Protocol):
    """Sends messages to peers; messages may be lost, repeated and delayed."""

    def send(self, incarnation: str, body: Any) -> None:
        """Send a message if the peer can be reached."""
        ...

    def holders_of(self, resource: str) -> list[str]:
        """Return peers that reported spare permits, those with most first."""
        ...


class EscrowPermits:
    """Holds the permits of one incarnation and exchanges them with peers.

    Parameters
    ----------
    settings : PermitSettings
        Policy and intervals of transfers.
    incarnation : str
        Incarnation that holds the permits.
    fold : Fold
        Provides bounds and draws.
    sink : RecordSink
        Appends records with ``incarnation`` as author.
    link : PeerLink
        Sends messages to the peers.
    clock : Clock
        Measures waits and pauses.
    metrics : LocalMetrics
        Counts draws, transfers and refusals.
    """

    __slots__ = (
        "_accounting",
        "_clock",
        "_fold",
        "_guard",
        "_incarnation",
        "_is_leaving",
        "_last_resend_s",
        "_link",
        "_metrics",
        "_outbox",
        "_peer_requests",
        "_planner",
        "_settings",
        "_sink",
        "_stop",
        "_table",
        "_thread",
        "_wake",
    )

    def __init__(
        self,
        settings: PermitSettings,
        incarnation: str,
        fold: Fold,
        sink: RecordSink,
        link: PeerLink,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._fold = fold
        self._sink = sink
        self._link = link
        self._clock = clock
        self._metrics = metrics
        self._guard = StartGuard(clock, metrics, settings.pause_bound_s)
        self._table = PermitTable(clock)
        self._accounting = PermitAccounting(incarnation, fold, sink, self._table, metrics)
        self._peer_requests = PeerRequestQueue()
        self._planner = DemandPlanner(settings, incarnation, clock)
        self._outbox: set[str] = set()
        self._last_resend_s = clock.monotonic()
        self._is_leaving = False
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="permits", daemon=True)

    @property
    def guard(self) -> StartGuard:
        """Guard that forbids starts after a pause of this process."""
        return self._guard

    @property
    def is_start_allowed(self) -> bool:
        """True if a start is allowed now; check it right before sending a request."""
        return self._guard.is_start_allowed and not self._is_leaving

    @property
    def is_fenced(self) -> bool:
        """True if the log shows the end of this incarnation; its process must end."""
        entry = self._fold.state.entries.get(self._incarnation)
        return entry is not None and not entry.is_live

    def start(self) -> None:
        """Start the thread that draws, returns and requests permits."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._wake.set()

    def wake(self) -> None:
        """Make the thread run its next step soon."""
        self._wake.set()

    def try_acquire(self, resources: Iterable[str]) -> bool:
        """Acquire one permit of each resource; return False and acquire none if one is lacking."""
        if not self.is_start_allowed:
            self._metrics.count("permits.refused.start-not-allowed")
            return False
        names = list(resources)
        if self._table.try_acquire(names):
            return True
        if any(self._planner.is_request_due(name) for name in names):
            self._wake.set()
        return False

    def release(self, resources: Iterable[str]) -> None:
        """Release one permit of each resource; call it only after the work has surely ended."""
        names = [name for name in resources if not is_rate(name)]
        with self._table.lock:
            for name in names:
                self._table.holding(name).used -= 1
                self._reassign_idle(name)
        self._table.notify()

    def free_count(self, resource: str) -> int:
        """Return the number of permits that this entry holds and does not use."""
        return self._table.free_count(resource)

    def held_count(self, resource: str) -> int:
        """Return the number of permits that this entry holds, in use or not."""
        return self._table.held_count(resource)

    def set_demand(self, resource: str, waiting: int) -> None:
        """Set how many calls of this entry wait for ``resource``, so that it requests permits."""
        self._table.set_demand(resource, waiting)
        if waiting > self._table.free_count(resource) and self._planner.is_request_due(resource):
            self._wake.set()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits were received or released."""
        self._table.add_listener(listener)

    def spare_counts(self) -> tuple[PermitCount, ...]:
        """Return the surplus of each resource, for the digest sent to peers."""
        with self._table.lock:
            counts = [PermitCount(name, self._surplus(name)) for name in self._table.resources()]
        return tuple(item for item in counts if item.count > 0)

    def wanted_counts(self) -> tuple[PermitCount, ...]:
        """Return the number of calls waiting for each resource, for the digest."""
        with self._table.lock:
            names = self._table.resources()
            counts = [PermitCount(name, self._table.holding(name).waiting) for name in names]
        return tuple(item for item in counts if item.count > 0)

    def tick(self) -> None:
        """Run one step of the thread: follow the fold, then return, draw, request and send."""
        self._guard.heartbeat()
        with self._fold.lock, self._table.lock:
            has_increased = self._accounting.sync()
            is_resumed = self._guard.resume(self._fold.next_offset)
            self._planner.drop_decided_draws(self._fold.state.last_sequence(self._incarnation))
            self._planner.measure_rates(self._table)
            self._serve_requests()
            self._return_debts()
            self._draw()
            messages = self._plan_requests() + self._totals_to_send()
        self._send(messages)
        if has_increased or is_resumed:
            self._table.notify()

    def leave(self) -> None:
        """Forbid further starts and return all unused permits by record."""
        with self._fold.lock, self._table.lock:
            self._accounting.sync()
            self._is_leaving = True
            for name in self._table.resources():
                self._accounting.mark_for_return(name, self._idle_count(name))
            self._accounting.submit_returns()

    def handle_request(self, peer: str, request: PermitRequest) -> None:
        """Transfer spare permits to ``peer`` and keep the rest of the request pending."""
        now_s = self._clock.monotonic()
        with self._fold.lock, self._table.lock:
            if peer not in self._accounting.live_peers or not self.is_start_allowed:
                return
            for item in request.items:
                given = self._give_surplus(peer, item.resource, item.count)
                self._peer_requests.record(item.resource, peer, item.count - given, now_s)
            messages = self._totals_to_send()
        self._send(messages)

    def handle_totals(self, peer: str, totals: TransferTotals) -> None:
        """Apply transfer totals from ``peer``; repeated and late messages have no effect."""
        with self._fold.lock, self._table.lock:
            if peer not in self._accounting.live_peers:
                self._metrics.count("permits.transfer-ignored.not-live")
                return
            has_increased = self._accounting.receive(peer, totals.items)
        self._link.send(peer, TransferTotalsAck(totals.items))
        if has_increased:
            self._table.notify()

    def handle_totals_ack(self, peer: str, ack: TransferTotalsAck) -> None:
        """Store the totals that ``peer`` has acknowledged."""
        with self._table.lock:
            self._accounting.record_acknowledged(peer, ack.items)

    def _idle_count(self, resource: str) -> int:
        """Return the permits that are held and not in use; for a rate, all that are held."""
        item = self._table.holding(resource)
        return item.held if is_rate(resource) else max(0, item.held - item.used)

    def _surplus(self, resource: str) -> int:
        """Return the permits beyond those in use or waited for; negative if some are lacking."""
        item = self._table.holding(resource)
        busy = self._planner.used_rate(resource) if is_rate(resource) else item.used
        return item.held - busy - item.waiting

    def _return_debts(self) -> None:
        """Return idle permits, up to this entry's share of each debt by the permits it holds."""
        for name, debt in self._accounting.debts.items():
            if self._accounting.entry is None or self._accounting.is_return_pending(name):
                continue
            total = self._fold.state.permits[name].total
            share = -(-debt * max(1, self._table.holding(name).held) // total)
            self._accounting.mark_for_return(name, min(self._idle_count(name), share))
        self._accounting.submit_returns()

    def _draw(self) -> None:
        entry = self._accounting.entry
        if entry is None or self._is_leaving:
            return
        state, offset = self._fold.state, self._fold.next_offset
        body = self._planner.plan_draw(state, offset, entry, self._table)
        if body is not None:
            self._planner.record_draw(self._sink.submit(body), body)
            self._metrics.count("permits.draws")

    def _give_surplus(self, peer: str, resource: str, wanted: int) -> int:
        """Transfer up to ``wanted`` permits of the surplus to ``peer``; return how many."""
        if resource in self._accounting.debts:
            return 0
        surplus = self._surplus(resource) - self._zone_reserve(peer, resource)
        if self._settings.give_policy is GivePolicy.HALF:
            surplus = (surplus + 1) // 2
        count = min(wanted, surplus)
        if count <= 0:
            return 0
        self._transfer(peer, resource, count)
        return count

    def _zone_reserve(self, peer: str, resource: str) -> int:
        """Return the idle permits kept for this zone's floor; 0 if the peer is in this zone."""
        own, other = self._accounting.entry, self._fold.state.entries.get(peer)
        if own is None or other is None or own.zone == other.zone:
            return 0
        kept = floor_share(self._fold.state, resource, own)
        in_use = self._table.holding(resource).held - self._surplus(resource)
        return max(0, kept - in_use)

    def _transfer(self, peer: str, resource: str, count: int) -> None:
        self._accounting.give(peer, resource, count)
        self._outbox.add(peer)

    def _reassign_idle(self, resource: str) -> None:
        """Return an idle permit for a lowered bound, or transfer it to a waiting peer."""
        item = self._table.holding(resource)
        if item.held <= item.used:
            return
        if resource in self._accounting.debts:
            self._accounting.mark_for_return(resource, 1)
            self._wake.set()
        elif resource in self._peer_requests:
            self._give_to_waiting_peer(resource)

    def _give_to_waiting_peer(self, resource: str) -> None:
        now_s = self._clock.monotonic()
        request = self._peer_requests.oldest(resource, now_s)
        if request is None or request.peer not in self._accounting.live_peers:
            return
        is_due = now_s - request.since_s >= self._settings.keep_s
        if self._surplus(resource) <= 0 and not is_due:
            return
        if self._zone_reserve(request.peer, resource) == 0:
            self._transfer(request.peer, resource, 1)
            self._peer_requests.record(resource, request.peer, 0, now_s)
            self._wake.set()

    def _serve_requests(self) -> None:
        for resource in self._peer_requests.resources():
            if not is_rate(resource):
                self._reassign_idle(resource)

    def _plan_requests(self) -> list[_Outgoing]:
        entry = self._accounting.entry
        if entry is None or not self.is_start_allowed:
            return []
        requests = self._planner.plan_requests(self._fold.state, entry, self._table, self._link)
        self._metrics.count("permits.asked", len(requests))
        return [_Outgoing(peer, PermitRequest(items)) for peer, items in requests.items()]

    def _totals_to_send(self) -> list[_Outgoing]:
        """Return new totals and, every ``_RESEND_INTERVAL_S``, all unacknowledged totals."""
        now_s = self._clock.monotonic()
        peers = frozenset(self._outbox)
        if now_s - self._last_resend_s >= _RESEND_INTERVAL_S:
            self._last_resend_s = now_s
            peers = self._accounting.live_peers
        self._outbox.clear()
        unacknowledged = [(peer, self._accounting.unacknowledged(peer)) for peer in sorted(peers)]
        return [_Outgoing(peer, TransferTotals(items)) for peer, items in unacknowledged if items]

    def _send(self, messages: list[_Outgoing]) -> None:
        for message in messages:
            self._link.send(message.peer, message.body)

    def _run(self) -> None:
        while not self._stop.is_set():
            self._wake.clear()
            try:
                self.tick()
            except AlmondError as error:
                self._metrics.count(f"permits.tick-failed.{error.code}")
            self._clock.wait(self._stop, self._settings.least_tick_s)
            self._clock.wait(self._wake, self._planner.plan_interval_s)
