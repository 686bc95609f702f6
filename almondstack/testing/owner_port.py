"""The way from one process of the small world to the owner in another, with faults."""

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
    """Faults of the way between processes, and the requests that it holds up.

    Attributes
    ----------
    fault : str
        Empty, or one of "refused" (no connection), "unanswered" (taken, the reply is
        lost) and "late" (held up until later).
    """

    def __init__(self) -> None:
        self.fault = ""
        self._delayed: list[tuple[int, OwnerRequest]] = []

    def delay(self, token: int, request: OwnerRequest) -> None:
        """Keep a copy of a request for later."""
        self._delayed.append((token, _copy(request)))

    def take_delayed(self) -> list[tuple[int, OwnerRequest]]:
        """Return, and forget, what was held up, with the tokens of the owners meant."""
        late, self._delayed = self._delayed, []
        return late


class WorldOwnerPort:
    """Asks the owner that a process knows of; an ``OwnerPort``."""

    def __init__(self, world: "OwnerWorld", process: "WorldProcess") -> None:
        self._world = world
        self._process = process

    def ask(self, request: OwnerRequest, timeout_s: float) -> Receipt:
        """Return the receipt, or lose it on the way."""
        if self._process.owner is not None:
            return self._deliver(self._process, request)
        notice = self._process.book.notice
        fault = self._world.link.fault
        if notice is None or fault == "refused":
            raise OwnerNotReachedError("no connection")
        if fault == "late":
            self._world.link.delay(notice.token, request)
            raise OwnerUnclearError("no answer")
        for other in self._world.processes:
            if other.owner is not None and other.owner._token == notice.token:
                receipt = self._deliver(other, _copy(request))
                if fault == "unanswered":
                    raise OwnerUnclearError("no answer")
                return receipt
        raise OwnerNotReachedError("another owner")

    def _deliver(self, owner: "WorldProcess", request: OwnerRequest) -> Receipt:
        owner.take(request)
        if request.receipt is not None:
            return request.receipt
        if request.withdraw():
            raise OwnerNotReachedError("not taken")
        raise OwnerUnclearError("not settled")


def _copy(request: OwnerRequest) -> OwnerRequest:
    """Return a request as it arrives at another process."""
    if isinstance(request, SubmissionRequest):
        return SubmissionRequest(request.job, request.submission, request.read_offset)
    return CancelRequest(request.job)
