"""Settings of the snapshot writer."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["SnapshotSettings"]


class SnapshotSettings(Settings, frozen=True):
    """Interval, order of writers and chunk size of snapshots.

    Parameters
    ----------
    every_records : int
        Number of records after which a new snapshot is due.
    every_s : float
        Time after which a new snapshot is due, in seconds; set it to at most an
        eighth of the log's retention time.
    check_s : float
        Time between two checks whether a snapshot is due, in seconds.
    turn_s : float
        Delay of each process behind the one that is before it in the order of
        writers, in seconds.
    chunk_bytes : int
        Maximum compressed data in one record of a snapshot, in bytes.
    """

    every_records: Annotated[int, Meta(ge=1)] = 2000
    every_s: Annotated[float, Meta(gt=0, le=2_592_000)] = 21_600.0
    check_s: PositiveSeconds = 10.0
    turn_s: PositiveSeconds = 15.0
    chunk_bytes: Annotated[int, Meta(ge=1024, le=1 << 24)] = 1 << 18
