"""What each client account may use of a short fleet."""

import math
from collections.abc import Mapping

__all__ = ["Entitlements"]


class Entitlements:
    """Stand-in with the interface of the entitlements: a fleet that covers all demand by default.

    Parameters
    ----------
    entitled_millis : mapping of str to float, optional
        Entitlement by account in thousandths of a core.
    demand_millis : mapping of str to float, optional
        Demand by account in thousandths of a core.
    """

    __slots__ = ("_demand_millis", "_entitled_millis")

    def __init__(
        self,
        entitled_millis: Mapping[str, float] | None = None,
        demand_millis: Mapping[str, float] | None = None,
    ) -> None:
        self._entitled_millis = entitled_millis or {}
        self._demand_millis = demand_millis or {}

    @property
    def is_short(self) -> bool:
        """Whether the fleet covers less than the demand."""
        return any(self.covered_share(account) < 1.0 for account in self._demand_millis)

    def entitled(self, account: str) -> float:
        """Return thousandths of a core over the whole fleet; infinite without shortage."""
        return self._entitled_millis.get(account, math.inf)

    def covered_share(self, account: str) -> float:
        """Return the share of an account's demand that it is entitled to, from 0 to 1."""
        demand = self._demand_millis.get(account, 0.0)
        return min(1.0, self.entitled(account) / demand) if demand > 0 else 1.0

    def is_beyond(self, account: str, millis: float) -> bool:
        """Return whether a demand in thousandths of a core is beyond an account's entitlement."""
        return millis > self.entitled(account)
