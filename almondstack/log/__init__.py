"""Client side of the platform's append-only log."""

from almondstack.log.client import (
    CLAIMS,
    FLEET,
    SNAPSHOTS,
    HttpLogClient,
    LogBounds,
    LogClient,
    LogEntry,
)
from almondstack.log.errors import (
    LogError,
    LogReplyLostError,
    LogTruncatedError,
    LogUnavailableError,
)
from almondstack.log.follower import Follower
from almondstack.log.writer import RecordWriter

__all__ = [
    "CLAIMS",
    "FLEET",
    "SNAPSHOTS",
    "Follower",
    "HttpLogClient",
    "LogBounds",
    "LogClient",
    "LogEntry",
    "LogError",
    "LogReplyLostError",
    "LogTruncatedError",
    "LogUnavailableError",
    "RecordWriter",
]
