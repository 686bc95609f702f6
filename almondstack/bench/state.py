"""``almondstack-bench state``: cost of the fold, of snapshots and of a bootstrap.

Explanation
-----------
Generates and folds the records of seven weeks for a fleet of 740 instances in
255 pools: reboots of instances, changes of keys and teams, and restarts of entries.
The bootstrap is measured over HTTP from the stand-in log service in this process,
once from the first record and once from a snapshot and the records after it.
"""

import argparse
import json
import statistics
import threading
import time
import zlib
from collections import defaultdict
from typing import Any

import msgspec

from almondstack.bench.commands import bench_command
from almondstack.core import LocalMetrics, LogServiceSettings, SystemClock, hash_secret
from almondstack.fold import Fold
from almondstack.log import FLEET, Follower, HttpLogClient, SnapshotStore, decode_state
from almondstack.model import (
    Configured,
    EntryJoined,
    EntryLeft,
    InstancePhase,
    InstanceSpec,
    InstanceStepped,
    Key,
    KeyGranted,
    KeyRevoked,
    PermitsSettled,
    Pool,
    Queue,
    ReleaseApplied,
    ReleaseNote,
    Team,
    encode_record,
)
from almondstack.standin.log_service import LogServiceStandin
from almondstack.standin.web import serve
from almondstack.testing.addresses import free_address

__all__ = ["StateMeasures", "measure_state"]

_POOLS = 255
_INSTANCES = 740
_TEAMS = 12
_RECORD_COUNT = 17_150
_RECORDS_AFTER_SNAPSHOT = 350
_REPETITIONS = 5
_SNAPSHOT_CHUNK_BYTES = 1 << 18

_REBOOT_PHASES = (
    InstancePhase.DRAINING,
    InstancePhase.DRAINED,
    InstancePhase.RETURNING,
    InstancePhase.SERVING,
)


class StateMeasures(msgspec.Struct, frozen=True):
    """Results of one run.

    Parameters
    ----------
    records, refused : int
        Number of folded records, and of those that the fold refused.
    fold_us : dict of str to float
        Median time to fold one record by kind, in microseconds.
    state_bytes, snapshot_bytes : int
        Size of the encoded state, and of the compressed state.
    encode_ms, compress_ms, decode_ms : float
        Median times to encode, to compress, and to decompress and decode the
        state, in milliseconds.
    bootstrap_log_ms, bootstrap_snapshot_ms : float
        Median time of a bootstrap from the first record and from a snapshot,
        in milliseconds.
    """

    records: int
    refused: int
    fold_us: dict[str, float]
    state_bytes: int
    snapshot_bytes: int
    encode_ms: float
    compress_ms: float
    decode_ms: float
    bootstrap_log_ms: float
    bootstrap_snapshot_ms: float


class _History:
    """Generates the records of seven weeks and folds each when it is added."""

    def __init__(self) -> None:
        self.fold = Fold()
        self.records: list[bytes] = []
        self.refused = 0
        self._times_s: dict[str, list[float]] = defaultdict(list)
        self._sequences: dict[str, int] = defaultdict(int)

    @property
    def fold_us(self) -> dict[str, float]:
        """Median time to fold one record by kind, in microseconds."""
        return {
            kind: round(statistics.median(times) * 1e6, 1)
            for kind, times in sorted(self._times_s.items())
        }

    def add(self, author: str, body: Any) -> None:
        """Encode, fold and store one record."""
        self._sequences[author] += 1
        offset = self.fold.next_offset
        data = encode_record(author, self._sequences[author], body, base=offset)
        self.records.append(data)
        begin_s = time.perf_counter()
        verdict = self.fold.apply(offset, data)
        fold_s = time.perf_counter() - begin_s
        assert verdict is not None
        self._times_s[verdict.kind].append(fold_s)
        self.refused += not verdict.is_accepted

    def add_step(self, author: str, name: str, phase: InstancePhase) -> None:
        """Add the record by which an instance enters ``phase``."""
        version = self.fold.state.instances[name].version
        self.add(author, InstanceStepped(name, version, phase))


def measure_state() -> StateMeasures:
    """Generate the history, measure the costs and return them."""
    history = _make_history(_RECORD_COUNT)
    state, _ = history.fold.encode_state()
    encode_ms = _median_ms(history.fold.encode_state)
    compressed = zlib.compress(state, 1)
    log_ms, snapshot_ms = _measure_bootstrap(history)
    return StateMeasures(
        records=len(history.records),
        refused=history.refused,
        fold_us=history.fold_us,
        state_bytes=len(state),
        snapshot_bytes=len(compressed),
        encode_ms=encode_ms,
        compress_ms=_median_ms(lambda: zlib.compress(state, 1)),
        decode_ms=_median_ms(lambda: decode_state(zlib.decompress(compressed))),
        bootstrap_log_ms=log_ms,
        bootstrap_snapshot_ms=snapshot_ms,
    )


def _make_history(count: int) -> _History:
    history = _History()
    history.add("founder", ReleaseApplied(0, _fleet_note()))
    for number in range(8):
        _add_entry_joined(history, f"entry-{number}~0")
    names = sorted(history.fold.state.instances)
    number = 0
    while len(history.records) < count:
        name = names[number % len(names)]
        for phase in _REBOOT_PHASES:
            history.add_step("keeper~0", name, phase)
        _add_records_between_reboots(history, number)
        number += 1
    return history


def _add_records_between_reboots(history: _History, number: int) -> None:
    """Add the records of a new operator session and, at every 30th call, of an entry's restart."""
    author = f"almondctl~{number:012x}"
    key_id = f"key-{number}"
    history.add(author, KeyGranted(Key(id=key_id, team="team-0", digest=hash_secret(key_id))))
    team = Team(name="team-1", share=1 + number % 9, ceiling=64)
    note = ReleaseNote(changed=Configured(teams=(team,)))
    history.add(author, ReleaseApplied(history.fold.state.revision, note))
    if number >= 20:
        history.add(author, KeyRevoked(f"key-{number - 20}"))
    if number % 30 == 0:
        _add_entry_joined(history, f"entry-0~{number + 1}")
        _add_entry_left(history, f"entry-0~{max(number - 29, 0)}")


def _add_entry_joined(history: _History, incarnation: str) -> None:
    name = incarnation.partition("~")[0]
    address = "127.0.0.1:7101"
    history.add(incarnation, EntryJoined(incarnation, name, "a", "region-1", address, address))


def _add_entry_left(history: _History, incarnation: str) -> None:
    """Add the record that an entry left, and one per live entry that settles its permits."""
    history.add(incarnation, EntryLeft(incarnation))
    for entry in history.fold.state.live_entries():
        history.add(entry.incarnation, PermitsSettled(incarnation=incarnation, items=()))


def _fleet_note() -> ReleaseNote:
    pools = [f"pool-{number}" for number in range(_POOLS)]
    counts = [len(range(number, _INSTANCES, _POOLS)) for number in range(_POOLS)]
    return ReleaseNote(
        added=Configured(
            pools=tuple(
                Pool(name=name, min_serving=1, size=count)
                for name, count in zip(pools, counts, strict=True)
            ),
            instances=tuple(_instance(number) for number in range(_INSTANCES)),
            teams=tuple(Team(name=f"team-{n}", share=1 + n, ceiling=64) for n in range(_TEAMS)),
            queues=tuple(Queue(name=f"queue-{name}", pool=name) for name in pools),
        )
    )


def _instance(number: int) -> InstanceSpec:
    return InstanceSpec(
        name=f"instance-{number}",
        pool=f"pool-{number % _POOLS}",
        zone="abc"[number % 3],
        rack=f"rack-{number // 4}",
        address=f"10.0.{number // 250}.{number % 250 + 1}:8000",
    )


def _measure_bootstrap(history: _History) -> tuple[float, float]:
    address = free_address()
    server = serve(LogServiceStandin(), address)
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        client = HttpLogClient(LogServiceSettings(address=address, timeout_s=30.0), "bench")
        client.append(FLEET, history.records)
        log_ms = _median_ms(lambda: _bootstrap(client, history))
        _write_snapshot(client, history)
        return log_ms, _median_ms(lambda: _bootstrap(client, history))
    finally:
        server.stop()
        thread.join()


def _write_snapshot(client: HttpLogClient, history: _History) -> None:
    fold = Fold()
    for offset, data in enumerate(history.records[:-_RECORDS_AFTER_SNAPSHOT]):
        fold.apply(offset, data)
    state, next_offset = fold.encode_state()
    SnapshotStore(client).write(state, 1, next_offset, time.time(), _SNAPSHOT_CHUNK_BYTES)


def _bootstrap(client: HttpLogClient, history: _History) -> None:
    fold = Fold()
    follower = Follower(client, fold, LocalMetrics(), SystemClock())
    follower.bootstrap()
    while fold.next_offset < len(history.records):
        follower.poll()
    assert fold.state.revision == history.fold.state.revision


def _median_ms(run: Any) -> float:
    times_s: list[float] = []
    for _ in range(_REPETITIONS):
        begin_s = time.perf_counter()
        run()
        times_s.append(time.perf_counter() - begin_s)
    return round(statistics.median(times_s) * 1e3, 2)


@bench_command("state", "cost of the fold, of snapshots and of a bootstrap")
def _run(_arguments: argparse.Namespace) -> int:
    print(json.dumps(msgspec.to_builtins(measure_state()), indent=2))
    return 0
