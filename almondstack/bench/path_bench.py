"""``almondstack-bench path``: cost and quality of scheduling.

Explanation
-----------
Costs are measured on this machine's clock and shown with a yardstick of the
same run; shares, urgent starts and goodput come from simulated time with the
real schedulers (:mod:`almondstack.bench.pool_simulation`).
"""

import argparse
import json
import time

import msgspec

from almondstack.bench.commands import bench_command
from almondstack.bench.first_come_simulation import simulate_first_come
from almondstack.bench.pool_simulation import Load, PoolSimulation, SimulationResult
from almondstack.bench.share_distance import report_shares
from almondstack.dispatch import ConnectionSettings, DispatchSettings
from almondstack.model import Queue, Team
from almondstack.queueing import QueueingSettings
from almondstack.testing.dispatching import DispatcherHarness
from almondstack.testing.scheduling import SchedulerHarness, make_call
from almondstack.testing.scripted_upstream import ScriptedUpstream

__all__ = ["measure_cancellations", "measure_connections", "measure_cost", "run_path_bench"]

_SHARES = {"grocer": 6, "mart": 5, "depot": 3, "fresh": 2, "agency": 1, "press": 1}
_PARTS = (0.3, 0.25, 0.2, 0.1, 0.1, 0.05)
_YARDSTICK_ROUNDS = 200_000
_LONG_S = 1000.0
_BACKLOG = 1000
_QUEUE = Queue(name="invoices", pool="score", max_waiting=100_000)


def _load(
    factor: float, entries: int, seed: int = 1, mean_run_s: float = 0.3, lag_s: float = 1.0
) -> Load:
    teams = tuple(Team(name=name, share=share, ceiling=48) for name, share in _SHARES.items())
    return Load(
        teams=teams,
        parts=_PARTS,
        factor=factor,
        entries=entries,
        urgent_part=0.05,
        seed=seed,
        mean_run_s=mean_run_s,
        usage_lag_s=lag_s,
    )


def _yardstick_us() -> float:
    """Return the time of one dictionary update, in microseconds."""
    table: dict[int, int] = {}
    start_s = time.perf_counter()
    for number in range(_YARDSTICK_ROUNDS):
        table[number % 1000] = number
    return (time.perf_counter() - start_s) / _YARDSTICK_ROUNDS * 1e6


def measure_cost(calls: int = 5000, teams: int = 6) -> dict[str, float]:
    """Return the time of a call's whole way through the scheduler, in microseconds."""
    names = [f"team-{number}" for number in range(teams)]
    known = tuple(Team(name=name, share=1 + place, ceiling=48) for place, name in enumerate(names))
    settings = QueueingSettings(max_waiting=calls + 1, max_waiting_per_team=calls + 1)
    kit = SchedulerHarness(known, instances=6, slots=8, settings=settings)
    deadline_s = kit.clock.monotonic() + _LONG_S
    made = [make_call(known[n % teams], deadline_s, queue=_QUEUE) for n in range(calls)]
    items = [kit.scheduler.admit(call) for call in made[:_BACKLOG]]
    elapsed_s = 0.0
    for call in made[_BACKLOG:]:
        place = next(n for n, item in enumerate(items) if item.grant is not None)
        grant = items.pop(place).grant
        kit.clock.advance(0.001)
        assert grant is not None
        start_s = time.perf_counter()
        items.append(kit.scheduler.admit(call))
        kit.scheduler.finish(grant, 0.3)
        elapsed_s += time.perf_counter() - start_s
    count = calls - _BACKLOG
    return {"cost_us": elapsed_s / count * 1e6, "yardstick_us": _yardstick_us()}


def measure_cancellations(count: int = 2000) -> dict[str, float]:
    """Return how long it takes to cancel ``count`` waiting calls, in seconds."""
    team = Team(name="north", share=1, ceiling=48)
    settings = QueueingSettings(max_waiting=count + 100, max_waiting_per_team=count + 100)
    kit = SchedulerHarness((team,), instances=6, slots=8, settings=settings)
    deadline_s = kit.clock.monotonic() + _LONG_S
    items = [
        kit.scheduler.admit(make_call(team, deadline_s, queue=_QUEUE)) for _ in range(count + 48)
    ]
    waiting = [item.call.call_id for item in items if item.grant is None]
    start_s = time.perf_counter()
    cancelled = sum(kit.scheduler.cancel(call_id) for call_id in reversed(waiting))
    elapsed_s = time.perf_counter() - start_s
    return {
        "cancelled": cancelled,
        "seconds": elapsed_s,
        "left": kit.scheduler.waiting_count("score"),
    }


def measure_connections(count: int = 400) -> dict[str, float]:
    """Return the time of a call on a fresh and on a pooled connection, in microseconds."""
    upstream = ScriptedUpstream()
    try:
        kept = _time_calls(DispatcherHarness(upstream.address), count)
        fresh_only = DispatchSettings(connections=ConnectionSettings(idle_per_upstream=0))
        fresh = _time_calls(DispatcherHarness(upstream.address, settings=fresh_only), count)
    finally:
        upstream.close()
    return {"pooled_us": kept, "fresh_us": fresh, "ratio": fresh / kept}


def _time_calls(kit: DispatcherHarness, count: int) -> float:
    start_s = time.perf_counter()
    for _ in range(count):
        kit.body()
    return (time.perf_counter() - start_s) / count * 1e6


def _simulated(load: Load, result: SimulationResult) -> dict[str, object]:
    starts = sorted(result.urgent_starts_s)
    return {
        "answered": result.counts["answered"],
        "late": result.counts["late"],
        "refused": sum(result.counts.values()) - result.counts["answered"] - result.counts["late"],
        "urgent_p99_s": round(starts[int(len(starts) * 0.99)], 3) if starts else None,
        "urgent_worst_s": round(starts[-1], 3) if starts else None,
        "urgent_refused": result.urgent_refused,
        "shares": msgspec.to_builtins(report_shares(load, result)),
    }


def _fair(
    factor: float, entries: int, seed: int, mean_run_s: float = 0.3, lag_s: float = 1.0
) -> dict[str, object]:
    load = _load(factor, entries, seed, mean_run_s, lag_s)
    return _simulated(load, PoolSimulation(load, QueueingSettings()).run())


def _first_come(factor: float, seed: int) -> dict[str, object]:
    load = _load(factor, 8, seed)
    return _simulated(load, simulate_first_come(load))


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="of arrivals and run times")


@bench_command("path", "cost and quality of scheduling", _configure)
def run_path_bench(arguments: argparse.Namespace) -> int:
    """Print all figures as one JSON object."""
    seed = arguments.seed
    at_capacity = _fair(1.0, 8, seed)
    burst = _fair(5.0, 8, seed)
    first_capacity, first_burst = _first_come(1.0, seed), _first_come(5.0, seed)
    figures = {
        "cost_6_teams": measure_cost(),
        "cost_60_teams": measure_cost(teams=60),
        "cancellations": measure_cancellations(),
        "connections": measure_connections(),
        "fair_at_capacity": at_capacity,
        "fair_burst_8_entries": burst,
        "fair_burst_8_entries_totals_of_0.2_s": _fair(5.0, 8, seed, lag_s=0.2),
        "fair_burst_8_entries_totals_of_2_s": _fair(5.0, 8, seed, lag_s=2.0),
        "fair_burst_1_entry": _fair(5.0, 1, seed),
        "fair_burst_8_entries_runs_of_1_s": _fair(5.0, 8, seed, 1.0),
        "first_come_at_capacity": first_capacity,
        "first_come_burst": first_burst,
        "goodput_ratio_fair": burst["answered"] / at_capacity["answered"],  # type: ignore[operator]
        "goodput_ratio_first_come": first_burst["answered"] / first_capacity["answered"],  # type: ignore[operator]
    }
    print(json.dumps(figures, indent=2))
    return 0
