"""In-memory record stores for tests, with configurable faults."""

import contextlib

from almondstack.ownership import (
    Batch,
    FencedError,
    HistoryLostError,
    LogMovedError,
    ReadBackoff,
    Record,
    Snapshot,
    StoreLatency,
    StoreRefusedError,
    StoreUnclearError,
)

__all__ = ["DelayedAppendStore", "FakeRecordStore"]


class FakeRecordStore:
    """In-memory ``RecordStore``.

    Attributes
    ----------
    is_down : bool
        Whether every call is rejected.
    replies_to_lose : int
        Number of the next appends that are stored but not answered.
    first_offset : int
        Offset of the oldest record that has not expired.
    max_per_read : int
        Largest number of records that one read returns.
    """

    def __init__(self) -> None:
        self.latency = StoreLatency()
        self.read_backoff = ReadBackoff()
        self.records: list[Record] = []
        self.is_down = False
        self.replies_to_lose = 0
        self.first_offset = 0
        self.max_per_read = 1_000_000
        self._token = 0
        self._sequence = 0

    def snapshot(self) -> Snapshot:
        """Return the newest record of each key."""
        self._check()
        newest = {record.key: record for record in self.records}
        return Snapshot([one for one in newest.values() if one.value], len(self.records))

    def read(self, offset: int, wait_s: float) -> Batch:
        """Return the records from an offset on, without waiting."""
        self._check()
        if offset < self.first_offset:
            raise HistoryLostError(f"offset {offset} has expired; first is {self.first_offset}")
        records = self.records[offset : offset + self.max_per_read]
        return Batch(records, offset + len(records), len(self.records))

    def append(self, records: list[Record], timeout_s: float) -> None:
        """Append records."""
        self._check()
        self.records.extend(records)
        self._maybe_lose_reply()

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append a record if the log ends at that offset."""
        self._check()
        if offset != len(self.records):
            raise LogMovedError(f"the log does not end at offset {offset}")
        self.records.append(record)
        self._maybe_lose_reply()

    def claim(self, token: int, record: Record, sequence: int) -> bool:
        """Append the first record of an owner unless its token or a later one is taken."""
        self._check()
        is_repeat = token == self._token and sequence == self._sequence
        if not is_repeat:
            if token <= self._token:
                return False
            self.records.append(record)
            self._token, self._sequence = token, sequence
        self._maybe_lose_reply()
        return True

    def append_owned(
        self, records: list[Record], token: int, sequence: int, timeout_s: float = 1.0
    ) -> int:
        """Append records of the owner, once for each sequence number."""
        self._check()
        is_next = token > self._token or sequence == self._sequence + 1
        if token < self._token or (not is_next and sequence != self._sequence):
            raise FencedError("fenced")
        if is_next:
            self.records.extend(records)
            self._token, self._sequence = token, sequence
        self._maybe_lose_reply()
        return len(self.records)

    def _check(self) -> None:
        if self.is_down:
            raise StoreRefusedError("down")

    def _maybe_lose_reply(self) -> None:
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            raise StoreUnclearError("no answer")


class DelayedAppendStore:
    """Delays conditional appends without an answer, and executes them later on another store.

    Parameters
    ----------
    store : FakeRecordStore
        Store on which the appends are executed.
    """

    def __init__(self, store: FakeRecordStore) -> None:
        self.latency = StoreLatency()
        self.read_backoff = ReadBackoff()
        self._store = store
        self._late: list[tuple[Record, int]] = []

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Keep the append for later, and fail without an answer."""
        self._late.append((record, offset))
        raise StoreUnclearError("no answer")

    def carry_out(self) -> None:
        """Execute the delayed appends; those whose offset is no longer the end have no effect."""
        late, self._late = self._late, []
        for record, offset in late:
            with contextlib.suppress(LogMovedError):
                self._store.append_at(record, offset, 1.0)
