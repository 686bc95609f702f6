"""The newest records in their raw form, for peers that lag behind."""

from collections import deque

from almondstack.model import LogEntry

__all__ = ["RecordWindow"]

_RECORDS_KEPT = 4096
_BYTES_KEPT = 8 << 20


class RecordWindow:
    """Keeps a bounded run of consecutive records.

    Parameters
    ----------
    most_records : int
        Most records kept.
    most_bytes : int
        Most bytes of record data kept.
    """

    __slots__ = ("_entries", "_most_bytes", "_most_records", "_size_bytes")

    def __init__(self, most_records: int = _RECORDS_KEPT, most_bytes: int = _BYTES_KEPT) -> None:
        self._most_records = most_records
        self._most_bytes = most_bytes
        self._entries: deque[LogEntry] = deque()
        self._size_bytes = 0

    @property
    def oldest(self) -> int | None:
        """Offset of the oldest record kept; None if there is none."""
        return self._entries[0].offset if self._entries else None

    def add(self, offset: int, data: bytes) -> None:
        """Add the record that follows the newest one."""
        self._entries.append(LogEntry(offset, data))
        self._size_bytes += len(data)
        while len(self._entries) > self._most_records or self._size_bytes > self._most_bytes:
            self._size_bytes -= len(self._entries.popleft().data)

    def clear(self) -> None:
        """Forget every record."""
        self._entries.clear()
        self._size_bytes = 0

    def since(self, offset: int, most: int) -> list[LogEntry]:
        """Return up to ``most`` records from ``offset`` on; none if it is not kept."""
        oldest = self.oldest
        if oldest is None or offset < oldest:
            return []
        start = offset - oldest
        stop = min(start + most, len(self._entries))
        return [self._entries[index] for index in range(start, stop)]
