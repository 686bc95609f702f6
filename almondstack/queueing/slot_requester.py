"""What an urgent call may ask of the platform."""

from typing import Protocol

__all__ = ["NoSlotRequester", "SlotRequester"]


class SlotRequester(Protocol):
    """Frees a slot by checkpoint, throttle or stop of a task on the platform."""

    def request_slot(self, pool: str, team: str) -> None:
        """Ask for a slot of ``pool`` at the cost of the team's own ordinary work.

        Explanation
        -----------
        Called in the thread of the waiting caller; must return at once.
        """
        ...


class NoSlotRequester:
    """Asks for nothing.

    Examples
    --------
    >>> from almondstack.queueing import NoSlotRequester
    >>> NoSlotRequester().request_slot("score", "north")
    """

    __slots__ = ()

    def request_slot(self, pool: str, team: str) -> None:
        """Do nothing."""
