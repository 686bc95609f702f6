"""``almondstack-bench path``: cost and quality of scheduling.

Explanation
-----------
Costs are measured in real time, next to the time of one dictionary update in
the same run (``yardstick_us``) to compare machines.  Shares, waits of urgent
calls and goodput are computed in simulated time with the real schedulers
(:mod:`almondstack.bench.pool_simulation`).
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
_TRAFFIC_PARTS = (0.3, 0.25, 0.2, 0.1, 0.1, 0.05)
_DICT_UPDATES = 200_000
_DEADLINE_S = 1000.0
_BACKLOG = 1000
_QUEUE = Queue(name="invoices", pool="score", max_waiting=100_000)


def _make_load(
    factor: float, entries: int, seed: int = 1, mean_run_s: float = 0.3, lag_s: float = 1.0
) -> Load:
    teams = tuple(Team(name=name, share=share, ceiling=48) for name, share in _SHARES.items())
    return Load(
        teams=teams,
        parts=_TRAFFIC_PARTS,
        factor=factor,
        entries=entries,
        urgent_part=0.05,
        seed=seed,
        mean_run_s=mean_run_s,
        usage_lag_s=lag_s,
    )


def _dict_update_us() -> float:
    """Return the time of one dictionary update, in microseconds."""
    table: dict[int, int] = {}
    start_s = time.perf_counter()
    for number in range(_DICT_UPDATES):
        table[number % 1000] = number
    return (time.perf_counter() - start_s) / _DICT_UPDATES * 1e6


def measure_cost(calls: int = 5000, teams: int = 6) -> dict[str, float]:
    """Return the time to admit, start and finish one call in the scheduler, in microseconds.

    Explanation
    -----------
    Meanwhile 1000 other calls are running or waiting.
    """
    names = [f"team-{number}" for number in range(teams)]
    team_list = tuple(
        Team(name=name, share=1 + index, ceiling=48) for index, name in enumerate(names)
    )
    settings = QueueingSettings(max_waiting=calls + 1, max_waiting_per_team=calls + 1)
    harness = SchedulerHarness(team_list, instances=6, slots=8, settings=settings)
    deadline_s = harness.clock.monotonic() + _DEADLINE_S
    new_calls = [make_call(team_list[n % teams], deadline_s, queue=_QUEUE) for n in range(calls)]
    items = [harness.scheduler.admit(call) for call in new_calls[:_BACKLOG]]
    elapsed_s = 0.0
    for call in new_calls[_BACKLOG:]:
        index = next(n for n, item in enumerate(items) if item.grant is not None)
        grant = items.pop(index).grant
        harness.clock.advance(0.001)
        assert grant is not None
        start_s = time.perf_counter()
        items.append(harness.scheduler.admit(call))
        harness.scheduler.finish(grant, 0.3)
        elapsed_s += time.perf_counter() - start_s
    count = calls - _BACKLOG
    return {"cost_us": elapsed_s / count * 1e6, "yardstick_us": _dict_update_us()}


def measure_cancellations(count: int = 2000) -> dict[str, float]:
    """Return the time to cancel ``count`` waiting calls, in seconds."""
    team = Team(name="north", share=1, ceiling=48)
    settings = QueueingSettings(max_waiting=count + 100, max_waiting_per_team=count + 100)
    harness = SchedulerHarness((team,), instances=6, slots=8, settings=settings)
    deadline_s = harness.clock.monotonic() + _DEADLINE_S
    items = [
        harness.scheduler.admit(make_call(team, deadline_s, queue=_QUEUE))
        for _ in range(count + 48)
    ]
    waiting = [item.call.call_id for item in items if item.grant is None]
    start_s = time.perf_counter()
    cancelled = sum(harness.scheduler.cancel(call_id) for call_id in reversed(waiting))
    elapsed_s = time.perf_counter() - start_s
    return {
        "cancelled": cancelled,
        "seconds": elapsed_s,
        "left": harness.scheduler.waiting_count("score"),
    }


def measure_connections(count: int = 400) -> dict[str, float]:
    """Return the time of a call on a new and on a pooled connection, in microseconds."""
    upstream = ScriptedUpstream()
    try:
        pooled = _mean_call_us(DispatcherHarness(upstream.address), count)
        no_pooling = DispatchSettings(connections=ConnectionSettings(idle_per_upstream=0))
        fresh = _mean_call_us(DispatcherHarness(upstream.address, settings=no_pooling), count)
    finally:
        upstream.close()
    return {"pooled_us": pooled, "fresh_us": fresh, "ratio": fresh / pooled}


def _mean_call_us(harness: DispatcherHarness, count: int) -> float:
    start_s = time.perf_counter()
    for _ in range(count):
        harness.body()
    return (time.perf_counter() - start_s) / count * 1e6


def _simulation_figures(load: Load, result: SimulationResult) -> dict[str, object]:
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


def _fair_figures(
    factor: float, entries: int, seed: int, mean_run_s: float = 0.3, lag_s: float = 1.0
) -> dict[str, object]:
    load = _make_load(factor, entries, seed, mean_run_s, lag_s)
    return _simulation_figures(load, PoolSimulation(load, QueueingSettings()).run())


def _first_come_figures(factor: float, seed: int) -> dict[str, object]:
    load = _make_load(factor, 8, seed)
    return _simulation_figures(load, simulate_first_come(load))


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seed", type=int, default=1, help="seed of arrivals and run times")


@bench_command("path", "cost and quality of scheduling", _configure)
def run_path_bench(arguments: argparse.Namespace) -> int:
    """Print all figures as one JSON object."""
    seed = arguments.seed
    at_capacity = _fair_figures(1.0, 8, seed)
    burst = _fair_figures(5.0, 8, seed)
    first_capacity, first_burst = _first_come_figures(1.0, seed), _first_come_figures(5.0, seed)
    figures = {
        "cost_6_teams": measure_cost(),
        "cost_60_teams": measure_cost(teams=60),
        "cancellations": measure_cancellations(),
        "connections": measure_connections(),
        "fair_at_capacity": at_capacity,
        "fair_burst_8_entries": burst,
        "fair_burst_8_entries_totals_of_0.2_s": _fair_figures(5.0, 8, seed, lag_s=0.2),
        "fair_burst_8_entries_totals_of_2_s": _fair_figures(5.0, 8, seed, lag_s=2.0),
        "fair_burst_1_entry": _fair_figures(5.0, 1, seed),
        "fair_burst_8_entries_runs_of_1_s": _fair_figures(5.0, 8, seed, 1.0),
        "first_come_at_capacity": first_capacity,
        "first_come_burst": first_burst,
        "goodput_ratio_fair": burst["answered"] / at_capacity["answered"],  # type: ignore[operator]
        "goodput_ratio_first_come": first_burst["answered"] / first_capacity["answered"],  # type: ignore[operator]
    }
    print(json.dumps(figures, indent=2))
    return 0
