"""Fake permits that a test sets, which fail when more are returned than taken."""

from collections import Counter
from collections.abc import Callable, Iterable

from almondstack.core import AlmondError

__all__ = ["FakePermits", "OverdrawnError"]


class OverdrawnError(AlmondError):
    """More permits were returned than taken."""

    code = "overdrawn"


class FakePermits:
    """Fake permits with counts set by a test.

    Parameters
    ----------
    held : dict of str to int
        Permits by resource.

    Examples
    --------
    >>> from almondstack.testing.fake_permits import FakePermits
    >>> permits = FakePermits({"ceiling/north": 1})
    >>> permits.try_acquire(["ceiling/north"]), permits.free_count("ceiling/north")
    (True, 0)
    """

    __slots__ = ("_listeners", "demand", "held", "used")

    def __init__(self, held: dict[str, int]) -> None:
        self.held = dict(held)
        self.used: Counter[str] = Counter()
        self.demand: dict[str, int] = {}
        self._listeners: list[Callable[[], None]] = []

    def try_acquire(self, resources: Iterable[str]) -> bool:
        """Take one permit of each resource, or none at all."""
        wanted = list(resources)
        if any(self.free_count(name) <= 0 for name in wanted):
            return False
        self.used.update(wanted)
        return True

    def release(self, resources: Iterable[str]) -> None:
        """Return one permit of each resource.

        Raises
        ------
        OverdrawnError
            A permit was returned that was not taken.
        """
        for name in resources:
            if self.used[name] <= 0:
                raise OverdrawnError(name)
            self.used[name] -= 1
        self.notify()

    def free_count(self, resource: str) -> int:
        """Return how many permits are not in use."""
        return max(0, self.held.get(resource, 0) - self.used[resource])

    def held_count(self, resource: str) -> int:
        """Return how many permits are held."""
        return self.held.get(resource, 0)

    def set_demand(self, resource: str, waiting: int) -> None:
        """Record the reported demand."""
        self.demand[resource] = waiting

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register ``listener``, which is called whenever permits become free."""
        self._listeners.append(listener)

    def set_held(self, resource: str, count: int) -> None:
        """Set the number of permits held, at least the number in use."""
        self.held[resource] = max(count, self.used[resource])
        self.notify()

    def notify(self) -> None:
        """Call the listeners."""
        for listener in self._listeners:
            listener()
