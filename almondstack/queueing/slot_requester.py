"""Interface for requesting a slot from the platform for an urgent call."""

from typing import Protocol

__all__ = ["NoSlotRequester", "SlotRequester"]


class SlotRequester(Protocol):
    """Frees a slot by a checkpoint, throttle or stop of a task on the platform."""

    def request_slot(self, pool: str, team: str) -> None:
        """Request a slot of ``pool`` at the cost of the team's own ordinary work.

        Explanation
        -----------
        Called in the thread of the waiting caller; must not block.
        """
        ...


class NoSlotRequester:
    """Requests no slots.

    Examples
    --------
    >>> from almondstack.queueing import NoSlotRequester
    >>> NoSlotRequester().request_slot("score", "north")
    """

    __slots__ = ()

    def request_slot(self, pool: str, team: str) -> None:
        """Do nothing."""
