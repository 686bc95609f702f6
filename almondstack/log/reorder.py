"""Buffer of records that arrived before their predecessors."""

from almondstack.model import LogEntry

__all__ = ["ReorderBuffer"]

_MAX_RECORDS = 4096


class ReorderBuffer:
    """Bounded buffer of records by offset.

    Parameters
    ----------
    max_records : int
        Size of the window of offsets from the next one on; records beyond it are dropped.
    """

    __slots__ = ("_entries", "_max_records")

    def __init__(self, max_records: int = _MAX_RECORDS) -> None:
        self._max_records = max_records
        self._entries: dict[int, LogEntry] = {}

    def add(self, entries: list[LogEntry], next_offset: int) -> None:
        """Store the records of ``entries`` that are not folded yet and lie in the window."""
        self._drop_before(next_offset)
        for entry in entries:
            if next_offset <= entry.offset < next_offset + self._max_records:
                self._entries[entry.offset] = entry

    def pop(self, offset: int) -> LogEntry | None:
        """Remove and return the record at ``offset``, or None."""
        return self._entries.pop(offset, None)

    def _drop_before(self, next_offset: int) -> None:
        for offset in [key for key in self._entries if key < next_offset]:
            del self._entries[offset]
