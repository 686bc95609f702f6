"""The same load, first come first served, without permits, shares or admission.

Explanation
-----------
Each call goes at once to the next upstream in turn.  An upstream runs as many
calls as it has slots and lets the rest wait in the order of arrival; it does
not know deadlines, so it also runs what nobody waits for any more.
"""

import heapq
import random

from almondstack.bench.pool_simulation import Load, SimulationResult

__all__ = ["simulate_first_come"]


def simulate_first_come(load: Load) -> SimulationResult:
    """Run ``load`` on upstreams that serve in the order of arrival."""
    source = random.Random(load.seed)
    result = SimulationResult()
    free_s = [[0.0] * load.slots for _ in range(load.instances)]
    turn = 0
    at_s = source.expovariate(load.calls_per_second)
    while at_s < load.seconds:
        place = source.choices(range(len(load.teams)), load.parts)[0]
        is_urgent = source.random() < load.urgent_part
        run_s = load.mean_run_s * source.lognormvariate(-load.sigma**2 / 2, load.sigma)
        slots = free_s[turn % load.instances]
        start_s = max(at_s, heapq.heappop(slots))
        heapq.heappush(slots, start_s + run_s)
        _note(load, result, load.teams[place].name, (at_s, start_s, start_s + run_s), is_urgent)
        turn += 1
        at_s += source.expovariate(load.calls_per_second)
    return result


def _note(
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
    _spread(result.waiting_s, team, arrived_s, min(start_s, arrived_s + load.deadline_s))
    _spread(result.running_s, team, start_s, end_s)


def _spread(table: dict, team: str, from_s: float, until_s: float) -> None:
    """Add the time between two moments to the seconds that it touches."""
    while from_s < until_s:
        second = int(from_s)
        step_s = min(until_s, second + 1.0) - from_s
        table[second][team] += step_s
        from_s += step_s
