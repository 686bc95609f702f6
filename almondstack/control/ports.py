"""What the owner needs of workers, of the instances and of the advice service."""

from typing import Protocol

from almondstack.control.messages import (
    InstanceInfo,
    OrderReply,
    OrderStatus,
    PollReply,
    StartOrder,
    WaveRequest,
)
from almondstack.placement import WorkerInfo

__all__ = ["AdviceService", "FleetDirectory", "InstanceService", "WorkerCaller", "WorkerCallers"]


class WorkerCaller(Protocol):
    """Calls one worker; each thread has a caller of its own."""

    @property
    def is_connected(self) -> bool:
        """Whether the next call reaches the life that answered the last one."""
        ...

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Start a run under a lease that ends at the worker's ``deadline_ms``.

        Explanation
        -----------
        It is not sent unless it reaches the life that answered the last call: one that
        has just begun knows neither tokens nor stops, and would carry out any.
        """
        ...

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Stop a run, or keep it from ever starting."""
        ...

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Let a run work at a share of its speed."""
        ...

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """Extend the lease and list runs; waits up to ``wait_s`` seconds for an end."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class WorkerCallers(Protocol):
    """Makes callers."""

    def caller(self, worker: WorkerInfo) -> WorkerCaller:
        """Return a caller with a connection of its own."""
        ...


class InstanceService(Protocol):
    """Lists, moves and maintains instances."""

    def instances(self) -> list[InstanceInfo]:
        """Return all instances.

        Raises
        ------
        InstanceServiceError
            The service did not answer as it should.
        """
        ...

    def move(self, instance: str, pool: str, token: int) -> OrderStatus:
        """Move an instance to a pool; everything on it ends."""
        ...

    def maintain(self, instance: str, wave: int, token: int) -> OrderStatus:
        """Begin an instance's maintenance; everything on it ends."""
        ...


class FleetDirectory(Protocol):
    """What workers and operators have registered."""

    @property
    def is_loaded(self) -> bool:
        """Whether the registered workers were read at least once."""
        ...

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the workers that are registered now, by id."""
        ...

    def waves(self) -> list[WaveRequest]:
        """Return the waves that operators ask for."""
        ...

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose workers are to get nothing more."""
        ...

    def report_wave(self, number: int, is_completed: bool) -> None:
        """Tell operators how far a wave is.

        Raises
        ------
        StoreError
            It may not have been stored; call again.
        """
        ...


class AdviceService(Protocol):
    """Says which workers may run a step."""

    def advise(self, step: str, workers: list[str]) -> dict[str, str]:
        """Return a ticket for each worker that may run the step.

        Raises
        ------
        AdviceError
            The service did not answer as it should.
        """
        ...
