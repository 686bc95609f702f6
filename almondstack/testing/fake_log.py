"""In-memory log service whose failures tests switch on and off.

Explanation
-----------
:class:`FakeLog` stores the streams; each process under test gets its own
:class:`FakeLogClient`, which can be disconnected individually.  No call waits:
a read immediately returns the records that exist.
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

_MAX_RECORDS_PER_READ = 1000


class _Stream:
    """Records of one stream; the oldest can be dropped."""

    __slots__ = ("oldest", "records")

    def __init__(self) -> None:
        self.oldest = 0
        self.records: list[bytes] = []

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.oldest + len(self.records)


class FakeLog:
    """Streams of a log service.

    Parameters
    ----------
    max_records : int or None
        Maximum number of records kept in each stream; None keeps all.

    Attributes
    ----------
    is_down : bool
        True while every call of every client fails.
    lost_replies : int
        Number of further appends that take effect but whose reply is lost.
    """

    __slots__ = ("_append_count", "_lock", "_max_records", "_streams", "is_down", "lost_replies")

    def __init__(self, max_records: int | None = None) -> None:
        self._max_records = max_records
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
        """Return a client that can be disconnected individually."""
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
        """Append records; return the offset of the first one."""
        with self._lock:
            stored = self._stream(stream)
            first = stored.next_offset
            stored.records.extend(records)
            self._append_count += 1
            if self._max_records is not None:
                self._drop(stored, stored.next_offset - self._max_records)
        return first

    def read(self, stream: str, offset: int) -> list[LogEntry]:
        """Return records from ``offset`` on."""
        with self._lock:
            stored = self._stream(stream)
            if offset < stored.oldest:
                raise LogTruncatedError("the offset is below the oldest one kept")
            start = offset - stored.oldest
            found = stored.records[start : start + _MAX_RECORDS_PER_READ]
        return [LogEntry(offset + index, data) for index, data in enumerate(found)]

    def bounds(self, stream: str) -> LogBounds:
        """Return which offsets the stream keeps."""
        with self._lock:
            stored = self._stream(stream)
            return LogBounds(stored.oldest, stored.next_offset)

    def _stream(self, name: str) -> _Stream:
        return self._streams.setdefault(name, _Stream())

    @staticmethod
    def _drop(stored: _Stream, oldest: int) -> None:
        surplus = min(oldest - stored.oldest, len(stored.records))
        if surplus > 0:
            del stored.records[:surplus]
            stored.oldest += surplus


class FakeLogClient:
    """Client of one process for a :class:`FakeLog`.

    Parameters
    ----------
    log : FakeLog
        The log service.

    Attributes
    ----------
    is_cut_off : bool
        True while every call of this client fails.
    """

    __slots__ = ("_log", "is_cut_off")

    def __init__(self, log: FakeLog) -> None:
        self._log = log
        self.is_cut_off = False

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first one."""
        self._check()
        first = self._log.append(stream, records)
        if self._log.lost_replies > 0:
            self._log.lost_replies -= 1
            raise LogReplyLostError("the test dropped the reply of the append")
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
            raise LogUnavailableError("the test made the log service unavailable")
