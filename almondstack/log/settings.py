"""Settings of snapshots."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["SnapshotSettings"]


class SnapshotSettings(Settings, frozen=True):
    """When snapshots are written.

    Parameters
    ----------
    every_records : int
        A new snapshot is due after so many records.
    every_s : float
        A new snapshot is due after so many seconds; to be set to an eighth of
        the log's retention at most.
    check_s : float
        Time between two looks at the newest snapshot, in seconds.
    turn_s : float
        How long the next process in line waits for the one before it, in seconds.
    chunk_bytes : int
        Most bytes of one record of a snapshot.
    """

    every_records: Annotated[int, Meta(ge=1)] = 2000
    every_s: Annotated[float, Meta(gt=0, le=2_592_000)] = 21_600.0
    check_s: PositiveSeconds = 10.0
    turn_s: PositiveSeconds = 15.0
    chunk_bytes: Annotated[int, Meta(ge=1024, le=1 << 24)] = 1 << 18
