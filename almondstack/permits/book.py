"""What one incarnation holds, derived from the fold and from transfer totals.

Explanation
-----------
What is held of a resource is never stored but derived::

    drawn in the log + received from open peers - given to open peers
    - returned by records that are not yet folded

A peer is open until the log shows its end and has taken over this incarnation's
transfer totals with it.  Both changes happen in one step of the fold, so the
sum is the same before and after.  Permits leave this sum before anyone else can
see them, and enter it only after they have left another sum.

The locks are taken in this order: that of the fold, then that of the table.

See Also
--------
almondstack.fold.permits : what the log knows of permits.
"""

from collections.abc import Iterable
from typing import Any, Protocol

from almondstack.core import LocalMetrics
from almondstack.fold import Fold, debt_of
from almondstack.model import (
    EntryState,
    FleetState,
    PermitCount,
    PermitsReturned,
    PermitsSettled,
    rate_bursts,
)
from almondstack.permits.ledger import TransferLedger
from almondstack.permits.table import PermitTable

__all__ = ["PermitBook", "RecordSink"]


class RecordSink(Protocol):
    """Appends records of this incarnation."""

    def submit(self, body: Any) -> int:
        """Hand over a record and return its sequence number at once."""
        ...


class PermitBook:
    """Keeps the table of permits true; every method needs both locks.

    Parameters
    ----------
    incarnation : str
        Who holds the permits.
    fold : Fold
        Knows bounds and draws.
    sink : RecordSink
        Appends records with ``incarnation`` as author.
    table : PermitTable
        Is kept true.
    metrics : LocalMetrics
        Counts returns, settlements and transfers.
    """

    __slots__ = (
        "_fold",
        "_incarnation",
        "_indebted",
        "_ledger",
        "_metrics",
        "_offset",
        "_open_peers",
        "_returned",
        "_returning",
        "_settled",
        "_sink",
        "_table",
    )

    def __init__(
        self,
        incarnation: str,
        fold: Fold,
        sink: RecordSink,
        table: PermitTable,
        metrics: LocalMetrics,
    ) -> None:
        self._incarnation = incarnation
        self._fold = fold
        self._sink = sink
        self._table = table
        self._metrics = metrics
        self._ledger = TransferLedger()
        self._offset = -1
        self._open_peers: frozenset[str] = frozenset()
        self._indebted: dict[str, int] = {}
        self._settled: set[str] = set()
        self._returned: list[tuple[int, dict[str, int]]] = []
        self._returning: dict[str, int] = {}

    @property
    def open_peers(self) -> frozenset[str]:
        """Peers with which permits may be exchanged."""
        return self._open_peers

    @property
    def indebted(self) -> dict[str, int]:
        """Debt of each resource whose bound was lowered below what is drawn."""
        return self._indebted

    @property
    def entry(self) -> EntryState | None:
        """This incarnation in the log; None unless it is live there."""
        entry = self._fold.state.entries.get(self._incarnation)
        return entry if entry is not None and entry.is_live else None

    def sync(self) -> bool:
        """Follow the fold; return whether any count rose."""
        if self._fold.next_offset == self._offset:
            return False
        state = self._fold.state
        self._offset = self._fold.next_offset
        live = (name for name, entry in state.entries.items() if entry.is_live)
        self._open_peers = frozenset(live) - {self._incarnation}
        self._settle(state)
        folded = state.last_sequence(self._incarnation)
        self._returned = [item for item in self._returned if item[0] > folded]
        debts = {name: debt_of(state, name) for name in state.permits}
        self._indebted = {name: debt for name, debt in debts.items() if debt}
        return self._table.set_held(self._held(state), rate_bursts(state))

    def give(self, peer: str, resource: str, count: int) -> None:
        """Hand ``count`` permits over to an open peer."""
        self._table.holding(resource).held -= count
        self._ledger.give(peer, resource, count)
        self._metrics.count("permits.given", count)

    def take(self, peer: str, items: Iterable[PermitCount]) -> bool:
        """Take totals given by ``peer``; return whether any count rose."""
        if peer not in self._open_peers:
            self._metrics.count("permits.transfer-ignored.not-live")
            return False
        gained = self._ledger.take(peer, items)
        if not gained:
            return False
        self._metrics.count("permits.received", gained)
        return self._table.set_held(self._held(self._fold.state))

    def note_seen(self, peer: str, items: Iterable[PermitCount]) -> None:
        """Remember which totals ``peer`` has confirmed."""
        self._ledger.note_seen(peer, items)

    def unseen(self, peer: str) -> tuple[PermitCount, ...]:
        """Return the totals that ``peer`` has not confirmed."""
        return self._ledger.unseen(peer)

    def set_aside(self, resource: str, count: int) -> None:
        """Take permits out of use, to be returned by the next record."""
        if count > 0:
            self._table.holding(resource).held -= count
            self._returning[resource] = self._returning.get(resource, 0) + count

    def is_returning(self, resource: str) -> bool:
        """Return True while a return of ``resource`` is not folded."""
        return any(resource in counts for _, counts in self._returned)

    def submit_returns(self) -> None:
        """Return by record what was set aside."""
        if not self._returning:
            return
        counts, self._returning = self._returning, {}
        items = tuple(PermitCount(name, count) for name, count in counts.items())
        self._returned.append((self._sink.submit(PermitsReturned(items)), counts))
        self._metrics.count("permits.returned", sum(counts.values()))

    def _held(self, state: FleetState) -> dict[str, int]:
        if self.entry is None:
            return {}
        open_peers = [name for name in self._ledger.peers() if self._is_open(state, name)]
        held = self._ledger.net(open_peers)
        for resource, account in state.permits.items():
            own = account.drawn.get(self._incarnation, 0)
            held[resource] = held.get(resource, 0) + own
        for counts in (*(counts for _, counts in self._returned), self._returning):
            for resource, count in counts.items():
                held[resource] = held.get(resource, 0) - count
        return held

    def _is_open(self, state: FleetState, peer: str) -> bool:
        entry = state.entries.get(peer)
        if entry is not None and entry.is_live:
            return True
        settlement = state.settlements.get(peer)
        return settlement is not None and self._incarnation in settlement.waiting

    def _settle(self, state: FleetState) -> None:
        for name, settlement in state.settlements.items():
            if self._incarnation in settlement.waiting and name not in self._settled:
                self._sink.submit(PermitsSettled(name, self._ledger.settled(name)))
                self._settled.add(name)
                self._metrics.count("permits.settled")
        for name in self._ledger.peers():
            if not self._is_open(state, name):
                self._ledger.forget(name)
