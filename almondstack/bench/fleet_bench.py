"""``almondstack-bench fleet``: buffer, roll-out time, moves and cost of the planner.

Explanation
-----------
Real keepers run over a simulated log and platform with a simulated clock, so
durations are those of the modelled fleet.  Only the planner's processor time
depends on the machine.
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
_MAX_TICKS = 4000
_WINDOW_S = 7 * 7 * 86_400.0
_WINDOW_HOURS = 7 * 7 * 24
_POLICIES = ("spares", "alone", "budget")
_SPARE_FRACTION = 0.10


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one wave over a complete fleet.

    Parameters
    ----------
    rollout_s, bound_s : float
        Roll-out time, and its bound by the availability budgets, in seconds.
    ratio : float
        ``rollout_s`` divided by ``bound_s``.
    worst_lack : int
        Maximum, over racks and sampled times, of the instances that all pools
        would lack after the loss of the rack, less the spares in other racks.
    plan_ms, worst_plan_ms : float
        Mean and maximum processor time of planning per round, in milliseconds.
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
    """Number of spare instances of a policy and their instance hours over seven weeks."""

    fleet: str
    policy: str
    spares: int
    instance_hours: int
    uncovered_domains: int


class Failures(msgspec.Struct, frozen=True, kw_only=True):
    """Number of moves for failed instances."""

    fleet: str
    failed: int
    moves: int
    moves_per_failure: float
    violations: int


class Bunching(msgspec.Struct, frozen=True, kw_only=True):
    """Maximum number of instances due within one cycle, fleet-wide and in one pool.

    A cycle is the time to drain and reboot one instance.  ``over_budget``
    counts the pools with more due instances than their budget allows.
    """

    fleet: str
    policy: str
    most_in_cycle: int
    most_in_pool: int
    over_budget: int


class _PlanTimeMetrics(LocalMetrics):
    """Records the duration of each round's planning."""

    __slots__ = ("times_ms",)

    def __init__(self) -> None:
        super().__init__()
        self.times_ms: list[float] = []

    def timing_ms(self, name: str, milliseconds: float) -> None:
        """Record the duration of one round's planning."""
        self.times_ms.append(milliseconds)


def _make_world(shape: FleetShape, policy: str) -> FleetWorld:
    settings = msgspec.structs.replace(
        WORLD_SETTINGS, wave_policy=policy, reboot_timeout_s=900.0, loss_pause_s=600.0
    )
    world = FleetWorld(shape.note, 1, settings, _PlanTimeMetrics)
    world.adopt_budgets()
    world.fleet.faults.drain_s = shape.drain_s
    world.fleet.faults.reboot_s = shape.reboot_s
    for _ in range(3):
        world.tick(_TICK_S)
    return world


def measure_rollout(shape: FleetShape, policy: str) -> Rollout:
    """Run one wave without a window over a fleet and return its result."""
    world = _make_world(shape, policy)
    started_s = world.clock.unix()
    world.submit(WaveStarted(WaveSpec(name="w", started_s=started_s)))
    worst = ticks = 0
    while world.state.waves["w"].phase is WavePhase.RUNNING and ticks < _MAX_TICKS:
        world.tick(_TICK_S)
        ticks += 1
        if ticks % 10 == 0:
            worst = max(worst, _worst_shortage(world.state))
    metrics = world.keepers[0].metrics
    times_ms = metrics.times_ms if isinstance(metrics, _PlanTimeMetrics) else []
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
    """Return the roll-out time, in seconds, of the slowest pool at the limit of its budget."""
    cycle_s = shape.drain_s + shape.reboot_s + WORLD_SETTINGS.return_bound_s
    rounds = [
        math.ceil(pool.size / max(pool.size - pool.min_serving, 1)) for pool in state.pools.values()
    ]
    return max(rounds) * cycle_s


def _worst_shortage(state: FleetState) -> int:
    """Return the worst shortage, in instances, that the loss of one rack would cause.

    The shortage of a rack is the sum over pools of the serving instances
    missing from ``min_serving`` without that rack, less the serving spares in
    other racks.
    """
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
    """Compare the smallest sufficient buffer with its lower bound and two fixed policies."""
    world = FleetWorld(shape.note, keepers=0)
    demand = demand_of(world.state, wave_out=1, is_zone_loss=is_zone_loss)
    room = {rack: 4 for rack in demand.rack_zones}
    plan = plan_buffer(msgspec.structs.replace(demand, rack_room=room))
    owned = sum(len(items) for items in demand.placed.values())
    spares = {
        "lower bound": plan.worst_need,
        "least, shared": plan.spares or 0,
        "one per pool": len(demand.pools),
        "a tenth": math.ceil(owned * _SPARE_FRACTION),
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
            instance_hours=count * _WINDOW_HOURS,
            uncovered_domains=sum(need > count for need in needs),
        )
        for policy, count in spares.items()
    ]


def measure_failures(shape: FleetShape, failed: int) -> Failures:
    """Fail ``failed`` instances one after another and count the moves."""
    world = _make_world(shape, "spares")
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
    """Compare the bunching of spaced and of hashed due times over seven weeks."""
    world = FleetWorld(shape.note, keepers=0)
    world.submit(WaveStarted(WaveSpec(name="w", started_s=0.0, window_s=_WINDOW_S)))
    wave = world.state.waves["w"]
    cycle_s = shape.drain_s + shape.reboot_s
    rows = []
    for policy, times in (("spaced", due_times), ("hashed", hashed_due_times)):
        due = times(world.state, wave)
        by_pool: dict[str, list[float]] = {}
        for name, at_s in due.items():
            by_pool.setdefault(world.state.instances[name].pool, []).append(at_s)
        max_due = {pool: _max_within(values, cycle_s) for pool, values in by_pool.items()}
        pools = world.state.pools
        over = sum(
            count > max(pools[pool].size - pools[pool].min_serving, 1)
            for pool, count in max_due.items()
        )
        rows.append(
            Bunching(
                fleet=shape.name,
                policy=policy,
                most_in_cycle=_max_within(list(due.values()), cycle_s),
                most_in_pool=max(max_due.values()),
                over_budget=over,
            )
        )
    return rows


def _max_within(times_s: list[float], span_s: float) -> int:
    ordered = sorted(times_s)
    max_due = first = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] > span_s:
            first += 1
        max_due = max(max_due, last - first + 1)
    return max_due


def _print_rows(rows: list[msgspec.Struct]) -> None:
    for row in rows:
        print(encode_json(row).decode(), flush=True)


@bench_command("fleet", "buffer, roll-out, moves and the planner's cost on fleets on paper")
def run_fleet(_arguments: argparse.Namespace) -> int:
    """Run all fleet measurements and print them; return 1 if a rule was violated."""
    deployment = deployment_shape("deployment")
    large = sized_shape(740, 9)
    sizes = [sized_shape(30, 3), sized_shape(120, 3), sized_shape(370, 9)]
    for shape in (deployment, large):
        for is_zone_loss in (False, True):
            _print_rows(list(measure_buffer(shape, is_zone_loss)))
        _print_rows(list(measure_bunching(shape)))
    rollouts = [measure_rollout(deployment, policy) for policy in _POLICIES]
    rollouts += [measure_rollout(shape, FleetSettings().wave_policy) for shape in sizes]
    rollouts += [measure_rollout(large, policy) for policy in _POLICIES]
    _print_rows(list(rollouts))
    failures = [measure_failures(deployment, 6), measure_failures(sizes[1], 8)]
    _print_rows(list(failures))
    peak_mib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(f'{{"peak_resident_mib":{peak_mib:.0f}}}')
    broken = sum(row.violations for row in rollouts) + sum(row.violations for row in failures)
    return 1 if broken else 0
