"""A caller's request as the dispatcher sends it, and the interface of the response."""

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Protocol

from almondstack.model import Queue, Team

__all__ = ["Body", "BufferedBody", "Call", "UpstreamResponse"]


class Body(Protocol):
    """The body of a request, of limited size."""

    @property
    def length(self) -> int | None:
        """Length in bytes; None if it is not known in advance."""
        ...

    @property
    def is_replayable(self) -> bool:
        """True if :meth:`chunks` may be called again from the start."""
        ...

    def chunks(self) -> Iterable[bytes]:
        """Yield the body in pieces of bounded size."""
        ...


class BufferedBody:
    """A request body held in memory, which can be sent again.

    Parameters
    ----------
    data : bytes
        The whole body.
    """

    __slots__ = ("_data",)

    def __init__(self, data: bytes) -> None:
        self._data = data

    @property
    def length(self) -> int:
        """Length in bytes."""
        return len(self._data)

    @property
    def is_replayable(self) -> bool:
        """True: the bytes stay in memory."""
        return True

    def chunks(self) -> Iterable[bytes]:
        """Yield the body in one piece."""
        return [self._data] if self._data else []


class Call:
    """An admitted request with its team, queue, deadline and options.

    Parameters
    ----------
    call_id : str
        Unique identifier of the received request, for cancelling and logs.
    team : Team
        Team that the work is accounted to.
    queue : Queue
        Queue that the request was submitted to.
    method, path : str
        Method and path, sent to the upstream unchanged.
    headers : tuple of (str, str)
        End-to-end headers.
    body : Body
        Request body.
    deadline_s : float
        Monotonic time by which the response must have started, in seconds.
    is_idempotent : bool
        True if the caller allows the work to run more than once.
    is_urgent : bool
        True if the call has priority over ordinary calls of its team.
    before_start : callable
        Called immediately before each send; raises RequestError if the call must
        not start any more (a revoked key, a fenced entry).
    """

    __slots__ = (
        "before_start",
        "body",
        "call_id",
        "caller_gone",
        "deadline_s",
        "headers",
        "is_idempotent",
        "is_urgent",
        "method",
        "path",
        "queue",
        "team",
    )

    def __init__(
        self,
        *,
        call_id: str,
        team: Team,
        queue: Queue,
        body: Body,
        deadline_s: float,
        method: str = "POST",
        path: str = "/",
        headers: tuple[tuple[str, str], ...] = (),
        is_idempotent: bool = False,
        is_urgent: bool = False,
        before_start: Callable[[], None] = lambda: None,
    ) -> None:
        self.call_id = call_id
        self.team = team
        self.queue = queue
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.deadline_s = deadline_s
        self.is_idempotent = is_idempotent
        self.is_urgent = is_urgent
        self.before_start = before_start
        self.caller_gone = threading.Event()

    @property
    def pool(self) -> str:
        """Name of the pool that runs the call."""
        return self.queue.pool


class UpstreamResponse(Protocol):
    """An upstream's response whose head has arrived.

    Explanation
    -----------
    The slot stays in use until the body was read to its end or :meth:`close`
    was called.
    """

    @property
    def status(self) -> int:
        """HTTP status of the upstream."""
        ...

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """End-to-end headers."""
        ...

    @property
    def length(self) -> int | None:
        """Length of the body in bytes; None if it is not declared in the head."""
        ...

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise RequestError if the upstream aborts before its end."""
        ...

    def close(self) -> None:
        """End the response; the unread rest of the body is discarded."""
        ...
