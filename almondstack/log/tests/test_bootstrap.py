"""Bootstrap at start and after a gap, relayed records, and the order of snapshot writers."""

import pytest

from almondstack.core import LocalMetrics, decode_msgpack, encode_msgpack
from almondstack.fold import Fold
from almondstack.log import (
    FLEET,
    Bootstrap,
    BootstrapError,
    BootstrapOrigin,
    Follower,
    LogTruncatedError,
    SnapshotSettings,
    SnapshotStore,
    SnapshotWriter,
)
from almondstack.log.snapshots import SnapshotChunk
from almondstack.model import EntryState, KeyRevoked, ReleaseApplied, encode_record
from almondstack.testing.builders import make_note
from almondstack.testing.clocks import ManualClock
from almondstack.testing.fake_log import FakeLog

SMALL_CHUNK_BYTES = 200


class Peers:
    """Peer state source that returns the state of one fold."""

    def __init__(self, fold: Fold) -> None:
        self._fold = fold

    def fetch_state(self) -> tuple[bytes, int]:
        return self._fold.encode_state()


def _log(records: int) -> tuple[FakeLog, Fold]:
    log, fold = FakeLog(), Fold()
    bodies = [ReleaseApplied(0, make_note()), *(KeyRevoked(f"k{n}") for n in range(records - 1))]
    for number, body in enumerate(bodies):
        data = encode_record("operator", number + 1, body)
        log.append(FLEET, [data])
        fold.apply(number, data)
    return log, fold


def _snapshot(log: FakeLog, fold: Fold) -> None:
    state, offset = fold.encode_state()
    SnapshotStore(log.client()).write(state, 1, offset, 0.0, SMALL_CHUNK_BYTES)


def _bootstrapped(log: FakeLog, peers: Peers | None = None) -> tuple[Fold, BootstrapOrigin]:
    fold = Fold()
    return fold, Bootstrap(log.client(), fold, LocalMetrics(), peers).run()


def test_new_process_starts_at_the_newest_snapshot_and_reaches_an_equal_state():
    log, fold = _log(20)
    _snapshot(log, fold)
    data = encode_record("operator", 21, KeyRevoked("late"))
    fold.apply(20, data)
    log.append(FLEET, [data])
    log.truncate(FLEET, 20)
    new_fold, origin = _bootstrapped(log)
    assert origin is BootstrapOrigin.SNAPSHOT and new_fold.next_offset == 20
    Follower(log.client(), new_fold, LocalMetrics(), ManualClock()).poll()
    assert new_fold.encode_state() == fold.encode_state()


@pytest.mark.parametrize("damage", ["missing-chunk", "changed-chunk", "no-state"])
def test_new_process_falls_back_to_an_older_snapshot_if_the_newest_is_damaged(damage):
    log, fold = _log(20)
    _snapshot(log, fold)
    good = len(log.records("snapshots"))
    fold.apply(20, encode_record("operator", 21, KeyRevoked("late")))
    other = FakeLog()
    _snapshot(other, fold)
    chunks = other.records("snapshots")
    assert len(chunks) > 1 and good > 1
    log.append("snapshots", _damaged(chunks, damage))
    new_fold, origin = _bootstrapped(log)
    assert origin is BootstrapOrigin.SNAPSHOT and new_fold.next_offset == 20


def _damaged(chunks: list[bytes], damage: str) -> list[bytes]:
    if damage == "missing-chunk":
        return chunks[:-1]
    if damage == "no-state":
        return [b"\xc1garbage"]
    last = decode_msgpack(chunks[-1], SnapshotChunk)
    changed = SnapshotChunk(
        last.level, last.next_offset, last.digest, last.index, last.count, 0.0, last.data[::-1]
    )
    return [*chunks[:-1], encode_msgpack(changed)]


def test_new_process_installs_a_peer_state_while_the_log_is_unavailable():
    log, fold = _log(5)
    log.is_down = True
    new_fold, origin = _bootstrapped(log, Peers(fold))
    assert origin is BootstrapOrigin.PEER
    assert new_fold.encode_state() == fold.encode_state()
    with pytest.raises(BootstrapError):
        _bootstrapped(log)


def test_gap_stops_decisions_until_a_newer_state_is_installed():
    log, fold = _log(10)
    lagging_fold = Fold()
    follower = Follower(log.client(), lagging_fold, LocalMetrics(), ManualClock())
    follower.fold_entries(log.client().read(FLEET, 0)[:3])
    log.truncate(FLEET, 6)
    with pytest.raises(LogTruncatedError):
        follower.poll()
    assert follower.has_gap and not follower.may_decide and follower.position() is None
    with pytest.raises(BootstrapError):
        follower.bootstrap()
    assert lagging_fold.next_offset == 3
    _snapshot(log, fold)
    follower.bootstrap()
    assert not follower.has_gap and lagging_fold.encode_state() == fold.encode_state()


def test_relayed_records_are_folded_whatever_their_order():
    log, fold = _log(10)
    lagging_fold = Fold()
    follower = Follower(log.client(), lagging_fold, LocalMetrics(), ManualClock())
    entries = fold.records_since(0)
    assert follower.fold_entries(entries[5:]) == 0
    assert follower.fold_entries([*entries[2:5], *entries[:4]]) == 10
    assert lagging_fold.encode_state() == fold.encode_state()


def test_records_relayed_before_bootstrap_do_not_count_as_caught_up():
    log, fold = _log(10)
    new_fold = Fold()
    follower = Follower(log.client(), new_fold, LocalMetrics(), ManualClock())
    follower.fold_entries(fold.records_since(0)[:4])
    assert follower.position() is None
    follower.bootstrap()
    assert follower.position() is None
    follower.poll()
    assert follower.position() == 10


def test_one_process_writes_a_snapshot_and_the_next_only_if_it_does_not():
    log, fold = _log(10)
    clock = ManualClock()
    settings = SnapshotSettings(every_records=10, turn_s=5.0)
    state = fold.state
    for number in range(3):
        name = f"e{number}"
        address = "127.0.0.1:1"
        state.entries[name] = EntryState(
            incarnation=name,
            name=name,
            zone="a",
            region="r",
            address=address,
            peer_address=address,
            level=1,
        )
    writers = [
        SnapshotWriter(log.client(), fold, f"e{number}", settings, LocalMetrics(), clock)
        for number in range(3)
    ]
    written = [writer for writer in writers if writer.check()]
    assert len(written) == 1
    assert not any(writer.check() for writer in writers)
    clock.advance(settings.every_s)
    others = [writer for writer in writers if writer is not written[0]]
    for writer in others:
        writer.check()
    count = len(log.records("snapshots"))
    clock.advance(settings.turn_s * len(writers))
    assert [writer.check() for writer in others].count(True) == 1
    assert len(log.records("snapshots")) > count
