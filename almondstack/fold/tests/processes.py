"""Processes of the state machine: production code with a fake log service and clock."""

from contextlib import suppress
from typing import Any

from almondstack.core import LocalMetrics, LogServiceSettings
from almondstack.fold import Fold
from almondstack.log import (
    FLEET,
    Bootstrap,
    Follower,
    LogError,
    LogTruncatedError,
    RecordWriter,
    SnapshotSettings,
    SnapshotWriter,
    WriterFullError,
)
from almondstack.testing.clocks import ManualClock
from almondstack.testing.fake_log import FakeLog

MAX_PENDING = 5


class RecordingLog(FakeLog):
    """Fake log that keeps all records of the fleet stream, also after a truncation."""

    def __init__(self) -> None:
        super().__init__()
        self.history: list[bytes] = []

    def append(self, stream: str, records: list[bytes]) -> int:
        if stream == FLEET:
            self.history.extend(records)
        return super().append(stream, records)


class Process:
    """One entry incarnation, with only its log and fold components."""

    def __init__(self, log: RecordingLog, incarnation: str, processes: list["Process"]) -> None:
        self.incarnation = incarnation
        self.client = log.client()
        self.clock = ManualClock()
        self.fold = Fold()
        self._processes = processes
        metrics = LocalMetrics()
        bootstrap = Bootstrap(self.client, self.fold, metrics, self)
        self.follower = Follower(self.client, self.fold, metrics, self.clock, bootstrap)
        settings = LogServiceSettings(address="127.0.0.1:1")
        self.writer = RecordWriter(
            self.client,
            FLEET,
            incarnation,
            settings,
            metrics,
            self.clock,
            position=self.follower.position,
            max_pending=MAX_PENDING,
        )
        self.snapshots = SnapshotWriter(
            self.client,
            self.fold,
            incarnation,
            SnapshotSettings(every_records=4, turn_s=1.0),
            metrics,
            self.clock,
        )
        self.submitted: dict[int, Any] = {}
        self.highest_offset = 0
        self.highest_revision = 0

    def fetch_state(self) -> tuple[bytes, int] | None:
        """Return the state of the process with the highest offset, as a peer would."""
        peers = [other for other in self._processes if other is not self]
        peer = max(peers, key=lambda other: other.fold.next_offset, default=None)
        return peer.fold.encode_state() if peer and not self.client.is_cut_off else None

    def submit(self, body: Any) -> None:
        try:
            self.submitted[self.writer.submit(body)] = body
        except WriterFullError:
            assert self.writer.pending_count == MAX_PENDING

    def follow(self) -> None:
        """Run one iteration of the follower's thread."""
        try:
            self.follower.poll()
        except LogTruncatedError:
            assert self.follower.has_gap and not self.follower.may_decide
            assert self.follower.position() is None
            self.start()
        except LogError:
            pass

    def start(self) -> None:
        with suppress(LogError):
            self.follower.bootstrap()
