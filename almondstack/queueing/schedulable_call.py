"""Interface of a call as the scheduler uses it."""

from typing import Protocol

from almondstack.model import Queue, Team

__all__ = ["SchedulableCall"]


class SchedulableCall(Protocol):
    """A request that the scheduler can start; see :class:`almondstack.dispatch.Call`."""

    call_id: str
    team: Team
    queue: Queue
    deadline_s: float
    is_idempotent: bool
    is_urgent: bool

    @property
    def pool(self) -> str:
        """Name of the pool that runs the call."""
        ...
