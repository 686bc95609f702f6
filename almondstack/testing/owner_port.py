"""Simulated link from one process to the owner in another, with injected faults."""

from typing import TYPE_CHECKING

from almondstack.intake import (
    CancelRequest,
    OwnerNotReachedError,
    OwnerRequest,
    OwnerUnclearError,
    Receipt,
    SubmissionRequest,
)

if TYPE_CHECKING:
    from almondstack.testing.owner_world import OwnerWorld, WorldProcess

__all__ = ["RequestLink", "WorldOwnerPort"]


class RequestLink:
    """Fault of the link between processes, and the requests that it delays.

    Attributes
    ----------
    fault : str
        Empty, or one of "refused" (no connection), "unanswered" (delivered, the reply
        is lost) and "late" (delayed until :meth:`take_delayed`).
    """

    def __init__(self) -> None:
        self.fault = ""
        self._delayed: list[tuple[int, OwnerRequest]] = []

    def delay(self, token: int, request: OwnerRequest) -> None:
        """Store a copy of a request for later delivery."""
        self._delayed.append((token, _copy(request)))

    def take_delayed(self) -> list[tuple[int, OwnerRequest]]:
        """Return and clear the delayed requests, with the fencing tokens of their owners."""
        delayed, self._delayed = self._delayed, []
        return delayed


class WorldOwnerPort:
    """Sends requests to the owner named in a process's job index; an ``OwnerPort``."""

    def __init__(self, world: "OwnerWorld", process: "WorldProcess") -> None:
        self._world = world
        self._process = process

    def ask(self, request: OwnerRequest, timeout_s: float) -> Receipt:
        """Deliver a request and return its receipt, subject to the link's fault.

        Raises
        ------
        OwnerNotReachedError
            The request was not delivered.
        OwnerUnclearError
            There is no reply; the request may have been delivered.
        """
        if self._process.owner is not None:
            return self._deliver(self._process, request)
        notice = self._process.index.notice
        fault = self._world.link.fault
        if notice is None or fault == "refused":
            raise OwnerNotReachedError("no connection")
        if fault == "late":
            self._world.link.delay(notice.token, request)
            raise OwnerUnclearError("no answer")
        for other in self._world.processes:
            if other.has_token(notice.token):
                receipt = self._deliver(other, _copy(request))
                if fault == "unanswered":
                    raise OwnerUnclearError("no answer")
                return receipt
        raise OwnerNotReachedError("no process is owner with the expected token")

    def _deliver(self, owner: "WorldProcess", request: OwnerRequest) -> Receipt:
        owner.take(request)
        if request.receipt is not None:
            return request.receipt
        if request.withdraw():
            raise OwnerNotReachedError("the owner did not accept the request")
        raise OwnerUnclearError("the owner accepted the request but has not answered it")


def _copy(request: OwnerRequest) -> OwnerRequest:
    """Return a copy of a request, as another process receives it."""
    if isinstance(request, SubmissionRequest):
        return SubmissionRequest(request.job, request.submission, request.read_offset)
    return CancelRequest(request.job)
