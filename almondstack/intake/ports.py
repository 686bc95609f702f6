"""What callers' requests need of the store's follower and of the owner."""

from typing import Protocol

from almondstack.intake.requests import OwnerRequest
from almondstack.intake.verdicts import Receipt

__all__ = ["OwnerPort", "StoreReader"]


class StoreReader(Protocol):
    """Follows the store into the book."""

    @property
    def contact_age_s(self) -> float:
        """Seconds since the store last answered a read."""
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
