"""Decides what to draw and whom to ask, from what calls wait for.

Explanation
-----------
An entry draws half of its even part, and its part of the zone's floor, before
anything waits.  The other half stays in the log for those who need more, since
what a lost entry held is missing until its work has surely ended.  Beyond that
an entry draws and asks for what its waiting calls need.  A resource counts as wanted for
:data:`UNMET_DEMAND_TTL_S` after an attempt to take it failed.
"""

from typing import Protocol

import msgspec

from almondstack.core import Clock
from almondstack.fold import unallocated_count
from almondstack.fold.permits_floors import available_count
from almondstack.model import (
    EntryState,
    FleetState,
    PermitCount,
    PermitsDrawn,
    bounds_of,
    is_rate,
)
from almondstack.permits.settings import PermitSettings
from almondstack.permits.table import UNMET_DEMAND_TTL_S, Holding, PermitTable
from almondstack.permits.targets import even_part, floor_part

__all__ = ["UNMET_DEMAND_TTL_S", "DemandPlanner", "HolderHints"]

_RATE_INTERVAL_S = 1.0
_SCAN_INTERVAL_S = 5.0
_HINTED_PEERS = 2
_EVEN_DIVISOR = 2
_WIDEN_S = 0.02
_FLOOR_INTERVAL_S = 5.0


class _Asked(msgspec.Struct):
    """Which peers know of a wish."""

    asked_s: float
    peers: set[str]
    is_narrow: bool


class HolderHints(Protocol):
    """Knows which peers have permits to spare."""

    def holders_of(self, resource: str) -> list[str]:
        """Return peers that said they have permits to spare, most first."""
        ...


class DemandPlanner:
    """Plans the draws and asks of one incarnation; guarded by the lock of the table.

    Parameters
    ----------
    settings : PermitSettings
        Intervals and fan-out.
    incarnation : str
        Who plans.
    clock : Clock
        Measures intervals.
    """

    __slots__ = (
        "_asked",
        "_clock",
        "_drawing",
        "_floors",
        "_floors_key",
        "_floors_s",
        "_incarnation",
        "_observed_s",
        "_rates",
        "_scanned",
        "_settings",
        "_taken",
        "_turn",
    )

    def __init__(self, settings: PermitSettings, incarnation: str, clock: Clock) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._asked: dict[str, _Asked] = {}
        self._drawing: list[tuple[int, frozenset[str]]] = []
        self._floors: dict[str, int] = {}
        self._floors_s = clock.monotonic()
        self._floors_key: tuple[int, tuple[str, ...]] = (-1, ())
        self._observed_s = clock.monotonic()
        self._rates: dict[str, int] = {}
        self._scanned: tuple[int, float] = (-1, float("-inf"))
        self._taken: dict[str, int] = {}
        self._turn = 0

    def is_ask_due(self, resource: str) -> bool:
        """Return True if peers were not asked for ``resource`` of late."""
        known = self._asked.get(resource)
        if known is None:
            return True
        return self._clock.monotonic() - known.asked_s >= self._settings.ask_interval_s

    @property
    def next_step_s(self) -> float:
        """Longest time until the next plan, in seconds."""
        is_narrow = any(item.is_narrow for item in list(self._asked.values()))
        return _WIDEN_S if is_narrow else self._settings.tick_s

    def used_rate(self, resource: str) -> int:
        """Return how many permits of a rate were in use in the last interval."""
        return self._rates.get(resource, 0)

    def observe(self, table: PermitTable) -> None:
        """Measure the use of rates, about once a second."""
        now_s = self._clock.monotonic()
        elapsed_s = now_s - self._observed_s
        if elapsed_s < _RATE_INTERVAL_S:
            return
        self._observed_s = now_s
        for name in filter(is_rate, table.resources()):
            taken = table.holding(name).taken
            used = taken - self._taken.get(name, 0)
            self._taken[name] = taken
            self._rates[name] = -(-used // max(1, int(elapsed_s)))

    def drop_folded(self, sequence: int) -> None:
        """Forget the draws up to ``sequence``, on which the fold has decided."""
        self._drawing = [item for item in self._drawing if item[0] > sequence]

    def note_draw(self, sequence: int, body: PermitsDrawn) -> None:
        """Remember a draw that is not folded yet."""
        names = frozenset(item.resource for item in body.items)
        self._drawing.append((sequence, names))

    def plan_draw(
        self, state: FleetState, offset: int, entry: EntryState, table: PermitTable
    ) -> PermitsDrawn | None:
        """Return the draw to submit, if any."""
        pending = frozenset().union(*(names for _, names in self._drawing))
        items = []
        for name in self._to_scan(state, offset, table):
            if name in pending or not unallocated_count(state, name):
                continue
            item = table.holding(name)
            wanted = max(
                -(-even_part(state, name, entry) // _EVEN_DIVISOR) - item.held,
                floor_part(state, name, entry) - _drawn(state, name, entry),
                self._shortage(item),
            )
            count = min(wanted, available_count(state, name, entry.zone))
            if count > 0:
                items.append(PermitCount(name, count))
        return PermitsDrawn(tuple(items)) if items else None

    def plan_asks(
        self, state: FleetState, entry: EntryState, table: PermitTable, hints: HolderHints
    ) -> dict[str, tuple[PermitCount, ...]]:
        """Return, by peer, how many permits to ask it for; 0 ends an earlier wish."""
        others = [item.incarnation for item in state.live_entries()]
        others.remove(self._incarnation)
        wanted = self._wanted(state, entry, table)
        wishes: dict[str, list[PermitCount]] = {}
        for name in [name for name in self._asked if name not in wanted]:
            for peer in self._asked.pop(name).peers:
                wishes.setdefault(peer, []).append(PermitCount(name, 0))
        for name, count in wanted.items():
            for peer in self._peers_to_ask(name, hints, others):
                wishes.setdefault(peer, []).append(PermitCount(name, count))
        return {peer: tuple(items) for peer, items in wishes.items()}

    def _to_scan(self, state: FleetState, offset: int, table: PermitTable) -> list[str]:
        now_s = self._clock.monotonic()
        last_offset, last_s = self._scanned
        if offset != last_offset or now_s - last_s >= _SCAN_INTERVAL_S:
            self._scanned = (offset, now_s)
            return list(bounds_of(state))
        return [name for name in table.wanting() if self._shortage(table.holding(name)) > 0]

    def _wanted(self, state: FleetState, entry: EntryState, table: PermitTable) -> dict[str, int]:
        pending = frozenset().union(*(names for _, names in self._drawing))
        floors = self._due_floors(state, entry)
        wanted = {}
        for name in floors.keys() | set(table.wanting()):
            item = table.holding(name)
            count = max(self._shortage(item), floors.get(name, 0) - item.held)
            if count > 0 and (name not in pending or name in self._asked):
                wanted[name] = count
        return wanted

    def _shortage(self, item: Holding) -> int:
        has_missed = self._clock.monotonic() - item.missed_s < UNMET_DEMAND_TTL_S
        return max(item.waiting, int(has_missed)) - max(0, item.held - item.used)

    def _due_floors(self, state: FleetState, entry: EntryState) -> dict[str, int]:
        """Return the floor parts once in an interval, and nothing in between.

        Explanation
        -----------
        A wish that only fills a floor must be rare, lest permits move in a
        circle between entries that nobody asks anything of.
        """
        now_s = self._clock.monotonic()
        if now_s - self._floors_s < _FLOOR_INTERVAL_S:
            return {}
        self._floors_s = now_s
        return self._floor_parts(state, entry)

    def _floor_parts(self, state: FleetState, entry: EntryState) -> dict[str, int]:
        live = tuple(item.incarnation for item in state.live_entries())
        if self._floors_key != (state.revision, live):
            self._floors_key = (state.revision, live)
            parts = {name: floor_part(state, name, entry) for name in bounds_of(state)}
            self._floors = {name: count for name, count in parts.items() if count}
        return self._floors

    def _peers_to_ask(self, name: str, hints: HolderHints, others: list[str]) -> list[str]:
        """Return the likely holders first, and soon after that everyone in turn."""
        now_s = self._clock.monotonic()
        known = self._asked.get(name)
        if known is None:
            holders = [peer for peer in hints.holders_of(name) if peer in others]
            chosen = holders[:_HINTED_PEERS] or self._next_peers(others)
            self._asked[name] = _Asked(now_s, set(chosen), is_narrow=bool(holders))
            return chosen
        interval_s = _WIDEN_S if known.is_narrow else self._settings.ask_interval_s
        if now_s - known.asked_s < interval_s:
            return []
        chosen = self._next_peers(others)
        known.asked_s, known.is_narrow = now_s, False
        known.peers.update(chosen)
        return chosen

    def _next_peers(self, others: list[str]) -> list[str]:
        count = self._settings.ask_fan_out
        if len(others) <= count:
            return others
        self._turn += count
        start = self._turn % len(others)
        return (others + others)[start : start + count]


def _drawn(state: FleetState, resource: str, entry: EntryState) -> int:
    """Return what the log counts for ``entry``; the fold reserves floors by this."""
    account = state.permits.get(resource)
    return account.drawn.get(entry.incarnation, 0) if account else 0
