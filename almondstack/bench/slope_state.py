"""Slopes of the cost of folding and of snapshots against the number of instances."""

import functools
import itertools
import time
import tracemalloc
import zlib
from collections.abc import Callable

import msgspec

from almondstack.bench.slopes import Points, slope_case
from almondstack.fold import Fold
from almondstack.log.snapshots import decode_state
from almondstack.model import (
    Configured,
    InstanceObserved,
    InstancePhase,
    InstanceStepped,
    ReleaseApplied,
    ReleaseNote,
    encode_record,
)
from almondstack.testing.large_fleet import FULL_INSTANCES, make_large_fold

__all__ = ["min_cpu_s_by_size", "scaled"]

_SIZES = (92, 185, 370, 740)
_ROUNDS = 15
_STEPS = 200
_AUTHOR = "bench"

_sequences = itertools.count(1)


def min_cpu_s_by_size(actions: dict[int, Callable[[], object]]) -> Points:
    """Return the minimum processor time of each action over 15 rounds, in seconds.

    Explanation
    -----------
    Each round runs every size once, so that a temporary slowdown of the machine
    affects all sizes alike.
    """
    min_s = dict.fromkeys(actions, float("inf"))
    for _ in range(_ROUNDS):
        for size, action in actions.items():
            start_s = time.thread_time()
            action()
            min_s[size] = min(min_s[size], time.thread_time() - start_s)
    return [(float(size), seconds) for size, seconds in min_s.items()]


def scaled(points: Points, factor: float) -> Points:
    """Return ``points`` with every figure multiplied by ``factor``."""
    return [(size, figure * factor) for size, figure in points]


@slope_case("fold-record", "instances", FULL_INSTANCES)
def fold_record() -> dict[str, Points]:
    """Return the processor time to fold a record that is applied, and one that is refused."""
    folds = {size: make_large_fold(size) for size in _SIZES}
    accepted = min_cpu_s_by_size(
        {n: functools.partial(_fail_and_return_instances, f) for n, f in folds.items()}
    )
    refused = min_cpu_s_by_size(
        {n: functools.partial(_apply_refused_steps, f) for n, f in folds.items()}
    )
    return {
        "us a record": scaled(accepted, 1e6 / (2 * _STEPS)),
        "us a refused record": scaled(refused, 1e6 / _STEPS),
    }


def _apply(fold: Fold, body: object) -> None:
    fold.apply(fold.next_offset, encode_record(_AUTHOR, next(_sequences), body))


def _fail_and_return_instances(fold: Fold) -> None:
    for number in range(_STEPS):
        name = f"u{number % len(fold.state.instances)}"
        version = fold.state.instances[name].version
        _apply(fold, InstanceObserved(name, version, InstancePhase.FAILED))
        version = fold.state.instances[name].version
        _apply(fold, InstanceStepped(name, version, InstancePhase.RETURNING))


def _apply_refused_steps(fold: Fold) -> None:
    for number in range(_STEPS):
        _apply(fold, InstanceStepped(f"u{number % 50}", -1, InstancePhase.DRAINING))


@slope_case("fold-note", "instances", FULL_INSTANCES)
def fold_note() -> dict[str, Points]:
    """Return the processor time to fold a release note that changes one team."""
    folds = {size: make_large_fold(size) for size in _SIZES}
    notes = min_cpu_s_by_size({n: functools.partial(_change_team, f) for n, f in folds.items()})
    return {"ms a note": scaled(notes, 1000)}


def _change_team(fold: Fold) -> None:
    team = msgspec.structs.replace(fold.state.teams["t0"], ceiling=fold.state.revision + 1)
    note = ReleaseNote(changed=Configured(teams=(team,)))
    _apply(fold, ReleaseApplied(fold.state.revision, note))


@slope_case("state-memory", "instances", FULL_INSTANCES)
def state_memory() -> dict[str, Points]:
    """Return the memory that the folded state occupies."""
    points: Points = []
    for size in _SIZES:
        tracemalloc.start()
        fold = make_large_fold(size)
        points.append((size, tracemalloc.get_traced_memory()[0] / 1024))
        tracemalloc.stop()
        del fold
    return {"KiB of state": points}


@slope_case("snapshot", "instances", FULL_INSTANCES)
def snapshot() -> dict[str, Points]:
    """Return the compressed size of a snapshot, and the processor time to encode and decode it."""
    folds = {size: make_large_fold(size) for size in _SIZES}
    encoded = {size: _encode_snapshot(fold) for size, fold in folds.items()}
    writing = min_cpu_s_by_size(
        {n: functools.partial(_encode_snapshot, f) for n, f in folds.items()}
    )
    reading = min_cpu_s_by_size(
        {n: functools.partial(_decode_snapshot, data) for n, data in encoded.items()}
    )
    return {
        "KiB compressed": [(size, len(data) / 1024) for size, data in encoded.items()],
        "ms to write": scaled(writing, 1000),
        "ms to read": scaled(reading, 1000),
    }


def _encode_snapshot(fold: Fold) -> bytes:
    return zlib.compress(fold.encode_state()[0])


def _decode_snapshot(data: bytes) -> None:
    decode_state(zlib.decompress(data))
