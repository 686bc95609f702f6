"""Election of the process that owns the jobs: claims, fencing tokens and failover via the store."""

from almondstack.ownership.errors import (
    FencedError,
    HistoryLostError,
    LogMovedError,
    StoreError,
    StoreRefusedError,
    StoreUnclearError,
)
from almondstack.ownership.follower import Follower
from almondstack.ownership.latency import StoreLatency
from almondstack.ownership.ports import (
    MAX_FIRST_SEQUENCE,
    Batch,
    Record,
    RecordStore,
    Snapshot,
)
from almondstack.ownership.read_backoff import ReadBackoff
from almondstack.ownership.settings import OwnershipSettings
from almondstack.ownership.silence_timer import SilenceTimer

__all__ = [
    "MAX_FIRST_SEQUENCE",
    "Batch",
    "FencedError",
    "Follower",
    "HistoryLostError",
    "LogMovedError",
    "OwnershipSettings",
    "ReadBackoff",
    "Record",
    "RecordStore",
    "SilenceTimer",
    "Snapshot",
    "StoreError",
    "StoreLatency",
    "StoreRefusedError",
    "StoreUnclearError",
]
