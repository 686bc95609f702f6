"""Interface of the record store that ownership and intake use."""

from typing import NamedTuple, Protocol

from almondstack.ownership.latency import StoreLatency
from almondstack.ownership.read_backoff import ReadBackoff

__all__ = ["MAX_FIRST_SEQUENCE", "Batch", "Record", "RecordStore", "Snapshot"]

MAX_FIRST_SEQUENCE = 2**40
"""Upper bound of the random sequence number of the first append with a token.  The store would
treat two of them with the same token and the same sequence number as a repeat and answer both with
success.  With different sequence numbers it accepts only the first, however fast other records are
appended."""


class Record(NamedTuple):
    """A keyed record; an empty value deletes the key."""

    key: str
    value: bytes


class Batch(NamedTuple):
    """Records in log order, the offset after the last of them, and the end offset of the log."""

    records: list[Record]
    next_offset: int
    end_offset: int


class Snapshot(NamedTuple):
    """The newest record of each key, and the offset at which to continue reading."""

    records: list[Record]
    next_offset: int


class RecordStore(Protocol):
    """A log of keyed records with conditional and fenced appends."""

    @property
    def latency(self) -> StoreLatency:
        """Recent answer times of the store."""
        ...

    @property
    def read_backoff(self) -> ReadBackoff:
        """Backoff of reads while the store rejects them for its rate limit."""
        ...

    def snapshot(self) -> Snapshot:
        """Read the newest record of each key.

        Raises
        ------
        StoreError
            The store failed or gave a malformed answer.
        """
        ...

    def read(self, offset: int, wait_s: float) -> Batch:
        """Read from an offset on; wait up to ``wait_s`` seconds for the first record.

        Raises
        ------
        HistoryLostError
            The records at the offset have expired.
        StoreError
            The store failed or gave a malformed answer.
        """
        ...

    def append(self, records: list[Record], timeout_s: float) -> None:
        """Append records; any process may call this, not only the owner.

        Raises
        ------
        StoreRefusedError
            Nothing was stored.
        StoreUnclearError
            The records may have been stored, or may be within seconds.
        """
        ...

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append a record if the log ends at ``offset`` when the store executes the call.

        Raises
        ------
        LogMovedError
            The log ends at another offset; the record is not stored, now or later.
        StoreRefusedError
            Nothing was stored.
        StoreUnclearError
            The record may have been stored, or may be as long as the log ends at ``offset``.
        """
        ...

    def claim(self, token: int, record: Record, sequence: int) -> bool:
        """Append the first record of an owner, unless its token or a later one is taken.

        Explanation
        -----------
        Success fences all earlier owners.  ``sequence`` is the sequence number of this
        append; the owner's appends continue from it.  Return False if another process
        holds a later token, or the same token with another sequence number.
        """
        ...

    def append_owned(
        self, records: list[Record], token: int, sequence: int, timeout_s: float
    ) -> int:
        """Append records of the owner with ``token``; return the offset after them.

        Explanation
        -----------
        ``sequence`` counts up by one from that of the claim.  With a higher token than before
        it begins at any number, and the call is a claim of that token as well.  The call is
        idempotent: repeats with the same sequence number and records take effect once.

        Raises
        ------
        FencedError
            Another process has claimed ownership.
        StoreRefusedError
            Nothing was stored.
        StoreUnclearError
            The records may have been stored.
        """
        ...
