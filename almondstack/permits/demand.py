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
from almondstack.permits.targets import even_share, floor_share

__all__ = ["UNMET_DEMAND_TTL_S", "DemandPlanner", "HolderHints"]

_RATE_INTERVAL_S = 1.0
_FULL_CHECK_INTERVAL_S = 5.0
_MAX_HINTED_PEERS = 2
_EVEN_SHARE_DIVISOR = 2
_HINT_TIMEOUT_S = 0.02
_FLOOR_INTERVAL_S = 5.0


class _SentRequest(msgspec.Struct):
    """Which peers know of a wish."""

    sent_s: float
    peers: set[str]
    is_hinted: bool


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
        "_clock",
        "_floors",
        "_floors_requested_s",
        "_floors_version",
        "_incarnation",
        "_last_acquired",
        "_last_check",
        "_peer_index",
        "_pending_draws",
        "_rates",
        "_rates_measured_s",
        "_sent_requests",
        "_settings",
    )

    def __init__(self, settings: PermitSettings, incarnation: str, clock: Clock) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._sent_requests: dict[str, _SentRequest] = {}
        self._pending_draws: list[tuple[int, frozenset[str]]] = []
        self._floors: dict[str, int] = {}
        self._floors_requested_s = clock.monotonic()
        self._floors_version: tuple[int, tuple[str, ...]] = (-1, ())
        self._rates_measured_s = clock.monotonic()
        self._rates: dict[str, int] = {}
        self._last_check: tuple[int, float] = (-1, float("-inf"))
        self._last_acquired: dict[str, int] = {}
        self._peer_index = 0

    def is_request_due(self, resource: str) -> bool:
        """Return True if peers were not asked for ``resource`` of late."""
        previous = self._sent_requests.get(resource)
        if previous is None:
            return True
        return self._clock.monotonic() - previous.sent_s >= self._settings.ask_interval_s

    @property
    def plan_interval_s(self) -> float:
        """Longest time until the next plan, in seconds."""
        is_hinted = any(item.is_hinted for item in list(self._sent_requests.values()))
        return _HINT_TIMEOUT_S if is_hinted else self._settings.tick_s

    def used_rate(self, resource: str) -> int:
        """Return how many permits of a rate were in use in the last interval."""
        return self._rates.get(resource, 0)

    def measure_rates(self, table: PermitTable) -> None:
        """Measure the use of rates, about once a second."""
        now_s = self._clock.monotonic()
        elapsed_s = now_s - self._rates_measured_s
        if elapsed_s < _RATE_INTERVAL_S:
            return
        self._rates_measured_s = now_s
        for name in filter(is_rate, table.resources()):
            acquired = table.holding(name).acquired
            used = acquired - self._last_acquired.get(name, 0)
            self._last_acquired[name] = acquired
            self._rates[name] = -(-used // max(1, int(elapsed_s)))

    def drop_decided_draws(self, sequence: int) -> None:
        """Forget the draws up to ``sequence``, on which the fold has decided."""
        self._pending_draws = [item for item in self._pending_draws if item[0] > sequence]

    def record_draw(self, sequence: int, body: PermitsDrawn) -> None:
        """Remember a draw that is not folded yet."""
        names = frozenset(item.resource for item in body.items)
        self._pending_draws.append((sequence, names))

    def plan_draw(
        self, state: FleetState, offset: int, entry: EntryState, table: PermitTable
    ) -> PermitsDrawn | None:
        """Return the draw to submit, if any."""
        pending = frozenset().union(*(names for _, names in self._pending_draws))
        items = []
        for name in self._resources_to_check(state, offset, table):
            if name in pending or not unallocated_count(state, name):
                continue
            item = table.holding(name)
            wanted = max(
                -(-even_share(state, name, entry) // _EVEN_SHARE_DIVISOR) - item.held,
                floor_share(state, name, entry) - _drawn(state, name, entry),
                self._shortage(item),
            )
            count = min(wanted, available_count(state, name, entry.zone))
            if count > 0:
                items.append(PermitCount(name, count))
        return PermitsDrawn(tuple(items)) if items else None

    def plan_requests(
        self, state: FleetState, entry: EntryState, table: PermitTable, hints: HolderHints
    ) -> dict[str, tuple[PermitCount, ...]]:
        """Return, by peer, how many permits to ask it for; 0 ends an earlier wish."""
        others = [item.incarnation for item in state.live_entries()]
        others.remove(self._incarnation)
        wanted = self._wanted_counts(state, entry, table)
        requests: dict[str, list[PermitCount]] = {}
        for name in [name for name in self._sent_requests if name not in wanted]:
            for peer in self._sent_requests.pop(name).peers:
                requests.setdefault(peer, []).append(PermitCount(name, 0))
        for name, count in wanted.items():
            for peer in self._peers_to_request_from(name, hints, others):
                requests.setdefault(peer, []).append(PermitCount(name, count))
        return {peer: tuple(items) for peer, items in requests.items()}

    def _resources_to_check(self, state: FleetState, offset: int, table: PermitTable) -> list[str]:
        now_s = self._clock.monotonic()
        last_offset, last_s = self._last_check
        if offset != last_offset or now_s - last_s >= _FULL_CHECK_INTERVAL_S:
            self._last_check = (offset, now_s)
            return list(bounds_of(state))
        return [
            name for name in table.wanted_resources() if self._shortage(table.holding(name)) > 0
        ]

    def _wanted_counts(
        self, state: FleetState, entry: EntryState, table: PermitTable
    ) -> dict[str, int]:
        pending = frozenset().union(*(names for _, names in self._pending_draws))
        floors = self._floors_to_request(state, entry)
        wanted = {}
        for name in floors.keys() | set(table.wanted_resources()):
            item = table.holding(name)
            count = max(self._shortage(item), floors.get(name, 0) - item.held)
            if count > 0 and (name not in pending or name in self._sent_requests):
                wanted[name] = count
        return wanted

    def _shortage(self, item: Holding) -> int:
        has_recent_failure = self._clock.monotonic() - item.last_failure_s < UNMET_DEMAND_TTL_S
        return max(item.waiting, int(has_recent_failure)) - max(0, item.held - item.used)

    def _floors_to_request(self, state: FleetState, entry: EntryState) -> dict[str, int]:
        """Return the floor parts once in an interval, and nothing in between.

        Explanation
        -----------
        A wish that only fills a floor must be rare, lest permits move in a
        circle between entries that nobody asks anything of.
        """
        now_s = self._clock.monotonic()
        if now_s - self._floors_requested_s < _FLOOR_INTERVAL_S:
            return {}
        self._floors_requested_s = now_s
        return self._floor_shares(state, entry)

    def _floor_shares(self, state: FleetState, entry: EntryState) -> dict[str, int]:
        live = tuple(item.incarnation for item in state.live_entries())
        if self._floors_version != (state.revision, live):
            self._floors_version = (state.revision, live)
            parts = {name: floor_share(state, name, entry) for name in bounds_of(state)}
            self._floors = {name: count for name, count in parts.items() if count}
        return self._floors

    def _peers_to_request_from(self, name: str, hints: HolderHints, others: list[str]) -> list[str]:
        """Return the likely holders first, and soon after that everyone in turn."""
        now_s = self._clock.monotonic()
        previous = self._sent_requests.get(name)
        if previous is None:
            holders = [peer for peer in hints.holders_of(name) if peer in others]
            chosen = holders[:_MAX_HINTED_PEERS] or self._next_peers(others)
            self._sent_requests[name] = _SentRequest(now_s, set(chosen), is_hinted=bool(holders))
            return chosen
        interval_s = _HINT_TIMEOUT_S if previous.is_hinted else self._settings.ask_interval_s
        if now_s - previous.sent_s < interval_s:
            return []
        chosen = self._next_peers(others)
        previous.sent_s, previous.is_hinted = now_s, False
        previous.peers.update(chosen)
        return chosen

    def _next_peers(self, others: list[str]) -> list[str]:
        count = self._settings.ask_fan_out
        if len(others) <= count:
            return others
        self._peer_index += count
        start = self._peer_index % len(others)
        return (others + others)[start : start + count]


def _drawn(state: FleetState, resource: str, entry: EntryState) -> int:
    """Return what the log counts for ``entry``; the fold reserves floors by this."""
    account = state.permits.get(resource)
    return account.drawn.get(entry.incarnation, 0) if account else 0
