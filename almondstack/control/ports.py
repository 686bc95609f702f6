"""Interfaces of the owner to workers, instances, registrations and the advice service."""

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
    """Client of one worker; each thread uses its own."""

    @property
    def is_connected(self) -> bool:
        """Whether the next call reaches the incarnation that answered the last one."""
        ...

    def start(self, order: StartOrder, deadline_ms: int, token: int) -> OrderReply:
        """Start a run under a lease that ends when the worker's clock shows ``deadline_ms``.

        Explanation
        -----------
        The order is sent only to the incarnation that answered the last call: a worker
        that has just restarted has no fencing token and no record of stops, and would
        accept any order.
        """
        ...

    def stop(self, task: str, run: int, token: int) -> OrderReply:
        """Stop a run, or prevent it from starting later; sent as :meth:`start` is.

        Explanation
        -----------
        Its answer names no life, so it must not open a connection over which starts follow.
        """
        ...

    def pace(self, task: str, run: int, percent: int, token: int) -> OrderReply:
        """Set the speed of a run, in percent of its full speed; sent as :meth:`start` is."""
        ...

    def poll(self, deadline_ms: int | None, last_seen: int, wait_s: float, token: int) -> PollReply:
        """Renew the lease and list runs, waiting up to ``wait_s`` seconds for a run to end.

        Parameters
        ----------
        deadline_ms : int or None
            End of the lease by the worker's clock, in milliseconds; None renews nothing.
        last_seen : int
            Highest number of an ended run to acknowledge.
        wait_s : float
            Maximum wait for a run to end, in seconds.
        token : int
            The owner's fencing token.
        """
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class WorkerCallers(Protocol):
    """Makes clients of workers."""

    def caller(self, worker: WorkerInfo) -> WorkerCaller:
        """Return a client of a worker with its own connection."""
        ...


class InstanceService(Protocol):
    """Lists instances, moves them between pools and starts their maintenance."""

    def instances(self) -> list[InstanceInfo]:
        """Return all instances.

        Raises
        ------
        InstanceServiceError
            The call failed or its answer is invalid.
        """
        ...

    def move(self, instance: str, pool: str, token: int) -> OrderStatus:
        """Move an instance to a pool; all runs on it end."""
        ...

    def maintain(self, instance: str, wave: int, token: int) -> OrderStatus:
        """Start an instance's maintenance; all runs on it end."""
        ...


class FleetDirectory(Protocol):
    """Registered workers, and requests of operators for waves and evacuations."""

    @property
    def is_loaded(self) -> bool:
        """Whether the registered workers were read at least once."""
        ...

    def workers(self) -> dict[str, WorkerInfo]:
        """Return the workers that are registered now, by id."""
        ...

    def may_have_restarted(self, worker: str, life: int) -> bool:
        """Whether the worker may have had a life before this one, in Unix milliseconds."""
        ...

    def waves(self) -> list[WaveRequest]:
        """Return the waves requested by operators."""
        ...

    def evacuated_zones(self) -> frozenset[str]:
        """Return the availability zones whose workers get no new runs."""
        ...

    def report_wave(self, number: int, is_completed: bool) -> None:
        """Store for operators whether a wave is completed.

        Raises
        ------
        StoreError
            The report may not have been stored; retry the call.
        """
        ...


class AdviceService(Protocol):
    """Decides which workers may run a step."""

    def advise(self, step: str, workers: list[str]) -> dict[str, str]:
        """Return a ticket for each worker that may run the step.

        Raises
        ------
        AdviceError
            The call failed or its answer is invalid.
        """
        ...
