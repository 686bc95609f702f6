"""Client, readers, writers and snapshots of the platform's append-only log."""

from almondstack.log.bootstrap import Bootstrap, BootstrapOrigin, PeerStateSource
from almondstack.log.client import (
    CLAIMS,
    FLEET,
    SNAPSHOTS,
    HttpLogClient,
    LogBounds,
    LogClient,
)
from almondstack.log.errors import (
    BootstrapError,
    LogError,
    LogReplyLostError,
    LogTruncatedError,
    LogUnavailableError,
    WriterFullError,
)
from almondstack.log.follower import Follower
from almondstack.log.settings import SnapshotSettings
from almondstack.log.snapshot_writer import SnapshotWriter
from almondstack.log.snapshots import Snapshot, SnapshotStore, decode_state
from almondstack.log.writer import RecordWriter
from almondstack.model import LogEntry

__all__ = [
    "CLAIMS",
    "FLEET",
    "SNAPSHOTS",
    "Bootstrap",
    "BootstrapError",
    "BootstrapOrigin",
    "Follower",
    "HttpLogClient",
    "LogBounds",
    "LogClient",
    "LogEntry",
    "LogError",
    "LogReplyLostError",
    "LogTruncatedError",
    "LogUnavailableError",
    "PeerStateSource",
    "RecordWriter",
    "Snapshot",
    "SnapshotSettings",
    "SnapshotStore",
    "SnapshotWriter",
    "WriterFullError",
    "decode_state",
]
