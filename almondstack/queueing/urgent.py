"""What an urgent call may ask of the platform."""

from typing import Protocol

__all__ = ["NoRelief", "UrgentRelief"]


class UrgentRelief(Protocol):
    """Frees a slot by checkpoint, throttle or stop of a task on the platform."""

    def relieve(self, pool: str, team: str) -> None:
        """Ask for a slot of ``pool`` at the cost of the team's own ordinary work.

        Explanation
        -----------
        Called in the thread of the waiting caller; must return at once.
        """
        ...


class NoRelief:
    """Asks for nothing.

    Examples
    --------
    >>> from almondstack.queueing import NoRelief
    >>> NoRelief().relieve("score", "north")
    """

    __slots__ = ()

    def relieve(self, pool: str, team: str) -> None:
        """Do nothing."""
