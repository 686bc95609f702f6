"""Bounded window of the newest records in encoded form, served to lagging peers."""

from collections import deque

from almondstack.model import LogEntry

__all__ = ["RecordWindow"]

_MAX_RECORDS = 4096
_MAX_BYTES = 8 << 20


class RecordWindow:
    """Keeps the newest consecutive records, bounded in number and in bytes.

    Parameters
    ----------
    max_records : int
        Maximum number of records kept.
    max_bytes : int
        Maximum size of the record data kept, in bytes.
    """

    __slots__ = ("_entries", "_max_bytes", "_max_records", "_size_bytes")

    def __init__(self, max_records: int = _MAX_RECORDS, max_bytes: int = _MAX_BYTES) -> None:
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._entries: deque[LogEntry] = deque()
        self._size_bytes = 0

    @property
    def oldest(self) -> int | None:
        """Offset of the oldest record kept; None if the window is empty."""
        return self._entries[0].offset if self._entries else None

    def add(self, offset: int, data: bytes) -> None:
        """Append the next record; evict the oldest ones beyond the limits."""
        self._entries.append(LogEntry(offset, data))
        self._size_bytes += len(data)
        while len(self._entries) > self._max_records or self._size_bytes > self._max_bytes:
            self._size_bytes -= len(self._entries.popleft().data)

    def clear(self) -> None:
        """Remove all records."""
        self._entries.clear()
        self._size_bytes = 0

    def since(self, offset: int, max_records: int) -> list[LogEntry]:
        """Return up to ``max_records`` records from ``offset`` on; none if it is not kept."""
        oldest = self.oldest
        if oldest is None or offset < oldest:
            return []
        start = offset - oldest
        stop = min(start + max_records, len(self._entries))
        return [self._entries[index] for index in range(start, stop)]
