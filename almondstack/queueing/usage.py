"""Interface to the running calls of other entries."""

from typing import Protocol

__all__ = ["FleetUsage", "NoFleetUsage"]


class FleetUsage(Protocol):
    """Running totals of other entries, received with a delay."""

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` other entries run in ``pool``."""
        ...


class NoFleetUsage:
    """Usage without other entries.

    Examples
    --------
    >>> from almondstack.queueing import NoFleetUsage
    >>> NoFleetUsage().running_elsewhere("score", "north")
    0
    """

    __slots__ = ()

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return 0."""
        return 0
