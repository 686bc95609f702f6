"""What ownership needs of a store of records."""

from typing import NamedTuple, Protocol

from almondstack.ownership.latency import StoreLatency
from almondstack.ownership.read_backoff import ReadBackoff

__all__ = ["Batch", "Record", "RecordStore", "Snapshot"]


class Record(NamedTuple):
    """One record: a key, and a value that is empty if the key is dropped."""

    key: str
    value: bytes


class Batch(NamedTuple):
    """Records read in their order, the offset behind the last of them, and where the log ended."""

    records: list[Record]
    next_offset: int
    end_offset: int


class Snapshot(NamedTuple):
    """The newest record of each key, and the offset from which to read on."""

    records: list[Record]
    next_offset: int


class RecordStore(Protocol):
    """A log of keyed records with conditional and fenced appends."""

    @property
    def latency(self) -> StoreLatency:
        """How fast it has answered lately."""
        ...

    @property
    def read_backoff(self) -> ReadBackoff:
        """How far apart reads should be."""
        ...

    def snapshot(self) -> Snapshot:
        """Read the newest record of each key.

        Raises
        ------
        StoreError
            The store did not answer as it should.
        """
        ...

    def read(self, offset: int, wait_s: float) -> Batch:
        """Read on from an offset; waits up to ``wait_s`` seconds for a first record.

        Raises
        ------
        HistoryLostError
            The offset has expired.
        StoreError
            The store did not answer as it should.
        """
        ...

    def append(self, records: list[Record], timeout_s: float) -> None:
        """Append records of any process.

        Raises
        ------
        StoreRefusedError
            Nothing was stored.
        StoreUnclearError
            It may have been stored, or may be within seconds.
        """
        ...

    def append_at(self, record: Record, offset: int, timeout_s: float) -> None:
        """Append a record if the log ends at ``offset`` when its turn comes.

        Raises
        ------
        LogMovedError
            The log went on; nothing was stored, nor will be.
        StoreRefusedError
            Nothing was stored.
        StoreUnclearError
            It may have been stored, or may be as long as the log ends there.
        """
        ...

    def claim(self, token: int, record: Record, sequence: int) -> bool:
        """Append the first record of an owner, if nobody has that token or a later one.

        Explanation
        -----------
        Success fences all owners before.  ``sequence`` is the number of this
        append; those of the owner follow on.  Return False if another process
        has the token, which its sequence shows, or a later one.
        """
        ...

    def append_owned(
        self, records: list[Record], token: int, sequence: int, timeout_s: float
    ) -> int:
        """Append records of the owner with ``token``; return the offset behind them.

        Explanation
        -----------
        ``sequence`` counts on from its claim.  A call may be repeated with the
        same sequence and records and takes effect once.

        Raises
        ------
        FencedError
            Another owner has claimed the log.
        StoreRefusedError
            Nothing was stored.
        StoreUnclearError
            It may have been stored.
        """
        ...
