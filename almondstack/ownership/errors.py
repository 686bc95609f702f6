"""Errors of the record store, by whether the failed call may still take effect."""

from almondstack.core import AlmondError

__all__ = [
    "FencedError",
    "HistoryLostError",
    "LogMovedError",
    "StoreError",
    "StoreRefusedError",
    "StoreUnclearError",
]


class StoreError(AlmondError):
    """Base class of the errors of the record store."""

    code = "store"


class StoreRefusedError(StoreError):
    """The store rejected the call; the call had no effect."""

    code = "store-refused"


class StoreUnclearError(StoreError):
    """The store did not answer; the records sent may be stored already, or may be later."""

    code = "store-unclear"


class HistoryLostError(StoreError):
    """The requested records have expired; the newest record of each key must be read instead."""

    code = "store-history"


class LogMovedError(StoreError):
    """The log did not end at the offset given for a conditional append; nothing was stored."""

    code = "log-moved"


class FencedError(StoreError):
    """Another process owns the jobs now, and the store rejects appends of the earlier owner."""

    code = "fenced"
