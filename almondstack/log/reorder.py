"""Records that came before their predecessors."""

from almondstack.model import LogEntry

__all__ = ["ReorderBuffer"]

_RECORDS_KEPT = 4096


class ReorderBuffer:
    """Keeps a bounded number of records by offset.

    Parameters
    ----------
    most : int
        Most records kept; those nearest to the next offset stay.
    """

    __slots__ = ("_entries", "_most")

    def __init__(self, most: int = _RECORDS_KEPT) -> None:
        self._most = most
        self._entries: dict[int, LogEntry] = {}

    def add(self, entries: list[LogEntry], next_offset: int) -> None:
        """Keep the records of ``entries`` that are not folded yet."""
        self._drop_before(next_offset)
        for entry in entries:
            if next_offset <= entry.offset < next_offset + self._most:
                self._entries[entry.offset] = entry

    def pop(self, offset: int) -> LogEntry | None:
        """Remove and return the record at ``offset``, or None."""
        return self._entries.pop(offset, None)

    def _drop_before(self, next_offset: int) -> None:
        for offset in [key for key in self._entries if key < next_offset]:
            del self._entries[offset]
