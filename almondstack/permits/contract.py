"""What the rest of the entry needs of permits.

Explanation
-----------
A bound over the fleet (a team's ceiling, an upstream's slots, a rate) is split
into permits that entries hold.  Starting a request takes one permit of each
resource that it needs from those held here; no other process is asked.  The
sum of all permits never exceeds the bound (escrow, O'Neil 1986; demarcation
protocol, Barbara and Garcia-Molina 1994; bounded counters, Balegas et al. 2015).
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from almondstack.model import ceiling_resource, rate_resource, slots_resource

__all__ = ["Permits", "ceiling_resource", "rate_resource", "slots_resource"]


class Permits(Protocol):
    """Permits that this entry holds."""

    def try_acquire(self, resources: Iterable[str]) -> bool:
        """Take one permit of each resource, or none at all."""
        ...

    def release(self, resources: Iterable[str]) -> None:
        """Return one permit of each resource, once the work has surely ended."""
        ...

    def free_count(self, resource: str) -> int:
        """Return how many permits are held here and not in use."""
        ...

    def held_count(self, resource: str) -> int:
        """Return how many permits are held here, in use or not."""
        ...

    def set_demand(self, resource: str, waiting: int) -> None:
        """Say how many calls here wait for ``resource``, so that permits move here."""
        ...

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits have arrived or become free."""
        ...
