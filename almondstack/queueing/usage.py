"""What runs at the other entries."""

from typing import Protocol

__all__ = ["FleetUsage", "NoFleetUsage"]


class FleetUsage(Protocol):
    """Running totals that entries exchange, possibly somewhat late."""

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` run in ``pool`` for other entries."""
        ...


class NoFleetUsage:
    """Knows of no other entry.

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
