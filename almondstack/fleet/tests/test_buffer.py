"""Tests of the spare buffer plan against an integer program and an exhaustive search."""

import itertools

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st
from scipy.optimize import Bounds, LinearConstraint, milp

from almondstack.fleet import Demand, need_of_domain, plan_buffer
from almondstack.model import InstanceState, Pool
from almondstack.testing.builders import make_instance

_RACK_ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"}


def _optimum(demand):
    """Return the least number of spares for any single loss, computed by an integer program."""
    racks = sorted(demand.rack_zones)
    domains = racks + (sorted(set(demand.rack_zones.values())) if demand.is_zone_loss else [])
    rows = [
        [float(domain not in (rack, demand.rack_zones[rack])) for rack in racks]
        for domain in domains
    ]
    needs = [need_of_domain(demand, domain) for domain in domains]
    room = np.array([float(demand.rack_room.get(rack, 0)) for rack in racks])
    result = milp(
        np.ones(len(racks)),
        integrality=np.ones(len(racks)),
        bounds=Bounds(0, room),
        constraints=LinearConstraint(np.array(rows), np.array(needs, dtype=float), np.inf),
    )
    return round(result.fun) if result.success else None


@st.composite
def _demands(draw):
    pools, placed = [], {}
    numbers = itertools.count()
    for name in ("score", "match", "pay")[: draw(st.integers(1, 3))]:
        racks = draw(st.lists(st.sampled_from(sorted(_RACK_ZONES)), min_size=1, max_size=6))
        specs = [
            make_instance(f"u{next(numbers)}", pool=name, rack=rack, zone=_RACK_ZONES[rack])
            for rack in racks
        ]
        placed[name] = [InstanceState(spec=spec, pool=name) for spec in specs]
        least = draw(st.integers(0, len(racks)))
        pools.append(Pool(name=name, min_serving=least, size=len(racks)))
    room = {rack: draw(st.integers(0, 4)) for rack in _RACK_ZONES}
    return Demand(
        pools=tuple(pools),
        placed=placed,
        rack_zones=_RACK_ZONES,
        rack_room=room,
        wave_out=draw(st.integers(0, 3)),
        is_zone_loss=draw(st.booleans()),
    )


@given(_demands())
@settings(max_examples=150)
def test_plan_equals_optimum_of_integer_program(demand):
    plan = plan_buffer(demand)
    assert plan.spares == _optimum(demand)
    if plan.spares is not None:
        assert sum(plan.by_rack.values()) == plan.spares


@given(_demands())
@settings(max_examples=100)
def test_need_is_that_of_the_worst_wave(demand):
    """The computed need equals the largest over all distributions of the wave over pools."""
    for domain in ("a", "b1"):
        needs = []
        ranges = [
            range(max(len(demand.placed[pool.name]) - pool.min_serving, 0) + 1)
            for pool in demand.pools
        ]
        for outs in itertools.product(*ranges):
            if sum(outs) <= demand.wave_out:
                needs.append(_need_with(demand, domain, outs))
        assert need_of_domain(demand, domain) == max(needs)


def _need_with(demand, domain, outs):
    need = 0
    for pool, out in zip(demand.pools, outs, strict=True):
        owned = demand.placed[pool.name]
        left = sum(domain not in (item.spec.rack, item.spec.zone) for item in owned)
        need += max(pool.min_serving - left + out, 0)
    return need
