"""Slopes of the fold and of snapshots against the number of instances."""

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

__all__ = ["least_by_size", "scaled"]

_SIZES = (92, 185, 370, 740)
_ROUNDS = 15
_STEPS = 200
_AUTHOR = "bench"

_sequences = itertools.count(1)


def least_by_size(acts: dict[int, Callable[[], object]]) -> Points:
    """Return the least processor time of each act over several rounds, in seconds.

    Explanation
    -----------
    Each round runs every size in turn, so that a machine that is slow for a
    while is slow for all sizes.
    """
    least_s = dict.fromkeys(acts, float("inf"))
    for _ in range(_ROUNDS):
        for size, act in acts.items():
            start_s = time.thread_time()
            act()
            least_s[size] = min(least_s[size], time.thread_time() - start_s)
    return [(float(size), seconds) for size, seconds in least_s.items()]


def scaled(points: Points, factor: float) -> Points:
    """Return ``points`` with every figure multiplied."""
    return [(size, figure * factor) for size, figure in points]


@slope_case("fold-record", "instances", FULL_INSTANCES)
def fold_record() -> dict[str, Points]:
    """Return the processor time to fold a step that is taken, and one that is refused."""
    folds = {size: make_large_fold(size) for size in _SIZES}
    taken = least_by_size({n: functools.partial(_fail_and_return, f) for n, f in folds.items()})
    refused = least_by_size({n: functools.partial(_refuse, f) for n, f in folds.items()})
    return {
        "us a record": scaled(taken, 1e6 / (2 * _STEPS)),
        "us a refused record": scaled(refused, 1e6 / _STEPS),
    }


def _apply(fold: Fold, body: object) -> None:
    fold.apply(fold.next_offset, encode_record(_AUTHOR, next(_sequences), body))


def _fail_and_return(fold: Fold) -> None:
    for number in range(_STEPS):
        name = f"u{number % len(fold.state.instances)}"
        version = fold.state.instances[name].version
        _apply(fold, InstanceObserved(name, version, InstancePhase.FAILED))
        version = fold.state.instances[name].version
        _apply(fold, InstanceStepped(name, version, InstancePhase.RETURNING))


def _refuse(fold: Fold) -> None:
    for number in range(_STEPS):
        _apply(fold, InstanceStepped(f"u{number % 50}", -1, InstancePhase.DRAINING))


@slope_case("fold-note", "instances", FULL_INSTANCES)
def fold_note() -> dict[str, Points]:
    """Return the processor time to fold a release note that changes one team."""
    folds = {size: make_large_fold(size) for size in _SIZES}
    notes = least_by_size({n: functools.partial(_change_team, f) for n, f in folds.items()})
    return {"ms a note": scaled(notes, 1000)}


def _change_team(fold: Fold) -> None:
    team = msgspec.structs.replace(fold.state.teams["t0"], ceiling=fold.state.revision + 1)
    note = ReleaseNote(changed=Configured(teams=(team,)))
    _apply(fold, ReleaseApplied(fold.state.revision, note))


@slope_case("state-memory", "instances", FULL_INSTANCES)
def state_memory() -> dict[str, Points]:
    """Return the memory that the folded state takes."""
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
    """Return size and processor time of writing and reading a snapshot."""
    folds = {size: make_large_fold(size) for size in _SIZES}
    datas = {size: _written(fold) for size, fold in folds.items()}
    writing = least_by_size({n: functools.partial(_written, f) for n, f in folds.items()})
    reading = least_by_size({n: functools.partial(_read, data) for n, data in datas.items()})
    return {
        "KiB compressed": [(size, len(data) / 1024) for size, data in datas.items()],
        "ms to write": scaled(writing, 1000),
        "ms to read": scaled(reading, 1000),
    }


def _written(fold: Fold) -> bytes:
    return zlib.compress(fold.encode_state()[0])


def _read(data: bytes) -> None:
    decode_state(zlib.decompress(data))
