"""Permits of an entry that is alone: it holds every bound whole.

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
    """Holds the bounds of the folded configuration whole.

    Parameters
    ----------
    fold : Fold
        Knows the bounds.
    clock : Clock
        Fills the buckets of rates.

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
        """Take one permit of each resource, or none at all."""
        self.refresh()
        return self._table.try_acquire(resources)

    def release(self, resources: Iterable[str]) -> None:
        """Return one permit of each resource, once the work has surely ended."""
        self._table.release(resources)

    def free_count(self, resource: str) -> int:
        """Return how many permits are not in use."""
        self.refresh()
        return self._table.free_count(resource)

    def held_count(self, resource: str) -> int:
        """Return the bound of ``resource``."""
        self.refresh()
        return self._table.held_count(resource)

    def set_demand(self, resource: str, waiting: int) -> None:
        """Remember how many calls wait for ``resource``."""
        self._table.set_demand(resource, waiting)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits have arrived or become free."""
        self._table.add_listener(listener)

    def refresh(self) -> None:
        """Take the bounds from the fold if the configuration has changed."""
        if self._fold.state.revision == self._revision:
            return
        with self._fold.lock:
            state = self._fold.state
            revision = state.revision
            bounds, bursts = bounds_of(state), rate_bursts(state)
        self._revision = revision
        if self._table.set_held(bounds, bursts):
            self._table.notify()
