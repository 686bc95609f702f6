"""Computes when each instance of a wave is due for maintenance.

Explanation
-----------
The members of a pool are ordered by rack and spaced evenly over the window,
and pools are offset against each other by a hash of their names.  So with a long
window a wave works on at most one rack of a pool at a time, and never have many
instances the same due time.  ``docs/design/waves.md`` compares this with due
times that are hashed per instance.
"""

import xxhash

from almondstack.model import FleetState, WaveState

__all__ = ["due_times", "hashed_due_times"]

_HASH_RANGE = float(1 << 64)


def due_times(state: FleetState, wave: WaveState) -> dict[str, float]:
    """Return when each member is due, in seconds since 1970."""
    spec = wave.spec
    due: dict[str, float] = {}
    for pool, names in _members_by_pool(state, wave).items():
        shift = _fraction(f"{wave.name}|{pool}")
        for index, name in enumerate(names):
            due[name] = spec.started_s + spec.window_s * (index + shift) / len(names)
    return due


def hashed_due_times(state: FleetState, wave: WaveState) -> dict[str, float]:
    """Return due times hashed per instance; benchmarks compare them with :func:`due_times`."""
    spec = wave.spec
    names = [name for names in _members_by_pool(state, wave).values() for name in names]
    return {
        name: spec.started_s + spec.window_s * _fraction(f"{wave.name}|{name}") for name in names
    }


def _members_by_pool(state: FleetState, wave: WaveState) -> dict[str, list[str]]:
    by_pool: dict[str, list[str]] = {}
    for name in wave.members:
        if name in state.instances:
            by_pool.setdefault(state.instances[name].pool, []).append(name)
    for names in by_pool.values():
        names.sort(key=lambda name: _location(state, name))
    return by_pool


def _location(state: FleetState, name: str) -> tuple[str, str, str]:
    spec = state.instances[name].spec
    return spec.zone, spec.rack, name


def _fraction(text: str) -> float:
    return xxhash.xxh64_intdigest(text.encode()) / _HASH_RANGE
