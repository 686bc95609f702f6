"""What each client account may use of a short fleet."""

import math

__all__ = ["Entitlements"]


class Entitlements:
    """Stand-in with the interface of the entitlements: a fleet that covers all demand."""

    __slots__ = ()

    @property
    def is_short(self) -> bool:
        """Whether the fleet covers less than the demand."""
        return False

    def entitled(self, account: str) -> float:
        """Return thousandths of a core over the whole fleet; infinite without shortage."""
        del account
        return math.inf

    def covered_share(self, account: str) -> float:
        """Return the share of an account's demand that it is entitled to, from 0 to 1."""
        del account
        return 1.0

    def is_beyond(self, account: str, millis: float) -> bool:
        """Return whether a demand in thousandths of a core is beyond an account's entitlement."""
        return millis > self.entitled(account)
