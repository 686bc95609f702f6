"""Permits of a single entry, which holds every bound in full.

See Also
--------
almondstack.permits.escrow : permits shared by several entries.
"""

from collections.abc import Callable, Iterable

from almondstack.core import Clock
from almondstack.fold import Fold
from almondstack.model import bounds_of, rate_bursts
from almondstack.permits.table import PermitTable

__all__ = ["LocalPermits"]


class LocalPermits:
    """Holds all permits of the bounds in the folded configuration.

    Parameters
    ----------
    fold : Fold
        Provides the bounds.
    clock : Clock
        Refills the token buckets of rates.

    Examples
    --------
    >>> from almondstack.core import SystemClock
    >>> from almondstack.permits import LocalPermits, ceiling_resource
    >>> from almondstack.testing.builders import make_fold
    >>> permits = LocalPermits(make_fold(), SystemClock())
    >>> permits.free_count(ceiling_resource("north"))
    8
    """

    __slots__ = ("_fold", "_revision", "_table")

    def __init__(self, fold: Fold, clock: Clock) -> None:
        self._fold = fold
        self._table = PermitTable(clock)
        self._revision = -1

    def try_acquire(self, resources: Iterable[str]) -> bool:
        """Acquire one permit of each resource; return False and acquire none if one is lacking."""
        self.refresh()
        return self._table.try_acquire(resources)

    def release(self, resources: Iterable[str]) -> None:
        """Release one permit of each resource; call it only after the work has surely ended."""
        self._table.release(resources)

    def free_count(self, resource: str) -> int:
        """Return the number of permits not in use."""
        self.refresh()
        return self._table.free_count(resource)

    def held_count(self, resource: str) -> int:
        """Return the bound of ``resource``."""
        self.refresh()
        return self._table.held_count(resource)

    def set_demand(self, resource: str, waiting: int) -> None:
        """Set how many calls wait for ``resource``."""
        self._table.set_demand(resource, waiting)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits were added or released."""
        self._table.add_listener(listener)

    def refresh(self) -> None:
        """Update the bounds from the fold if the configuration has changed."""
        if self._fold.state.revision == self._revision:
            return
        with self._fold.lock:
            state = self._fold.state
            revision = state.revision
            bounds, bursts = bounds_of(state), rate_bursts(state)
        self._revision = revision
        if self._table.set_held(bounds, bursts):
            self._table.notify()
