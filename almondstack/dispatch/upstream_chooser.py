"""Selects the upstream that runs the next call of a pool.

Explanation
-----------
Upstreams that are leaving, ejected, or without a free slot permit at this entry
are excluded.  The others are ranked: upstreams that have not failed this call
come before those that have, unsuspected before suspected ones, the entry's own
zone before other zones (by added latency), and then the upstream with the most
free permits.
"""

from almondstack.core import NodeSettings
from almondstack.dispatch.departures import DepartureTracker
from almondstack.dispatch.health import HealthTracker
from almondstack.dispatch.settings import DispatchSettings
from almondstack.fold import Fold
from almondstack.model import InstanceState
from almondstack.permits import Permits, slots_resource

__all__ = ["UpstreamChooser"]


class _Candidate:
    """An upstream that accepts work, with the permit resource of its slots."""

    __slots__ = ("instance", "name", "resource")

    def __init__(self, instance: InstanceState) -> None:
        self.instance = instance
        self.name = instance.name
        self.resource = slots_resource(instance.name)


class UpstreamChooser:
    """Selects upstreams of a pool.

    Parameters
    ----------
    settings : DispatchSettings
        Added latency of other zones.
    node : NodeSettings
        Availability zone of this entry.
    fold : Fold
        Current state of the instances.
    permits : Permits
        Slot permits of this entry.
    health : HealthTracker
        Health of the upstreams.
    departures : DepartureTracker
        Upstreams that are leaving.
    """

    __slots__ = (
        "_by_pool",
        "_departures",
        "_fold",
        "_health",
        "_offset",
        "_permits",
        "_reported_demand",
        "_settings",
        "_turn",
        "_zone",
    )

    def __init__(
        self,
        settings: DispatchSettings,
        node: NodeSettings,
        fold: Fold,
        permits: Permits,
        health: HealthTracker,
        departures: DepartureTracker,
    ) -> None:
        self._settings = settings
        self._zone = node.zone
        self._fold = fold
        self._permits = permits
        self._health = health
        self._departures = departures
        self._turn = 0
        self._offset = -1
        self._by_pool: dict[str, list[_Candidate]] = {}
        self._reported_demand: dict[str, int] = {}

    def choose(self, pool: str, avoid: frozenset[str]) -> InstanceState | None:
        """Return the best upstream with a free slot permit at this entry, or None."""
        best: InstanceState | None = None
        best_rank: tuple[bool, bool, float, int, int] | None = None
        candidates = self._candidates(pool)
        for place, candidate in enumerate(candidates):
            free = self._free_slots(candidate)
            if free <= 0:
                continue
            rank = (
                candidate.name in avoid,
                self._health.is_suspected(candidate.name),
                self._cost_ms(candidate.instance),
                -free,
                (place + self._turn) % len(candidates),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = candidate.instance, rank
        return best

    def has_room(self, pool: str) -> bool:
        """Return True if :meth:`choose` would find an upstream."""
        return any(self._free_slots(candidate) > 0 for candidate in self._candidates(pool))

    def accepting(self, pool: str) -> list[InstanceState]:
        """Return the upstreams of ``pool`` that accept work according to the log."""
        return [candidate.instance for candidate in self._candidates(pool)]

    def accepting_names(self, pool: str) -> list[str]:
        """Return the names of the upstreams that :meth:`accepting` returns."""
        return [instance.name for instance in self.accepting(pool)]

    def slots_held(self, pool: str) -> int:
        """Return how many slot permits of ``pool`` this entry holds."""
        return sum(
            self._permits.held_count(candidate.resource) for candidate in self._candidates(pool)
        )

    def note_start(self, instance: str) -> None:
        """Record that a call starts on ``instance``."""
        self._turn += 1
        self._health.note_start(instance)

    def note_waiting(self, pool: str, waiting: int) -> None:
        """Report how many calls wait, so that slot permits move to this entry."""
        if self._reported_demand.get(pool, 0) == waiting:
            return
        self._reported_demand[pool] = waiting
        for candidate in self._candidates(pool):
            self._permits.set_demand(candidate.resource, waiting)

    def max_idle(self, instance: InstanceState) -> int:
        """Return how many idle connections the permits of this entry allow."""
        resource = slots_resource(instance.name)
        held = self._permits.held_count(resource)
        used = held - self._permits.free_count(resource)
        per_slot = instance.spec.connections // instance.spec.slots
        return max(0, held * per_slot - used)

    def _free_slots(self, candidate: _Candidate) -> int:
        free = self._permits.free_count(candidate.resource)
        if free <= 0 or self._departures.is_leaving(candidate.instance):
            return 0
        held = self._permits.held_count(candidate.resource)
        return free if self._health.may_accept(candidate.name, held - free, held) else 0

    def _cost_ms(self, instance: InstanceState) -> float:
        is_near = instance.spec.zone == self._zone
        return 0.0 if is_near else self._settings.zone_cost_ms

    def _candidates(self, pool: str) -> list[_Candidate]:
        if self._fold.next_offset != self._offset:
            self._refresh()
        return self._by_pool.get(pool, [])

    def _refresh(self) -> None:
        """Rebuild the candidates by pool; readmitted instances take up load gradually."""
        with self._fold.lock:
            offset = self._fold.next_offset
            instances = sorted(self._fold.state.instances.values(), key=lambda item: item.name)
        before = {item.name for items in self._by_pool.values() for item in items}
        is_first = self._offset < 0
        accepting: dict[str, list[_Candidate]] = {}
        for instance in instances:
            if not instance.is_taking_work:
                continue
            accepting.setdefault(instance.pool, []).append(_Candidate(instance))
            if not is_first and before and instance.name not in before:
                self._health.note_rejoined(instance.name)
        self._health.retain_only(item.name for item in instances)
        self._by_pool = accepting
        self._offset = offset
