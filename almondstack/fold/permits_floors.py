"""Permits reserved for each zone, so that a zone cut off from the others can serve.

Explanation
-----------
Half of an upstream's slots are reserved for entries of its zone, since a zone
that is cut off reaches only its own upstreams.  Of a ceiling or a rate, each
zone's floor is a quarter of an even split and at least one permit, provided
that the bound is at least twice the number of zones.  A smaller bound has no
floors: any entry can draw all of it.
"""

from almondstack.model import FleetState, PermitAccount, bound_of, is_slots

__all__ = ["available_count", "debt_of", "home_zone", "unallocated_count", "zone_floors"]

_FLOOR_DIVISOR = 4
_MIN_PER_ZONE = 2
_SLOTS_FLOOR_DIVISOR = 2


def unallocated_count(state: FleetState, resource: str) -> int:
    """Return how many permits no incarnation has drawn."""
    total = state.permits.get(resource, PermitAccount()).total
    return max(0, bound_of(state, resource) - total)


def debt_of(state: FleetState, resource: str) -> int:
    """Return how many permits must be returned until the drawn total meets a lowered bound."""
    total = state.permits.get(resource, PermitAccount()).total
    return max(0, total - bound_of(state, resource))


def home_zone(state: FleetState, resource: str) -> str | None:
    """Return the zone of the upstream of a slots resource; None for other resources."""
    if not is_slots(resource):
        return None
    instance = state.instances.get(resource.partition("/")[2])
    return instance.spec.zone if instance else None


def zone_floors(state: FleetState, resource: str) -> dict[str, int]:
    """Return, by zone with live entries, the number of permits reserved for it."""
    zones = sorted({entry.zone for entry in state.live_entries()})
    bound = bound_of(state, resource)
    home = home_zone(state, resource)
    if home is not None:
        return {home: bound // _SLOTS_FLOOR_DIVISOR} if home in zones else {}
    if not zones or bound < _MIN_PER_ZONE * len(zones):
        return {}
    return dict.fromkeys(zones, max(1, bound // (_FLOOR_DIVISOR * len(zones))))


def available_count(state: FleetState, resource: str, zone: str) -> int:
    """Return how many unallocated permits an entry of ``zone`` may draw."""
    free = unallocated_count(state, resource)
    if not free:
        return 0
    by_zone = _drawn_by_zone(state, resource)
    floors = zone_floors(state, resource)
    reserved = sum(
        max(0, floor - by_zone.get(name, 0)) for name, floor in floors.items() if name != zone
    )
    return max(0, free - reserved)


def _drawn_by_zone(state: FleetState, resource: str) -> dict[str, int]:
    by_zone: dict[str, int] = {}
    for incarnation, count in state.permits.get(resource, PermitAccount()).drawn.items():
        entry = state.entries.get(incarnation)
        if entry is not None:
            by_zone[entry.zone] = by_zone.get(entry.zone, 0) + count
    return by_zone
