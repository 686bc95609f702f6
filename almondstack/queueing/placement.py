"""Interface through which the scheduler selects upstreams."""

from typing import Protocol

from almondstack.model import InstanceState

__all__ = ["Placement"]


class Placement(Protocol):
    """Selects upstreams for calls."""

    def choose(self, pool: str, avoid: frozenset[str]) -> InstanceState | None:
        """Return an upstream with a free slot permit at this entry, or None."""
        ...

    def has_room(self, pool: str) -> bool:
        """Return True if :meth:`choose` would find an upstream."""
        ...

    def slots_held(self, pool: str) -> int:
        """Return how many slot permits of ``pool`` this entry holds."""
        ...

    def note_start(self, instance: str) -> None:
        """Record that a call starts on ``instance``."""
        ...

    def note_waiting(self, pool: str, waiting: int) -> None:
        """Report how many calls wait, so that slot permits move to this entry."""
        ...
