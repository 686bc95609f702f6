"""Interface through which the rest of the entry acquires and releases permits.

Explanation
-----------
A bound over the fleet (a team's ceiling, an upstream's slots, a rate) is split
into permits that entries hold.  Starting a request acquires one permit of each
resource that it needs from those held by its entry, without a call to another
process.  The sum of all permits never exceeds the bound (escrow, O'Neil 1986;
demarcation protocol, Barbara and Garcia-Molina 1994; bounded counters, Balegas
et al. 2015).
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from almondstack.model import ceiling_resource, rate_resource, slots_resource

__all__ = ["Permits", "ceiling_resource", "rate_resource", "slots_resource"]


class Permits(Protocol):
    """Acquires and releases the permits that this entry holds."""

    def try_acquire(self, resources: Iterable[str]) -> bool:
        """Acquire one permit of each resource; return False and acquire none if one is lacking."""
        ...

    def release(self, resources: Iterable[str]) -> None:
        """Release one permit of each resource; call it only after the work has surely ended."""
        ...

    def free_count(self, resource: str) -> int:
        """Return the number of permits that this entry holds and does not use."""
        ...

    def held_count(self, resource: str) -> int:
        """Return the number of permits that this entry holds, in use or not."""
        ...

    def set_demand(self, resource: str, waiting: int) -> None:
        """Set how many calls of this entry wait for ``resource``, so that it requests permits."""
        ...

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits were received or released."""
        ...
