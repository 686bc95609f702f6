"""What callers' requests need of the store's follower and of the owner."""

from typing import Protocol

from almondstack.intake.requests import OwnerRequest
from almondstack.intake.verdicts import Receipt

__all__ = ["OwnerPort", "StoreReader"]


class StoreReader(Protocol):
    """Follows the store into the book."""

    @property
    def lag_s(self) -> float:
        """Seconds since this process last knew all that the store held."""
        ...

    @property
    def read_gap_s(self) -> float:
        """How long it may be between two answers of a store that is well, in seconds."""
        ...

    @property
    def next_offset(self) -> int:
        """The offset up to which the store is folded into the book."""
        ...

    def sync(self) -> None:
        """Read to the present end of the store in the calling thread.

        Raises
        ------
        StoreError
            The store did not answer as it should.
        """
        ...


class OwnerPort(Protocol):
    """Asks whichever process owns the jobs."""

    def ask(self, request: OwnerRequest, timeout_s: float) -> Receipt:
        """Return the owner's receipt.

        Raises
        ------
        OwnerNotReachedError
            The request was not taken, and won't be.
        OwnerUnclearError
            It may have been taken, or may be within seconds.
        """
        ...
