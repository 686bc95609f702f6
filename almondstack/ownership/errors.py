"""Failures of the store of records, by what they leave behind."""

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
    """Base of the store's failures."""

    code = "store"


class StoreRefusedError(StoreError):
    """The store did not take the call; nothing was done."""

    code = "store-refused"


class StoreUnclearError(StoreError):
    """The store did not answer; what was sent may be stored, now or later."""

    code = "store-unclear"


class HistoryLostError(StoreError):
    """The records asked for have expired; the newest of each key must be read."""

    code = "store-history"


class LogMovedError(StoreError):
    """Records came before one that was meant for the end of the log; it was not stored."""

    code = "log-moved"


class FencedError(StoreError):
    """Another process owns the jobs now."""

    code = "fenced"
