"""Choice of an upstream for the next start.

Explanation
-----------
Upstreams that leave, are ejected, or have no free slot permit here are left
out.  Among the rest: those that have not failed this call before those that
have, unsuspected before suspected, the own zone before others by added latency,
and then the one with the most free permits.
"""

from almondstack.core import NodeSettings
from almondstack.dispatch.departures import Departures
from almondstack.dispatch.health import HealthBook
from almondstack.dispatch.settings import DispatchSettings
from almondstack.fold import Fold
from almondstack.model import InstanceState
from almondstack.permits import Permits, slots_resource

__all__ = ["UpstreamChooser"]


class _Taker:
    """An upstream that takes work, and the resource of its slots."""

    __slots__ = ("instance", "name", "resource")

    def __init__(self, instance: InstanceState) -> None:
        self.instance = instance
        self.name = instance.name
        self.resource = slots_resource(instance.name)


class UpstreamChooser:
    """Chooses upstreams of a pool.

    Parameters
    ----------
    settings : DispatchSettings
        The cost of other zones.
    node : NodeSettings
        Own zone.
    fold : Fold
        Knows instances.
    permits : Permits
        Slots.
    health : HealthBook
        Who fails.
    departures : Departures
        Who leaves.
    """

    __slots__ = (
        "_departures",
        "_fold",
        "_health",
        "_noted",
        "_offset",
        "_permits",
        "_settings",
        "_taking",
        "_turn",
        "_zone",
    )

    def __init__(
        self,
        settings: DispatchSettings,
        node: NodeSettings,
        fold: Fold,
        permits: Permits,
        health: HealthBook,
        departures: Departures,
    ) -> None:
        self._settings = settings
        self._zone = node.zone
        self._fold = fold
        self._permits = permits
        self._health = health
        self._departures = departures
        self._turn = 0
        self._offset = -1
        self._taking: dict[str, list[_Taker]] = {}
        self._noted: dict[str, int] = {}

    def choose(self, pool: str, avoid: frozenset[str]) -> InstanceState | None:
        """Return the best upstream with a free slot permit here, or None."""
        best: InstanceState | None = None
        best_rank: tuple[bool, bool, float, int, int] | None = None
        takers = self._takers(pool)
        for place, taker in enumerate(takers):
            free = self._free_slots(taker)
            if free <= 0:
                continue
            rank = (
                taker.name in avoid,
                self._health.is_suspected(taker.name),
                self._cost_ms(taker.instance),
                -free,
                (place + self._turn) % len(takers),
            )
            if best_rank is None or rank < best_rank:
                best, best_rank = taker.instance, rank
        return best

    def has_room(self, pool: str) -> bool:
        """Return True if :meth:`choose` would find an upstream."""
        return any(self._free_slots(taker) > 0 for taker in self._takers(pool))

    def taking(self, pool: str) -> list[InstanceState]:
        """Return the upstreams of ``pool`` that the log shows as taking work."""
        return [taker.instance for taker in self._takers(pool)]

    def names(self, pool: str) -> list[str]:
        """Return the names of :meth:`taking`."""
        return [instance.name for instance in self.taking(pool)]

    def slots_held(self, pool: str) -> int:
        """Return how many slot permits of ``pool`` are held here."""
        return sum(self._permits.held_count(taker.resource) for taker in self._takers(pool))

    def note_start(self, instance: str) -> None:
        """Take note that a call starts on ``instance``."""
        self._turn += 1
        self._health.note_start(instance)

    def note_waiting(self, pool: str, waiting: int) -> None:
        """Say how many calls wait, so that slot permits move here."""
        if self._noted.get(pool, 0) == waiting:
            return
        self._noted[pool] = waiting
        for taker in self._takers(pool):
            self._permits.set_demand(taker.resource, waiting)

    def most_idle(self, instance: InstanceState) -> int:
        """Return how many idle connections the permits held here allow."""
        resource = slots_resource(instance.name)
        held = self._permits.held_count(resource)
        used = held - self._permits.free_count(resource)
        per_slot = instance.spec.connections // instance.spec.slots
        return max(0, held * per_slot - used)

    def _free_slots(self, taker: _Taker) -> int:
        free = self._permits.free_count(taker.resource)
        if free <= 0 or self._departures.is_leaving(taker.instance):
            return 0
        held = self._permits.held_count(taker.resource)
        return free if self._health.may_take(taker.name, held - free, held) else 0

    def _cost_ms(self, instance: InstanceState) -> float:
        is_near = instance.spec.zone == self._zone
        return 0.0 if is_near else self._settings.zone_cost_ms

    def _takers(self, pool: str) -> list[_Taker]:
        if self._fold.next_offset != self._offset:
            self._refresh()
        return self._taking.get(pool, [])

    def _refresh(self) -> None:
        """Sort the instances by pool again, and ease those that came back in."""
        with self._fold.lock:
            offset = self._fold.next_offset
            instances = sorted(self._fold.state.instances.values(), key=lambda item: item.name)
        before = {item.name for items in self._taking.values() for item in items}
        is_first = self._offset < 0
        taking: dict[str, list[_Taker]] = {}
        for instance in instances:
            if not instance.is_taking_work:
                continue
            taking.setdefault(instance.pool, []).append(_Taker(instance))
            if not is_first and before and instance.name not in before:
                self._health.note_return(instance.name)
        self._health.forget_except(item.name for item in instances)
        self._taking = taking
        self._offset = offset
