"""Plans which permits to draw from the log and which to request from peers.

Explanation
-----------
Before any call waits, an entry draws half of its even share and its share of
the zone's floor.  The other half stays unallocated for entries with more demand,
since the permits of a lost entry are unavailable until its work has surely
ended.  Beyond that, an entry draws and requests what its waiting calls need.
A resource counts as wanted for :data:`UNMET_DEMAND_TTL_S` after a failed attempt
to acquire it.
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
    """The latest permit request for one resource.

    Parameters
    ----------
    sent_s : float
        Monotonic time of the latest sending, in seconds.
    peers : set of str
        Incarnations that the request was sent to.
    is_hinted : bool
        True if it was sent only to peers that reported spare permits.
    """

    sent_s: float
    peers: set[str]
    is_hinted: bool


class HolderHints(Protocol):
    """Tells which peers have reported spare permits."""

    def holders_of(self, resource: str) -> list[str]:
        """Return peers that reported spare permits, those with most first."""
        ...


class DemandPlanner:
    """Plans the draws and requests of one incarnation; the caller holds the table's lock.

    Parameters
    ----------
    settings : PermitSettings
        Intervals and fan-out.
    incarnation : str
        Incarnation to plan for.
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
        """Return True if no request for ``resource`` was sent within ``ask_interval_s``."""
        previous = self._sent_requests.get(resource)
        if previous is None:
            return True
        return self._clock.monotonic() - previous.sent_s >= self._settings.ask_interval_s

    @property
    def plan_interval_s(self) -> float:
        """Maximum time until the next plan, in seconds."""
        is_hinted = any(item.is_hinted for item in list(self._sent_requests.values()))
        return _HINT_TIMEOUT_S if is_hinted else self._settings.tick_s

    def used_rate(self, resource: str) -> int:
        """Return the tokens of a rate acquired per second in the last interval."""
        return self._rates.get(resource, 0)

    def measure_rates(self, table: PermitTable) -> None:
        """Measure the use of rates if ``_RATE_INTERVAL_S`` seconds have passed."""
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
        """Drop the pending draws up to ``sequence``, which the fold has accepted or refused."""
        self._pending_draws = [item for item in self._pending_draws if item[0] > sequence]

    def record_draw(self, sequence: int, body: PermitsDrawn) -> None:
        """Add a submitted draw that is not folded yet."""
        names = frozenset(item.resource for item in body.items)
        self._pending_draws.append((sequence, names))

    def plan_draw(
        self, state: FleetState, offset: int, entry: EntryState, table: PermitTable
    ) -> PermitsDrawn | None:
        """Return the draw to submit, or None."""
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
        """Return the permits to request, by peer; a count of 0 withdraws a request."""
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
        """Return the floor shares once per interval, and an empty dict in between.

        Explanation
        -----------
        Requests that only fill a floor must be rare; otherwise permits circulate
        between entries without demand.
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
            shares = {name: floor_share(state, name, entry) for name in bounds_of(state)}
            self._floors = {name: count for name, count in shares.items() if count}
        return self._floors

    def _peers_to_request_from(self, name: str, hints: HolderHints, others: list[str]) -> list[str]:
        """Return the peers to send a request to now.

        The first request goes to peers with spare permits, if any are known.  The
        others follow in turn, after ``_HINT_TIMEOUT_S`` and then every
        ``ask_interval_s`` seconds.
        """
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
    """Return the permits drawn by ``entry``, by which the fold reserves floors."""
    account = state.permits.get(resource)
    return account.drawn.get(entry.incarnation, 0) if account else 0
