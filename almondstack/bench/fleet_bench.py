"""``almondstack-bench fleet``: buffer, roll-out, moves and the planner's own cost.

Explanation
-----------
Real keepers run over a fake log and platform whose clock is moved by hand, so
durations are those of the modelled fleet and no figure depends on the machine
but the planner's processor time.
"""

import argparse
import math
import resource

import msgspec

from almondstack.bench.commands import bench_command
from almondstack.bench.fleet_model import FleetShape, deployment_shape, sized_shape
from almondstack.core import LocalMetrics, encode_json
from almondstack.fleet import FleetSettings, demand_of, need_of_domain, plan_buffer
from almondstack.fleet.schedule import due_times, hashed_due_times
from almondstack.model import FleetState, WavePhase, WaveSpec, WaveStarted
from almondstack.testing.fleet_world import WORLD_SETTINGS, FleetWorld

__all__ = ["measure_buffer", "measure_failures", "measure_rollout"]

_TICK_S = 2.0
_MOST_TICKS = 4000
_WEEKS_S = 7 * 7 * 86_400.0
_HOURS = 7 * 7 * 24
_POLICIES = ("spares", "alone", "budget")
_FIXED_SHARE = 0.10


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """One wave over a whole fleet.

    Parameters
    ----------
    ratio : float
        Roll-out time over the bound that the budgets allow.
    worst_lack : int
        Most instances that all pools together would have lacked, beyond the
        spares outside it, had a rack been lost at the worst moment.
    plan_ms, worst_plan_ms : float
        Processor time of a round's planning, mean and most, in milliseconds.
    """

    fleet: str
    policy: str
    rollout_s: float
    bound_s: float
    ratio: float
    moves: int
    done: int
    violations: int
    worst_lack: int
    plan_ms: float
    worst_plan_ms: float
    appends: int


class BufferCost(msgspec.Struct, frozen=True, kw_only=True):
    """Spare instances by policy, and what they cost over seven weeks."""

    fleet: str
    policy: str
    spares: int
    instance_hours: int
    uncovered_domains: int


class Failures(msgspec.Struct, frozen=True, kw_only=True):
    """Moves for lost instances."""

    fleet: str
    failed: int
    moves: int
    moves_per_failure: float
    violations: int


class Bunching(msgspec.Struct, frozen=True, kw_only=True):
    """Most instances due within one cycle, fleet-wide and in one pool."""

    fleet: str
    policy: str
    most_in_cycle: int
    most_in_pool: int
    over_budget: int


class _PlanTimes(LocalMetrics):
    """Keeps how long each round of planning took."""

    __slots__ = ("times_ms",)

    def __init__(self) -> None:
        super().__init__()
        self.times_ms: list[float] = []

    def timing_ms(self, name: str, milliseconds: float) -> None:
        """Keep the duration of one round's planning."""
        self.times_ms.append(milliseconds)


def _world(shape: FleetShape, policy: str) -> FleetWorld:
    settings = msgspec.structs.replace(
        WORLD_SETTINGS, wave_policy=policy, reboot_timeout_s=900.0, loss_pause_s=600.0
    )
    world = FleetWorld(shape.note, 1, settings, _PlanTimes)
    world.adopt_budgets()
    world.fleet.faults.drain_s = shape.drain_s
    world.fleet.faults.reboot_s = shape.reboot_s
    for _ in range(3):
        world.tick(_TICK_S)
    return world


def measure_rollout(shape: FleetShape, policy: str) -> Rollout:
    """Run one wave without a window over a fleet."""
    world = _world(shape, policy)
    started_s = world.clock.unix()
    world.submit(WaveStarted(WaveSpec(name="w", started_s=started_s)))
    worst = ticks = 0
    while world.state.waves["w"].phase is WavePhase.RUNNING and ticks < _MOST_TICKS:
        world.tick(_TICK_S)
        ticks += 1
        if ticks % 10 == 0:
            worst = max(worst, _lack(world.state))
    metrics = world.keepers[0].metrics
    times_ms = metrics.times_ms if isinstance(metrics, _PlanTimes) else []
    rollout_s = world.clock.unix() - started_s
    bound_s = _bound_s(shape, world.state)
    return Rollout(
        fleet=shape.name,
        policy=policy,
        rollout_s=rollout_s,
        bound_s=bound_s,
        ratio=round(rollout_s / bound_s, 3),
        moves=world.oracle.moves,
        done=len(world.state.waves["w"].done),
        violations=len(world.recount.violations) + len(world.oracle.violations),
        worst_lack=worst,
        plan_ms=round(sum(times_ms) / len(times_ms), 2),
        worst_plan_ms=round(max(times_ms), 2),
        appends=world.log.append_count,
    )


def _bound_s(shape: FleetShape, state: FleetState) -> float:
    """The slowest pool, with as many out at once as its budget lets go."""
    cycle_s = shape.drain_s + shape.reboot_s + WORLD_SETTINGS.return_bound_s
    rounds = [
        math.ceil(pool.size / max(pool.size - pool.min_serving, 1)) for pool in state.pools.values()
    ]
    return max(rounds) * cycle_s


def _lack(state: FleetState) -> int:
    """Lacks beyond the spares outside a rack, for the worst rack, from serving instances."""
    serving: dict[str, list[str]] = {name: [] for name in state.pools}
    for item in state.instances.values():
        if item.is_serving:
            serving[item.pool].append(item.spec.rack)
    worst = 0
    for rack in {item.spec.rack for item in state.instances.values()}:
        lack = spares = 0
        for name, pool in state.pools.items():
            left = sum(other != rack for other in serving[name])
            if pool.is_spare:
                spares += left
            else:
                lack += max(pool.min_serving - left, 0)
        worst = max(worst, lack - spares)
    return worst


def measure_buffer(shape: FleetShape, is_zone_loss: bool) -> list[BufferCost]:
    """Compare the least buffer with its lower bound and two fixed policies."""
    world = FleetWorld(shape.note, keepers=0)
    demand = demand_of(world.state, wave_out=1, is_zone_loss=is_zone_loss)
    room = {rack: 4 for rack in demand.rack_zones}
    plan = plan_buffer(msgspec.structs.replace(demand, rack_room=room))
    owned = sum(len(items) for items in demand.placed.values())
    spares = {
        "lower bound": plan.worst_need,
        "least, shared": plan.spares or 0,
        "one per pool": len(demand.pools),
        "a tenth": math.ceil(owned * _FIXED_SHARE),
    }
    domains = list(demand.rack_zones)
    if is_zone_loss:
        domains += sorted(set(demand.rack_zones.values()))
    needs = [need_of_domain(demand, domain) for domain in domains]
    loss = "zone" if is_zone_loss else "rack"
    return [
        BufferCost(
            fleet=f"{shape.name}, {loss} loss",
            policy=policy,
            spares=count,
            instance_hours=count * _HOURS,
            uncovered_domains=sum(need > count for need in needs),
        )
        for policy, count in spares.items()
    ]


def measure_failures(shape: FleetShape, failed: int) -> Failures:
    """Break instances one after another and count the moves."""
    world = _world(shape, "spares")
    names = [name for name, item in world.state.instances.items() if item.pool != "spare"]
    chosen = names[:: max(len(names) // failed, 1)][:failed]
    for name in chosen:
        world.fail([name])
        for _ in range(40):
            world.tick(_TICK_S)
        world.heal_all()
        world.fleet.faults.drain_s = shape.drain_s
        for _ in range(20):
            world.tick(_TICK_S)
    return Failures(
        fleet=shape.name,
        failed=len(chosen),
        moves=world.oracle.moves,
        moves_per_failure=round(world.oracle.moves / len(chosen), 2),
        violations=len(world.recount.violations) + len(world.oracle.violations),
    )


def measure_bunching(shape: FleetShape) -> list[Bunching]:
    """Compare spaced with hashed due times over seven weeks."""
    world = FleetWorld(shape.note, keepers=0)
    world.submit(WaveStarted(WaveSpec(name="w", started_s=0.0, window_s=_WEEKS_S)))
    wave = world.state.waves["w"]
    cycle_s = shape.drain_s + shape.reboot_s
    found = []
    for policy, times in (("spaced", due_times), ("hashed", hashed_due_times)):
        due = times(world.state, wave)
        by_pool: dict[str, list[float]] = {}
        for name, at_s in due.items():
            by_pool.setdefault(world.state.instances[name].pool, []).append(at_s)
        most = {pool: _most_within(values, cycle_s) for pool, values in by_pool.items()}
        pools = world.state.pools
        over = sum(
            count > max(pools[pool].size - pools[pool].min_serving, 1)
            for pool, count in most.items()
        )
        found.append(
            Bunching(
                fleet=shape.name,
                policy=policy,
                most_in_cycle=_most_within(list(due.values()), cycle_s),
                most_in_pool=max(most.values()),
                over_budget=over,
            )
        )
    return found


def _most_within(times_s: list[float], span_s: float) -> int:
    ordered = sorted(times_s)
    most = first = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] > span_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def _print(rows: list[msgspec.Struct]) -> None:
    for row in rows:
        print(encode_json(row).decode(), flush=True)


@bench_command("fleet", "buffer, roll-out, moves and the planner's cost on fleets on paper")
def run_fleet(_arguments: argparse.Namespace) -> int:
    """Measure everything of the fleet; 1 if a rule was broken."""
    deployment = deployment_shape("deployment")
    large = sized_shape(740, 9)
    sizes = [sized_shape(30, 3), sized_shape(120, 3), sized_shape(370, 9)]
    for shape in (deployment, large):
        for is_zone_loss in (False, True):
            _print(list(measure_buffer(shape, is_zone_loss)))
        _print(list(measure_bunching(shape)))
    rollouts = [measure_rollout(deployment, policy) for policy in _POLICIES]
    rollouts += [measure_rollout(shape, FleetSettings().wave_policy) for shape in sizes]
    rollouts += [measure_rollout(large, policy) for policy in _POLICIES]
    _print(list(rollouts))
    failures = [measure_failures(deployment, 6), measure_failures(sizes[1], 8)]
    _print(list(failures))
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f'{{"peak_resident_mib":{peak_mib:.0f}}}')
    broken = sum(row.violations for row in rollouts) + sum(row.violations for row in failures)
    return 1 if broken else 0
