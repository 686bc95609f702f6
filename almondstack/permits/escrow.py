"""Permits that entries draw from the log and pass to one another.

Explanation
-----------
A start takes permits that are held here and asks no other process.  A thread
follows the fold, draws, returns for a lowered bound, and asks peers.  A peer
that asks gets part of the surplus at once; if there is none, it gets the next
permit that becomes free, after this entry's own calls have reused permits for
``keep_s`` seconds.  That bound keeps permits from moving at each call, and lets
a ceiling smaller than the number of entries be used from every entry.

See Also
--------
almondstack.permits.book : why nothing is minted.
"""

import threading
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import msgspec

from almondstack.core import AlmondError, Clock, LocalMetrics
from almondstack.fold import Fold
from almondstack.model import PermitCount, is_rate
from almondstack.permits.asks import AskBook
from almondstack.permits.book import PermitBook, RecordSink
from almondstack.permits.demand import DemandPlanner
from almondstack.permits.guard import StartGuard
from almondstack.permits.messages import PermitAsk, PermitTotals, PermitTotalsSeen
from almondstack.permits.settings import GivePolicy, PermitSettings
from almondstack.permits.table import PermitTable
from almondstack.permits.targets import floor_part

__all__ = ["EscrowPermits", "PeerLink"]

_RESEND_S = 0.5


class _Outgoing(msgspec.Struct, frozen=True):
    """A message and the peer that it goes to."""

    peer: str
    body: PermitAsk | PermitTotals


class PeerLink(Protocol):
    """Sends to peers; may lose, repeat and delay."""

    def send(self, incarnation: str, body: Any) -> None:
        """Send a message if the peer can be reached."""
        ...

    def holders_of(self, resource: str) -> list[str]:
        """Return peers that said they have permits to spare, most first."""
        ...


class EscrowPermits:
    """Permits of one incarnation.

    Parameters
    ----------
    settings : PermitSettings
        How permits move.
    incarnation : str
        Who holds them.
    fold : Fold
        Knows bounds and draws.
    sink : RecordSink
        Appends records with ``incarnation`` as author.
    link : PeerLink
        Reaches the peers.
    clock : Clock
        Measures waits and pauses.
    metrics : LocalMetrics
        Counts draws, transfers and refusals.
    """

    __slots__ = (
        "_asks",
        "_book",
        "_clock",
        "_fold",
        "_guard",
        "_incarnation",
        "_is_leaving",
        "_link",
        "_metrics",
        "_outbox",
        "_planner",
        "_resent_s",
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
        self._book = PermitBook(incarnation, fold, sink, self._table, metrics)
        self._asks = AskBook()
        self._planner = DemandPlanner(settings, incarnation, clock)
        self._outbox: set[str] = set()
        self._resent_s = clock.monotonic()
        self._is_leaving = False
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="permits", daemon=True)

    @property
    def guard(self) -> StartGuard:
        """Tells whether this process may start anything."""
        return self._guard

    @property
    def is_start_allowed(self) -> bool:
        """True if a start is allowed now; to be read right before sending."""
        return self._guard.is_start_allowed and not self._is_leaving

    @property
    def is_fenced(self) -> bool:
        """True if the log shows the end of this incarnation; its process must end."""
        entry = self._fold.state.entries.get(self._incarnation)
        return entry is not None and not entry.is_live

    def start(self) -> None:
        """Start the thread that draws, returns and asks."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()
        self._wake.set()

    def wake(self) -> None:
        """Look at fold and demand soon."""
        self._wake.set()

    def try_take(self, resources: Iterable[str]) -> bool:
        """Take one permit of each resource, or none at all."""
        if not self.is_start_allowed:
            self._metrics.count("permits.refused.start-not-allowed")
            return False
        names = list(resources)
        if self._table.try_take(names):
            return True
        if any(self._planner.is_ask_due(name) for name in names):
            self._wake.set()
        return False

    def give_back(self, resources: Iterable[str]) -> None:
        """Return one permit of each resource, once the work has surely ended."""
        names = [name for name in resources if not is_rate(name)]
        with self._table.lock:
            for name in names:
                self._table.holding(name).used -= 1
                self._pass_on(name)
        self._table.notify()

    def free_count(self, resource: str) -> int:
        """Return how many permits are held here and not in use."""
        return self._table.free_count(resource)

    def held_count(self, resource: str) -> int:
        """Return how many permits are held here, in use or not."""
        return self._table.held_count(resource)

    def note_demand(self, resource: str, waiting: int) -> None:
        """Say how many calls here wait for ``resource``, so that permits move here."""
        self._table.note_demand(resource, waiting)
        if waiting > self._table.free_count(resource) and self._planner.is_ask_due(resource):
            self._wake.set()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits have arrived or become free."""
        self._table.add_listener(listener)

    def spare_counts(self) -> tuple[PermitCount, ...]:
        """Return what could be given to peers, for the digest."""
        with self._table.lock:
            counts = [PermitCount(name, self._surplus(name)) for name in self._table.resources()]
        return tuple(item for item in counts if item.count > 0)

    def wanted_counts(self) -> tuple[PermitCount, ...]:
        """Return how many calls wait for each resource, for the digest."""
        with self._table.lock:
            names = self._table.resources()
            counts = [PermitCount(name, self._table.holding(name).waiting) for name in names]
        return tuple(item for item in counts if item.count > 0)

    def tick(self) -> None:
        """Follow the fold, then return, draw, ask and send; one step of the thread."""
        self._guard.beat()
        with self._fold.lock, self._table.lock:
            has_more = self._book.sync()
            is_resumed = self._guard.resume(self._fold.next_offset)
            self._planner.drop_folded(self._fold.state.last_sequence(self._incarnation))
            self._planner.observe(self._table)
            self._serve_asks()
            self._return_debts()
            self._draw()
            messages = self._plan_asks() + self._due_totals()
        self._send(messages)
        if has_more or is_resumed:
            self._table.notify()

    def leave(self) -> None:
        """Start nothing more and return by record all that is not in use."""
        with self._fold.lock, self._table.lock:
            self._book.sync()
            self._is_leaving = True
            for name in self._table.resources():
                self._book.set_aside(name, self._idle_count(name))
            self._book.submit_returns()

    def take_ask(self, peer: str, ask: PermitAsk) -> None:
        """Give what can be spared, and remember the rest of the wish."""
        now_s = self._clock.monotonic()
        with self._fold.lock, self._table.lock:
            if peer not in self._book.open_peers or not self.is_start_allowed:
                return
            for item in ask.items:
                given = self._give(peer, item.resource, item.count)
                self._asks.note(item.resource, peer, item.count - given, now_s)
            messages = self._due_totals()
        self._send(messages)

    def take_totals(self, peer: str, totals: PermitTotals) -> None:
        """Take permits that ``peer`` gave; repeats and late messages change nothing."""
        with self._fold.lock, self._table.lock:
            if peer not in self._book.open_peers:
                self._metrics.count("permits.transfer-ignored.not-live")
                return
            has_more = self._book.take(peer, totals.items)
        self._link.send(peer, PermitTotalsSeen(totals.items))
        if has_more:
            self._table.notify()

    def note_totals_seen(self, peer: str, seen: PermitTotalsSeen) -> None:
        """Remember that ``peer`` has taken the totals."""
        with self._table.lock:
            self._book.note_seen(peer, seen.items)

    def _idle_count(self, resource: str) -> int:
        item = self._table.holding(resource)
        return item.held if is_rate(resource) else max(0, item.held - item.used)

    def _surplus(self, resource: str) -> int:
        item = self._table.holding(resource)
        busy = self._planner.used_rate(resource) if is_rate(resource) else item.used
        return item.held - busy - item.waiting

    def _return_debts(self) -> None:
        for name, debt in self._book.indebted.items():
            if self._book.entry is None or self._book.is_returning(name):
                continue
            total = self._fold.state.permits[name].total
            part = -(-debt * max(1, self._table.holding(name).held) // total)
            self._book.set_aside(name, min(self._idle_count(name), part))
        self._book.submit_returns()

    def _draw(self) -> None:
        entry = self._book.entry
        if entry is None or self._is_leaving:
            return
        state, offset = self._fold.state, self._fold.next_offset
        body = self._planner.plan_draw(state, offset, entry, self._table)
        if body is not None:
            self._planner.note_draw(self._sink.submit(body), body)
            self._metrics.count("permits.draws")

    def _give(self, peer: str, resource: str, wanted: int) -> int:
        if resource in self._book.indebted:
            return 0
        surplus = self._surplus(resource) - self._reserved(peer, resource)
        if self._settings.give_policy is GivePolicy.HALF:
            surplus = (surplus + 1) // 2
        count = min(wanted, surplus)
        if count <= 0:
            return 0
        self._hand_over(peer, resource, count)
        return count

    def _reserved(self, peer: str, resource: str) -> int:
        """Return how many idle permits stay here because the peer is in another zone."""
        own, other = self._book.entry, self._fold.state.entries.get(peer)
        if own is None or other is None or own.zone == other.zone:
            return 0
        kept = floor_part(self._fold.state, resource, own)
        in_use = self._table.holding(resource).held - self._surplus(resource)
        return max(0, kept - in_use)

    def _hand_over(self, peer: str, resource: str, count: int) -> None:
        self._book.give(peer, resource, count)
        self._outbox.add(peer)

    def _pass_on(self, resource: str) -> None:
        """Use an idle permit for a debt or a waiting peer."""
        item = self._table.holding(resource)
        if item.held <= item.used:
            return
        if resource in self._book.indebted:
            self._book.set_aside(resource, 1)
            self._wake.set()
        elif resource in self._asks:
            self._pass_to_waiting(resource)

    def _pass_to_waiting(self, resource: str) -> None:
        now_s = self._clock.monotonic()
        ask = self._asks.oldest(resource, now_s)
        if ask is None or ask.peer not in self._book.open_peers:
            return
        is_due = now_s - ask.since_s >= self._settings.keep_s
        if self._surplus(resource) <= 0 and not is_due:
            return
        if self._reserved(ask.peer, resource) == 0:
            self._hand_over(ask.peer, resource, 1)
            self._asks.note(resource, ask.peer, 0, now_s)
            self._wake.set()

    def _serve_asks(self) -> None:
        for resource in self._asks.resources():
            if not is_rate(resource):
                self._pass_on(resource)

    def _plan_asks(self) -> list[_Outgoing]:
        entry = self._book.entry
        if entry is None or not self.is_start_allowed:
            return []
        wishes = self._planner.plan_asks(self._fold.state, entry, self._table, self._link)
        self._metrics.count("permits.asked", len(wishes))
        return [_Outgoing(peer, PermitAsk(items)) for peer, items in wishes.items()]

    def _due_totals(self) -> list[_Outgoing]:
        """Return totals that are new, and now and then those that are not confirmed."""
        now_s = self._clock.monotonic()
        peers = frozenset(self._outbox)
        if now_s - self._resent_s >= _RESEND_S:
            self._resent_s = now_s
            peers = self._book.open_peers
        self._outbox.clear()
        unseen = [(peer, self._book.unseen(peer)) for peer in sorted(peers)]
        return [_Outgoing(peer, PermitTotals(items)) for peer, items in unseen if items]

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
            self._clock.wait(self._wake, self._planner.next_step_s)
