"""Share of each entry in a bound and in its zone's floor, independent of demand."""

import xxhash

from almondstack.fold import home_zone, zone_floors
from almondstack.model import EntryState, FleetState, bound_of

__all__ = ["even_share", "floor_share"]


def even_share(state: FleetState, resource: str, entry: EntryState) -> int:
    """Return the share of ``entry`` if the bound is split evenly.

    Explanation
    -----------
    Slots are split among the live entries of the upstream's zone, if there are
    any; other bounds among all live entries.  Rendezvous hashing (Thaler and
    Ravishankar 1998) selects the entries that get one permit of the remainder.
    """
    live = state.live_entries()
    home = home_zone(state, resource)
    in_zone = [item for item in live if item.zone == home]
    return _share(bound_of(state, resource), resource, in_zone or live, entry)


def floor_share(state: FleetState, resource: str, entry: EntryState) -> int:
    """Return the share of ``entry`` in the floor of its zone."""
    floor = zone_floors(state, resource).get(entry.zone, 0)
    if not floor:
        return 0
    members = [item for item in state.live_entries() if item.zone == entry.zone]
    return _share(floor, resource, members, entry)


def _share(count: int, resource: str, members: list[EntryState], entry: EntryState) -> int:
    if entry not in members:
        return 0
    order = sorted(members, key=lambda item: _weight(resource, item))
    each, remainder = divmod(count, len(members))
    return each + (order.index(entry) < remainder)


def _weight(resource: str, entry: EntryState) -> int:
    return xxhash.xxh64_intdigest(f"{resource}|{entry.incarnation}".encode())
