"""Proposes the records by which permits of a lost incarnation return.

Explanation
-----------
An incarnation is fenced when the platform's list shows its instance gone, or
used by a later incarnation.  Its work has surely ended once the longest
run-time bound has passed on this process's own monotonic clock since then; the
margin covers clocks that run at different rates.  Being silent is never
enough: a zone that is cut off is silent and works.  The proposer is drawn by
rendezvous hashing and others step in later, since a second record is refused.
"""

from collections.abc import Iterable

import xxhash

from almondstack.core import Clock, LocalMetrics
from almondstack.fold import Fold
from almondstack.model import EntryEnded, EntryFenced, EntryState, FleetState
from almondstack.permits.book import RecordSink
from almondstack.permits.guard import RECOVERY_LEAST_S

__all__ = ["RecoveryProposer", "gone_incarnations"]

_FENCE_AFTER_S = 1.0
_STEP_IN_S = 2.0
_REPEAT_S = 10.0
_CLOCK_MARGIN = 1.25


def gone_incarnations(state: FleetState, listed_names: Iterable[str] | None) -> set[str]:
    """Return incarnations whose instance is not listed or has a later incarnation.

    Parameters
    ----------
    state : FleetState
        Knows the incarnations.
    listed_names : iterable of str or None
        Names of the entry instances that the platform lists; None if that is
        not known, and then only a later incarnation shows that one is gone.
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
    """Fences gone incarnations and says when their work has ended.

    Parameters
    ----------
    incarnation : str
        Who proposes.
    fold : Fold
        Knows the incarnations and the run-time bounds.
    sink : RecordSink
        Appends records.
    clock : Clock
        Measures how long an incarnation has been gone.
    metrics : LocalMetrics
        Counts proposals.
    """

    __slots__ = (
        "_bound_s",
        "_clock",
        "_fold",
        "_gone_since_s",
        "_incarnation",
        "_metrics",
        "_proposed_s",
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
        self._bound_s = RECOVERY_LEAST_S
        self._gone_since_s: dict[str, float] = {}
        self._proposed_s: dict[tuple[str, type], float] = {}

    def tick(self, gone: set[str]) -> None:
        """Propose what is due.

        Parameters
        ----------
        gone : set of str
            Incarnations that are gone according to a list just read.
        """
        now_s = self._clock.monotonic()
        kept = {name: since for name, since in self._gone_since_s.items() if name in gone}
        self._gone_since_s = {name: kept.get(name, now_s) for name in gone}
        with self._fold.lock:
            state = self._fold.state
            for pool in state.pools.values():
                self._bound_s = max(self._bound_s, pool.run_time_bound_s)
            for name, since_s in sorted(self._gone_since_s.items()):
                if name != self._incarnation and self._incarnation in state.entries:
                    self._propose(state, name, now_s - since_s)

    def _propose(self, state: FleetState, name: str, gone_s: float) -> None:
        delay_s = self._rank(state, name) * _STEP_IN_S
        entry, settlement = state.entries.get(name), state.settlements.get(name)
        if entry is not None and entry.is_live:
            if gone_s >= _FENCE_AFTER_S + delay_s:
                self._submit(name, EntryFenced(name, "the instance is not listed"))
            return
        is_open = settlement is not None and not settlement.is_ended
        if is_open and gone_s >= self._bound_s * _CLOCK_MARGIN + delay_s:
            self._submit(name, EntryEnded(name, "the run-time bound has passed"))

    def _submit(self, name: str, body: EntryFenced | EntryEnded) -> None:
        now_s = self._clock.monotonic()
        last_s = self._proposed_s.get((name, type(body)), float("-inf"))
        if now_s - last_s >= _REPEAT_S:
            self._proposed_s[(name, type(body))] = now_s
            self._sink.submit(body)
            self._metrics.count("permits.recovery-proposed")

    def _rank(self, state: FleetState, name: str) -> int:
        """Return how many live entries come before this one as proposers for ``name``."""
        live = [entry.incarnation for entry in state.live_entries()]
        order = sorted(live, key=lambda item: xxhash.xxh64_intdigest(f"{name}|{item}".encode()))
        return order.index(self._incarnation) if self._incarnation in order else len(order)
