"""Simulation of first come, first served, without permits, shares or admission.

Explanation
-----------
This is the baseline for :mod:`almondstack.bench.pool_simulation`.  Each call is
sent at once to the next upstream in round-robin order.  An upstream runs as
many calls as it has slots and queues the rest in the order of arrival.  It
ignores deadlines, so it also runs calls whose deadline has passed.
"""

import heapq
import random

from almondstack.bench.pool_simulation import Load, SimulationResult

__all__ = ["simulate_first_come"]


def simulate_first_come(load: Load) -> SimulationResult:
    """Return the result of ``load`` on upstreams that serve in the order of arrival."""
    rng = random.Random(load.seed)
    result = SimulationResult()
    free_at_s = [[0.0] * load.slots for _ in range(load.instances)]
    call_number = 0
    at_s = rng.expovariate(load.calls_per_second)
    while at_s < load.seconds:
        index = rng.choices(range(len(load.teams)), load.parts)[0]
        is_urgent = rng.random() < load.urgent_part
        run_s = load.mean_run_s * rng.lognormvariate(-load.sigma**2 / 2, load.sigma)
        slots = free_at_s[call_number % load.instances]
        start_s = max(at_s, heapq.heappop(slots))
        heapq.heappush(slots, start_s + run_s)
        _record(load, result, load.teams[index].name, (at_s, start_s, start_s + run_s), is_urgent)
        call_number += 1
        at_s += rng.expovariate(load.calls_per_second)
    return result


def _record(
    load: Load,
    result: SimulationResult,
    team: str,
    times_s: tuple[float, float, float],
    is_urgent: bool,
) -> None:
    arrived_s, start_s, end_s = times_s
    is_late = end_s > arrived_s + load.deadline_s
    if end_s <= load.seconds:
        result.counts["late" if is_late else "answered"] += 1
    if is_urgent:
        result.urgent_starts_s.append(start_s - arrived_s)
    _add_interval(result.waiting_s, team, arrived_s, min(start_s, arrived_s + load.deadline_s))
    _add_interval(result.running_s, team, start_s, end_s)


def _add_interval(table: dict, team: str, from_s: float, until_s: float) -> None:
    """Add the time between two moments to each second that it overlaps."""
    while from_s < until_s:
        second = int(from_s)
        step_s = min(until_s, second + 1.0) - from_s
        table[second][team] += step_s
        from_s += step_s
