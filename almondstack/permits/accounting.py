"""Computes the permits that one incarnation holds, and submits its returns and settlements.

Explanation
-----------
The number of permits held of a resource is not stored but computed::

    drawn in the log + received from open peers - given to open peers
    - marked for return, or returned by records that are not yet folded

Transfers are kept as cumulative totals per peer and resource.  A peer is open
while it is live and, once it has ended, until the fold has applied this
incarnation's settlement record for it.  That record states the totals of the
transfers with the peer, and the step that closes the peer adds them to the
draws, so the sum does not change.  Permits are subtracted here before another
incarnation can count them, and added here only after another incarnation has
subtracted them, so no permit is ever counted twice.

Lock order: ``Fold.lock``, then ``PermitTable.lock``.

See Also
--------
almondstack.fold.permits : the draws, returns and settlements in the log.
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

__all__ = ["PermitAccounting", "RecordSink"]


class RecordSink(Protocol):
    """Appends records of this incarnation."""

    def submit(self, body: Any) -> int:
        """Queue a record for the log without blocking; return its sequence number."""
        ...


class PermitAccounting:
    """Updates the table of held permits; the caller holds both locks for every method.

    Parameters
    ----------
    incarnation : str
        Incarnation that holds the permits.
    fold : Fold
        Provides bounds and draws.
    sink : RecordSink
        Appends records with ``incarnation`` as author.
    table : PermitTable
        Receives the computed counts.
    metrics : LocalMetrics
        Counts returns, settlements and transfers.
    """

    __slots__ = (
        "_debts",
        "_fold",
        "_incarnation",
        "_ledger",
        "_metrics",
        "_marked_for_return",
        "_offset",
        "_live_peers",
        "_settlements_submitted",
        "_sink",
        "_table",
        "_unfolded_returns",
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
        self._live_peers: frozenset[str] = frozenset()
        self._debts: dict[str, int] = {}
        self._settlements_submitted: set[str] = set()
        self._unfolded_returns: list[tuple[int, dict[str, int]]] = []
        self._marked_for_return: dict[str, int] = {}

    @property
    def live_peers(self) -> frozenset[str]:
        """Other live incarnations, with which permits may be exchanged."""
        return self._live_peers

    @property
    def debts(self) -> dict[str, int]:
        """Permits drawn beyond the bound, by resource, after a bound was lowered."""
        return self._debts

    @property
    def entry(self) -> EntryState | None:
        """State of this incarnation in the log; None unless it is live there."""
        entry = self._fold.state.entries.get(self._incarnation)
        return entry if entry is not None and entry.is_live else None

    def sync(self) -> bool:
        """Update the table from the fold; return True if any count has increased."""
        if self._fold.next_offset == self._offset:
            return False
        state = self._fold.state
        self._offset = self._fold.next_offset
        live = (name for name, entry in state.entries.items() if entry.is_live)
        self._live_peers = frozenset(live) - {self._incarnation}
        self._settle(state)
        folded = state.last_sequence(self._incarnation)
        self._unfolded_returns = [item for item in self._unfolded_returns if item[0] > folded]
        debts = {name: debt_of(state, name) for name in state.permits}
        self._debts = {name: debt for name, debt in debts.items() if debt}
        return self._table.set_held(self._held(state), rate_bursts(state))

    def give(self, peer: str, resource: str, count: int) -> None:
        """Transfer ``count`` permits to a live peer."""
        self._table.holding(resource).held -= count
        self._ledger.give(peer, resource, count)
        self._metrics.count("permits.given", count)

    def receive(self, peer: str, items: Iterable[PermitCount]) -> bool:
        """Apply transfer totals received from ``peer``; return True if any count has increased."""
        if peer not in self._live_peers:
            self._metrics.count("permits.transfer-ignored.not-live")
            return False
        gained = self._ledger.receive(peer, items)
        if not gained:
            return False
        self._metrics.count("permits.received", gained)
        return self._table.set_held(self._held(self._fold.state))

    def record_acknowledged(self, peer: str, items: Iterable[PermitCount]) -> None:
        """Store the totals that ``peer`` has acknowledged."""
        self._ledger.record_acknowledged(peer, items)

    def unacknowledged(self, peer: str) -> tuple[PermitCount, ...]:
        """Return the totals that ``peer`` has not acknowledged."""
        return self._ledger.unacknowledged(peer)

    def mark_for_return(self, resource: str, count: int) -> None:
        """Remove permits from use; the next call of :meth:`submit_returns` returns them."""
        if count > 0:
            self._table.holding(resource).held -= count
            self._marked_for_return[resource] = self._marked_for_return.get(resource, 0) + count

    def is_return_pending(self, resource: str) -> bool:
        """Return True while a submitted return of ``resource`` is not folded."""
        return any(resource in counts for _, counts in self._unfolded_returns)

    def submit_returns(self) -> None:
        """Submit a record that returns the permits marked for return, if any."""
        if not self._marked_for_return:
            return
        counts, self._marked_for_return = self._marked_for_return, {}
        items = tuple(PermitCount(name, count) for name, count in counts.items())
        self._unfolded_returns.append((self._sink.submit(PermitsReturned(items)), counts))
        self._metrics.count("permits.returned", sum(counts.values()))

    def _held(self, state: FleetState) -> dict[str, int]:
        if self.entry is None:
            return {}
        open_peers = [name for name in self._ledger.peers() if self._is_open(state, name)]
        held = self._ledger.net_received(open_peers)
        for resource, account in state.permits.items():
            own = account.drawn.get(self._incarnation, 0)
            held[resource] = held.get(resource, 0) + own
        for counts in (*(counts for _, counts in self._unfolded_returns), self._marked_for_return):
            for resource, count in counts.items():
                held[resource] = held.get(resource, 0) - count
        return held

    def _is_open(self, state: FleetState, peer: str) -> bool:
        """Return whether the transfers with ``peer`` are not yet part of the draws."""
        entry = state.entries.get(peer)
        if entry is not None and entry.is_live:
            return True
        settlement = state.settlements.get(peer)
        return settlement is not None and self._incarnation in settlement.waiting

    def _settle(self, state: FleetState) -> None:
        """Submit the settlement records that are due; drop the totals of peers not open."""
        for name, settlement in state.settlements.items():
            if self._incarnation in settlement.waiting and name not in self._settlements_submitted:
                self._sink.submit(PermitsSettled(name, self._ledger.settlement_counts(name)))
                self._settlements_submitted.add(name)
                self._metrics.count("permits.settled")
        for name in self._ledger.peers():
            if not self._is_open(state, name):
                self._ledger.drop_peer(name)
