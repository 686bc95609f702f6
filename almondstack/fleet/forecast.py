"""Estimates when a maintenance wave will end."""

import math

from almondstack.fleet.estimates import DrainEstimates
from almondstack.fleet.schedule import due_times
from almondstack.fleet.view import FleetView
from almondstack.fleet.waves import max_batch_size
from almondstack.model import WaveState

__all__ = ["remaining_s"]


def remaining_s(view: FleetView, wave: WaveState, estimates: DrainEstimates) -> float:
    """Return the estimated time until a wave ends, in seconds.

    Explanation
    -----------
    Pools are maintained in parallel.  A pool needs one estimated cycle for each
    batch, and ends one cycle after its last instance is due at the earliest.
    """
    due = due_times(view.state, wave)
    longest_s = 0.0
    by_pool: dict[str, list[str]] = {}
    for name in wave.waiting:
        if name in view.state.instances:
            by_pool.setdefault(view.state.instances[name].pool, []).append(name)
    for pool_name, names in by_pool.items():
        pool = view.state.pools.get(pool_name)
        if pool is None:
            continue
        cycle_s = estimates.cycle_s(pool, view.settings)
        batches = math.ceil(len(names) / max_batch_size(view, pool))
        last_due_s = max(due[name] for name in names) - view.observations.unix_s
        longest_s = max(longest_s, batches * cycle_s, last_due_s + cycle_s)
    return longest_s
