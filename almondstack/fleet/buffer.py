"""Computes the least number of spare instances and their placement over racks.

Explanation
-----------
A failure domain is a rack or a zone.  When one domain is lost while a wave has
``wave_out`` instances out of service, pools may fall below their budgets; spares
outside the lost domain must replace the sum of these shortfalls.  Only one domain
is assumed lost at a time, so pools share the spares.

Racks nest within zones.  ``S`` spares can therefore be placed if independent
upper bounds allow it: domain ``D`` may hold at most ``S - need(D)`` of them.  The
first ``S`` for which the bounds add up to ``S`` is the optimum; the tests compare
it with an integer program.
"""

import msgspec

from almondstack.model import FleetState, InstanceState, Pool

__all__ = ["BufferPlan", "Demand", "demand_of", "need_of_domain", "plan_buffer"]


class Demand(msgspec.Struct, frozen=True, kw_only=True):
    """Pools, instances and room that the buffer is computed from.

    Parameters
    ----------
    pools : tuple of Pool
        Pools with a budget; spare pools are excluded.
    placed : dict of str to list of InstanceState
        The instances of each pool that are not lost.
    rack_zones : dict of str to str
        The zone of each rack.
    rack_room : dict of str to int
        Number of spares that each rack can hold.
    wave_out : int
        Number of instances that a wave has out of service at once, over all pools.
    is_zone_loss : bool
        True if the loss of a whole zone is covered, besides the loss of a rack.
    """

    pools: tuple[Pool, ...]
    placed: dict[str, list[InstanceState]]
    rack_zones: dict[str, str]
    rack_room: dict[str, int]
    wave_out: int = 1
    is_zone_loss: bool = True


class BufferPlan(msgspec.Struct, frozen=True, kw_only=True):
    """The least number of spares and where to place them.

    Parameters
    ----------
    spares : int or None
        The least number; None if no placement preserves every budget.
    by_rack : dict of str to int
        A placement of that number: spares per rack.
    worst_domain : str
        The domain whose loss needs the most spares.
    worst_need : int
        Spares that this loss needs; a lower bound of ``spares``.
    """

    spares: int | None
    by_rack: dict[str, int]
    worst_domain: str
    worst_need: int


def demand_of(state: FleetState, wave_out: int = 1, is_zone_loss: bool = True) -> Demand:
    """Return the demand of a fleet; the room is where its spare instances are now."""
    pools = tuple(
        state.pools[name]
        for name in sorted(state.pools)
        if not state.pools[name].is_spare and name not in state.leaving_pools
    )
    placed: dict[str, list[InstanceState]] = {pool.name: [] for pool in pools}
    zones: dict[str, str] = {}
    room: dict[str, int] = {}
    for name in sorted(state.instances):
        item = state.instances[name]
        zones[item.spec.rack] = item.spec.zone
        if item.pool in placed and not item.is_lost:
            placed[item.pool].append(item)
        elif item.pool not in placed and not item.is_lost:
            room[item.spec.rack] = room.get(item.spec.rack, 0) + 1
    return Demand(
        pools=pools,
        placed=placed,
        rack_zones=zones,
        rack_room=room,
        wave_out=wave_out,
        is_zone_loss=is_zone_loss,
    )


def need_of_domain(demand: Demand, domain: str) -> int:
    """Return how many spares the loss of a rack or zone needs while a wave is in progress."""
    margins = []
    need = 0
    for pool in demand.pools:
        owned = demand.placed[pool.name]
        remaining = sum(domain not in (item.spec.rack, item.spec.zone) for item in owned)
        margin = remaining - pool.min_serving
        need += max(-margin, 0)
        margins.append((max(margin, 0), max(len(owned) - pool.min_serving, 0)))
    return need + _wave_need(margins, demand.wave_out)


def _wave_need(margins: list[tuple[int, int]], wave_out: int) -> int:
    """Return the shortfall of the worst wave: in the pools with the least margin after the loss."""
    need = 0
    for margin, most_out in sorted(margins):
        out = min(most_out, wave_out)
        need += max(out - margin, 0)
        wave_out -= out if out > margin else 0
    return need


def plan_buffer(demand: Demand) -> BufferPlan:
    """Return the least number of spares and a placement of them.

    Examples
    --------
    >>> from almondstack.fleet import demand_of, plan_buffer
    >>> from almondstack.testing.builders import make_fold
    >>> plan_buffer(demand_of(make_fold().state)).worst_need
    3
    """
    racks = sorted(demand.rack_zones)
    zones = sorted(set(demand.rack_zones.values())) if demand.is_zone_loss else []
    needs = {domain: need_of_domain(demand, domain) for domain in (*zones, *racks)}
    worst = max(needs, key=lambda domain: (needs[domain], domain), default="")
    lower_bound = needs.get(worst, 0)
    for spares in range(lower_bound, sum(demand.rack_room.values()) + 1):
        placement = _place_spares(demand, needs, spares)
        if placement is not None:
            return BufferPlan(
                spares=spares, by_rack=placement, worst_domain=worst, worst_need=lower_bound
            )
    return BufferPlan(spares=None, by_rack={}, worst_domain=worst, worst_need=lower_bound)


def _place_spares(demand: Demand, needs: dict[str, int], spares: int) -> dict[str, int] | None:
    """Place spares one by one in the least filled zone and rack within the bounds, None if full."""
    left_in_rack = {
        rack: min(room, spares - needs.get(rack, 0)) for rack, room in demand.rack_room.items()
    }
    left_in_zone = {zone: spares - needs.get(zone, 0) for zone in demand.rack_zones.values()}
    placed = dict.fromkeys(demand.rack_room, 0)
    in_zone = dict.fromkeys(left_in_zone, 0)
    for _ in range(spares):
        open_racks = [
            rack
            for rack, remaining in left_in_rack.items()
            if remaining > 0 and left_in_zone[demand.rack_zones[rack]] > 0
        ]
        if not open_racks:
            return None
        rack = min(
            open_racks, key=lambda name: (in_zone[demand.rack_zones[name]], placed[name], name)
        )
        zone = demand.rack_zones[rack]
        left_in_rack[rack] -= 1
        left_in_zone[zone] -= 1
        placed[rack] += 1
        in_zone[zone] += 1
    return {name: count for name, count in placed.items() if count}
