"""Values at the edge of the ranges of what operators write, in an owner's rounds."""

import json

from hypothesis import given, settings
from hypothesis import strategies as st

from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.placement import AccountPolicy
from almondstack.placement.backlog import Backlog
from almondstack.platform.configuration import ConfigurationError, ConfigurationHolder
from almondstack.testing.job_builders import make_job, make_step
from almondstack.testing.owner_world import OwnerWorld

_NUMBERS = st.sampled_from([-1, 0, 1, 2, 1_000, 2**31, 2**62])
_FRACTIONS = st.sampled_from([-1.0, 0.0, 1e-9, 0.5, 1.0, 1e9])
_TENANTS = st.fixed_dictionaries(
    {"name": st.sampled_from(["a", "b"]), "weight": _FRACTIONS},
    optional={
        "maximum": st.fixed_dictionaries({}, optional={"cpu": _NUMBERS, "mem-mb": _NUMBERS}),
        "api-keys": st.lists(st.text(max_size=3), max_size=2),
    },
)
_ROUTES = st.fixed_dictionaries(
    {"name": st.just("q"), "host": st.text(max_size=3), "service": st.sampled_from(["p", "", "x"])},
    optional={
        "priority": _NUMBERS,
        "max-attempts": _NUMBERS,
        "stretch": _FRACTIONS,
        "target-latency-ms": _NUMBERS,
        "timeout-ms": _NUMBERS,
    },
)
_CONFIGURATIONS = st.fixed_dictionaries(
    {"version": _NUMBERS, "tenants": st.lists(_TENANTS, min_size=1, max_size=3)},
    optional={
        "routes": st.lists(_ROUTES, max_size=2),
        "services": st.lists(
            st.fixed_dictionaries(
                {"name": st.sampled_from(["p", "x", ""])}, optional={"standby": st.booleans()}
            ),
            max_size=2,
        ),
    },
)
_WAVES = st.fixed_dictionaries(
    {"wave": _NUMBERS, "machines": st.lists(st.sampled_from(["m", "n", ""]), max_size=3)},
    optional={"duration-s": _FRACTIONS, "maximum": _NUMBERS},
)


def _world(configuration, waves, zones):
    """Return a world whose owner sees what an operator wrote, as far as it can be decoded."""
    world = OwnerWorld()
    holder = ConfigurationHolder()
    for put, value in [
        (holder.put_configuration, configuration),
        *((holder.put_wave, wave) for wave in waves),
    ]:
        try:
            put(json.dumps(value).encode())
        except ConfigurationError:
            continue
    for zone in zones:
        holder.set_evacuation(zone, is_requested=True)
    if holder.configuration is not None:
        world.policies = holder.policies()
    return world, holder


@settings(max_examples=150, deadline=None)
@given(_CONFIGURATIONS, st.lists(_WAVES, max_size=2), st.lists(st.sampled_from(["", "a"])))
def test_no_value_that_an_operator_writes_ends_the_owner(configuration, waves, zones):
    """Guards against a value that ends each owner in turn, as a weight of 0 did."""
    world, holder = _world(configuration, waves, zones)
    with world.patched():
        process = world.processes[0]
        process.claim()
        fleet = process.owner.parts.fleet
        fleet._services.directory.waves = holder.waves
        fleet._services.directory.evacuated_zones = holder.evacuated_zones
        instances = [
            InstanceInfo(name, "p", InstanceState.UP, "a", "r", 4_000, f"w{number}")
            for number, name in enumerate(["m", "n"], 1)
        ]
        fleet._manager._instances = {info.name: info for info in instances}
        fleet._manager._listed_s = fleet._manager._list_requested_s = world.clock.now_s
        now_ms = int(world.clock.time() * 1000.0)
        process.owner.rounds.activate(make_job(make_step(40), accepted_ms=now_ms, pool="p"))
        for _ in range(5):
            process.owner.parts.planner.plan(world.clock.now_s, world.clock.time() * 1000.0)
            fleet._decide(world.clock.now_s)
            world.pass_time(0.5)


def test_an_account_of_weight_0_waits_but_is_served():
    """Guards against an owner that ends with each claim while such an account waits."""
    backlog = Backlog(1_000)
    job = make_job(make_step(4), account="a")
    job.steps_of(0)
    backlog.add(job)
    backlog.note_waiting()
    waits_ms = backlog.waits_ms({"a": AccountPolicy("a", weight=0.0)})
    assert 3_800 <= waits_ms["a"] <= 4_000
