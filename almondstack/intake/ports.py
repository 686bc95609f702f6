"""Interfaces of the log reader and of the job owner that caller requests use."""

from typing import Protocol

from almondstack.intake.requests import OwnerRequest
from almondstack.intake.verdicts import Receipt

__all__ = ["OwnerPort", "StoreReader"]


class StoreReader(Protocol):
    """Reads the store's log into the job index."""

    @property
    def lag_s(self) -> float:
        """Seconds since this process last read up to the end of the log."""
        ...

    @property
    def read_gap_s(self) -> float:
        """Longest interval between two answers of a healthy store, in seconds."""
        ...

    @property
    def next_offset(self) -> int:
        """Offset up to which the log is applied to the index."""
        ...

    def sync(self) -> None:
        """Read to the present end of the log in the calling thread.

        Raises
        ------
        StoreError
            The store failed or gave a malformed answer, or the end of the log was not
            reached in time.
        """
        ...


class OwnerPort(Protocol):
    """Sends requests to the process that owns the jobs."""

    def ask(self, request: OwnerRequest, timeout_s: float) -> Receipt:
        """Return the owner's receipt.

        Raises
        ------
        OwnerNotReachedError
            The request was not accepted, and will not be.
        OwnerUnclearError
            The request may have been accepted, or may be within seconds.
        """
        ...
