"""What the scheduler needs of the choice of upstreams."""

from typing import Protocol

from almondstack.model import InstanceState

__all__ = ["Placement"]


class Placement(Protocol):
    """Chooses upstreams."""

    def choose(self, pool: str, avoid: frozenset[str]) -> InstanceState | None:
        """Return an upstream with a free slot permit here, or None."""
        ...

    def has_room(self, pool: str) -> bool:
        """Return True if :meth:`choose` would find an upstream."""
        ...

    def slots_held(self, pool: str) -> int:
        """Return how many slot permits of ``pool`` are held here."""
        ...

    def note_start(self, instance: str) -> None:
        """Take note that a call starts on ``instance``."""
        ...

    def note_waiting(self, pool: str, waiting: int) -> None:
        """Say how many calls wait, so that slot permits move here."""
        ...
