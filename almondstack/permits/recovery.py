"""Proposes the log records that release the permits of a lost incarnation.

Explanation
-----------
An incarnation is fenced when the platform's list no longer contains its
instance, or when a later incarnation uses the instance.  Its work has surely
ended once the longest run-time bound has passed since then on this process's
monotonic clock; ``_CLOCK_RATE_MARGIN`` covers clocks that run at different
rates.  Missing messages alone never lead to fencing, since a zone behind a
network partition sends none and still runs requests.  Rendezvous hashing ranks
the proposers, and each rank waits ``_RANK_DELAY_S`` longer than the one before;
the fold refuses a second record.
"""

from collections.abc import Iterable

import xxhash

from almondstack.core import Clock, LocalMetrics
from almondstack.fold import Fold
from almondstack.model import EntryEnded, EntryFenced, EntryState, FleetState
from almondstack.permits.accounting import RecordSink
from almondstack.permits.guard import MIN_RECOVERY_DELAY_S

__all__ = ["RecoveryProposer", "gone_incarnations"]

_FENCE_DELAY_S = 1.0
_RANK_DELAY_S = 2.0
_RETRY_INTERVAL_S = 10.0
_CLOCK_RATE_MARGIN = 1.25


def gone_incarnations(state: FleetState, listed_names: Iterable[str] | None) -> set[str]:
    """Return the incarnations whose instance is not listed or has a later incarnation.

    Parameters
    ----------
    state : FleetState
        State with the incarnations.
    listed_names : iterable of str or None
        Names of the entry instances that the platform lists.  With None, if the
        list is not available, only replaced incarnations are returned.
    """
    names = None if listed_names is None else set(listed_names)
    latest: dict[str, EntryState] = {}
    for entry in state.live_entries():
        if entry.name not in latest or latest[entry.name].version < entry.version:
            latest[entry.name] = entry
    gone = set()
    for incarnation, entry in state.entries.items():
        newer = latest.get(entry.name)
        is_replaced = newer is not None and newer.incarnation != incarnation
        is_unlisted = names is not None and entry.name not in names
        if is_replaced or is_unlisted:
            gone.add(incarnation)
    return gone


class RecoveryProposer:
    """Proposes to fence gone incarnations, and to end them after the run-time bound.

    Parameters
    ----------
    incarnation : str
        Incarnation that proposes.
    fold : Fold
        Provides the incarnations and the run-time bounds.
    sink : RecordSink
        Appends records.
    clock : Clock
        Measures how long an incarnation has been gone.
    metrics : LocalMetrics
        Counts proposals.
    """

    __slots__ = (
        "_clock",
        "_fold",
        "_gone_since_s",
        "_incarnation",
        "_metrics",
        "_proposed_s",
        "_run_time_bound_s",
        "_sink",
    )

    def __init__(
        self, incarnation: str, fold: Fold, sink: RecordSink, clock: Clock, metrics: LocalMetrics
    ) -> None:
        self._incarnation = incarnation
        self._fold = fold
        self._sink = sink
        self._clock = clock
        self._metrics = metrics
        self._run_time_bound_s = MIN_RECOVERY_DELAY_S
        self._gone_since_s: dict[str, float] = {}
        self._proposed_s: dict[tuple[str, type], float] = {}

    def tick(self, gone: set[str]) -> None:
        """Submit the records that are due.

        Parameters
        ----------
        gone : set of str
            Incarnations that are gone according to the latest list.
        """
        now_s = self._clock.monotonic()
        kept = {name: since for name, since in self._gone_since_s.items() if name in gone}
        self._gone_since_s = {name: kept.get(name, now_s) for name in gone}
        with self._fold.lock:
            state = self._fold.state
            for pool in state.pools.values():
                self._run_time_bound_s = max(self._run_time_bound_s, pool.run_time_bound_s)
            for name, since_s in sorted(self._gone_since_s.items()):
                if name != self._incarnation and self._incarnation in state.entries:
                    self._propose(state, name, now_s - since_s)

    def _propose(self, state: FleetState, name: str, gone_s: float) -> None:
        delay_s = self._rank(state, name) * _RANK_DELAY_S
        entry, settlement = state.entries.get(name), state.settlements.get(name)
        if entry is not None and entry.is_live:
            if gone_s >= _FENCE_DELAY_S + delay_s:
                self._submit(name, EntryFenced(name, "the instance is not listed"))
            return
        is_open = settlement is not None and not settlement.is_ended
        if is_open and gone_s >= self._run_time_bound_s * _CLOCK_RATE_MARGIN + delay_s:
            self._submit(name, EntryEnded(name, "the run-time bound has passed"))

    def _submit(self, name: str, body: EntryFenced | EntryEnded) -> None:
        now_s = self._clock.monotonic()
        last_s = self._proposed_s.get((name, type(body)), float("-inf"))
        if now_s - last_s >= _RETRY_INTERVAL_S:
            self._proposed_s[(name, type(body))] = now_s
            self._sink.submit(body)
            self._metrics.count("permits.recovery-proposed")

    def _rank(self, state: FleetState, name: str) -> int:
        """Return the number of live entries that precede this one as proposers for ``name``."""
        live = [entry.incarnation for entry in state.live_entries()]
        order = sorted(live, key=lambda item: xxhash.xxh64_intdigest(f"{name}|{item}".encode()))
        return order.index(self._incarnation) if self._incarnation in order else len(order)
