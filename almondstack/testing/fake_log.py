"""An in-memory log service with switches for its failures.

Explanation
-----------
:class:`FakeLog` keeps the streams; each process under test gets a
:class:`FakeLogClient` of its own, which can be cut off alone.  Nothing waits:
a read returns at once with what is there.
"""

import threading

from almondstack.log import (
    LogBounds,
    LogEntry,
    LogReplyLostError,
    LogTruncatedError,
    LogUnavailableError,
)

__all__ = ["FakeLog", "FakeLogClient"]

_READ_RECORDS = 1000


class _Stream:
    """Records of one stream, of which the oldest can be dropped."""

    __slots__ = ("oldest", "records")

    def __init__(self) -> None:
        self.oldest = 0
        self.records: list[bytes] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.oldest + len(self.records)


class FakeLog:
    """The streams of a log service.

    Parameters
    ----------
    kept : int or None
        Records kept in each stream; None keeps all.
    """

    __slots__ = ("_append_count", "_kept", "_lock", "_streams", "is_down", "lost_replies")

    def __init__(self, kept: int | None = None) -> None:
        self._kept = kept
        self._lock = threading.Lock()
        self._streams: dict[str, _Stream] = {}
        self._append_count = 0
        self.is_down = False
        self.lost_replies = 0

    @property
    def append_count(self) -> int:
        """Number of append calls that took effect."""
        return self._append_count

    def client(self) -> "FakeLogClient":
        """Return a client that can be cut off alone."""
        return FakeLogClient(self)

    def records(self, stream: str) -> list[bytes]:
        """Return the records that the stream keeps."""
        with self._lock:
            return list(self._stream(stream).records)

    def truncate(self, stream: str, oldest: int) -> None:
        """Drop the records before ``oldest``."""
        with self._lock:
            self._drop(self._stream(stream), oldest)

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first."""
        with self._lock:
            kept = self._stream(stream)
            first = kept.next_offset
            kept.records.extend(records)
            self._append_count += 1
            if self._kept is not None:
                self._drop(kept, kept.next_offset - self._kept)
        return first

    def read(self, stream: str, offset: int) -> list[LogEntry]:
        """Return records from ``offset`` on."""
        with self._lock:
            kept = self._stream(stream)
            if offset < kept.oldest:
                raise LogTruncatedError("the offset is no longer kept")
            start = offset - kept.oldest
            found = kept.records[start : start + _READ_RECORDS]
        return [LogEntry(offset + index, data) for index, data in enumerate(found)]

    def bounds(self, stream: str) -> LogBounds:
        """Return which offsets the stream keeps."""
        with self._lock:
            kept = self._stream(stream)
            return LogBounds(kept.oldest, kept.next_offset)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    @staticmethod
    def _drop(kept: _Stream, oldest: int) -> None:
        surplus = min(oldest - kept.oldest, len(kept.records))
        if surplus > 0:
            del kept.records[:surplus]
            kept.oldest += surplus


class FakeLogClient:
    """One process's access to a :class:`FakeLog`.

    Parameters
    ----------
    log : FakeLog
        The service.
    """

    __slots__ = ("_log", "is_cut_off")

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self.is_cut_off = False

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first."""
        self._check()
        first = self._log.append(stream, records)
        if self._log.lost_replies > 0:
            self._log.lost_replies -= 1
            raise LogReplyLostError("reply dropped on purpose")
        return first

    def read(self, stream: str, offset: int, wait_s: float = 0.0) -> list[LogEntry]:
        """Return records from ``offset`` on, without waiting."""
        self._check()
        return self._log.read(stream, offset)

    def bounds(self, stream: str) -> LogBounds:
        """Return which offsets the stream keeps."""
        self._check()
        return self._log.bounds(stream)

    def _check(self) -> None:
        if self._log.is_down or self.is_cut_off:
            raise LogUnavailableError("down on purpose")
