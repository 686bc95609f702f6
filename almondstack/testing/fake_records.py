"""A store of keyed records in memory, with faults that tests switch."""

from almondstack.ownership import (
    Batch,
    FencedError,
    HistoryLostError,
    Record,
    Snapshot,
    StoreRefusedError,
    StoreTempo,
    StoreUnclearError,
)

__all__ = ["FakeRecordStore", "LateStore"]


class FakeRecordStore:
    """Does what ``RecordStore`` promises.

    Attributes
    ----------
    is_down : bool
        Every call is refused.
    loses_replies : int
        So many of the next appends are stored and not answered.
    first_offset : int
        Older records have expired.
    most_per_read : int
        Records that one read returns at most.
    """

    def __init__(self) -> None:
        self.tempo = StoreTempo()
        self.records: list[Record] = []
        self.is_down = False
        self.loses_replies = 0
        self.first_offset = 0
        self.most_per_read = 1_000_000
        self._attempts: dict[str, int] = {}
        self._token = 0
        self._sequence = 0

    def snapshot(self) -> Snapshot:
        """Return the newest record of each key."""
        self._check()
        newest = {record.key: record for record in self.records}
        return Snapshot([one for one in newest.values() if one.value], len(self.records))

    def read(self, offset: int, wait_s: float) -> Batch:
        """Return what lies behind an offset, without waiting."""
        self._check()
        if offset < self.first_offset:
            raise HistoryLostError(f"offset {offset}")
        records = self.records[offset : offset + self.most_per_read]
        return Batch(records, offset + len(records), len(self.records))

    def append(self, records: list[Record], timeout_s: float) -> None:
        """Append records."""
        self._check()
        self.records.extend(records)
        self._maybe_lose_reply()

    def append_attempt(self, record: Record, producer: str, epoch: int, timeout_s: float) -> None:
        """Append a record unless its epoch has been fenced."""
        self._check()
        is_repeat = self._attempts.get(producer) == epoch
        self._note_attempt(producer, epoch)
        if not is_repeat:
            self.records.append(record)
        self._maybe_lose_reply()

    def fence_attempts(self, producer: str, epoch: int, timeout_s: float) -> None:
        """Fence the attempts of a producer with lower epochs."""
        self._check()
        self._note_attempt(producer, epoch)
        self._maybe_lose_reply()

    def claim(self, token: int, record: Record, sequence: int) -> bool:
        """Append an owner's first record unless its token is taken."""
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
    ) -> None:
        """Append records of the owner, once for each sequence."""
        self._check()
        if token < self._token or sequence not in (self._sequence, self._sequence + 1):
            raise FencedError("fenced")
        if sequence == self._sequence + 1:
            self.records.extend(records)
            self._sequence = sequence
        self._maybe_lose_reply()

    def _note_attempt(self, producer: str, epoch: int) -> None:
        if epoch < self._attempts.get(producer, 0):
            raise FencedError("fenced")
        self._attempts[producer] = epoch

    def _check(self) -> None:
        if self.is_down:
            raise StoreRefusedError("down")

    def _maybe_lose_reply(self) -> None:
        if self.loses_replies:
            self.loses_replies -= 1
            raise StoreUnclearError("no answer")


class LateStore:
    """Answers no attempt, and carries it out later on another store.

    Parameters
    ----------
    store : FakeRecordStore
        Takes the attempts when they are carried out.
    """

    def __init__(self, store: FakeRecordStore) -> None:
        self.tempo = StoreTempo()
        self._store = store
        self._attempts: list[tuple[Record, str, int]] = []

    def append_attempt(self, record: Record, producer: str, epoch: int, timeout_s: float) -> None:
        """Keep an attempt for later."""
        self._attempts.append((record, producer, epoch))
        raise StoreUnclearError("no answer")

    def carry_out(self) -> None:
        """Carry out what is kept; what has been fenced meanwhile has no effect."""
        for record, producer, epoch in self._attempts:
            try:
                self._store.append_attempt(record, producer, epoch, 1.0)
            except FencedError:
                continue
