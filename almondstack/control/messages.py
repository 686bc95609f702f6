"""Orders to workers, their replies, and the events posted to the owner's control loop."""

from enum import StrEnum
from typing import NamedTuple

from almondstack.jobs import RunEnd
from almondstack.placement import WorkerInfo

__all__ = [
    "EndedRun",
    "InstanceInfo",
    "InstanceState",
    "PollFailed",
    "PollReply",
    "PollAnswered",
    "OrderKind",
    "OrderReply",
    "OrderStatus",
    "OrderAnswered",
    "RunningRun",
    "StartOrder",
    "StartSent",
    "WaveRequest",
]


class OrderKind(StrEnum):
    """Kind of an order to a worker: start or stop a run, or set its speed."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


class OrderStatus(StrEnum):
    """Outcome of an order; ``UNWANTED`` orders were dropped before they were sent."""

    DONE = "done"
    FENCED = "fenced"
    OLD_RUN = "old-run"
    LATE = "late"
    NO_ROOM = "no-room"
    BAD_TICKET = "bad-ticket"
    REFUSED = "refused"
    GONE = "gone"
    INVALID = "invalid"
    NOT_SENT = "not-sent"
    UNWANTED = "unwanted"
    UNCLEAR = "unclear"


class StartOrder(NamedTuple):
    """A run to start; the end of its lease is added when the order is sent."""

    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str


class StartSent(NamedTuple):
    """A start that had waited for long is sent to a worker, at a monotonic time in seconds."""

    worker: WorkerInfo
    task: str
    run: int
    sent_s: float


class OrderReply(NamedTuple):
    """Status of an order, and the worker's clock in milliseconds if the reply has it."""

    status: OrderStatus
    clock_ms: int | None = None


class RunningRun(NamedTuple):
    """A run that a worker lists as running; ``percent`` is 100 when it runs at full speed."""

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int


class EndedRun(NamedTuple):
    """A run that a worker lists as ended; ``number`` increases with each end."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


class PollReply(NamedTuple):
    """A worker's reply to a poll.

    Explanation
    -----------
    ``life`` is the start time of the worker's process in Unix milliseconds, or 0 if
    the reply does not have it; it identifies the worker's incarnation.  A worker lists a
    limited number of ended runs at a time, the earliest first; ``is_whole`` is False if
    there may be more, so that a run which the reply lacks may have ended.
    """

    status: OrderStatus
    clock_ms: int
    life: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]
    is_whole: bool = True


class InstanceState(StrEnum):
    """State of an instance."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class InstanceInfo(NamedTuple):
    """An instance of the fleet, and the id of the worker that it hosts."""

    name: str
    pool: str
    state: InstanceState
    zone: str
    rack: str
    cpu_millis: int
    worker: str


class WaveRequest(NamedTuple):
    """A maintenance wave requested by operators."""

    number: int
    instances: tuple[str, ...]
    duration_s: float
    most_at_once: int


class PollAnswered(NamedTuple):
    """A worker answered a poll that was sent at monotonic time ``sent_s``, in seconds."""

    worker: WorkerInfo
    sent_s: float
    reply: PollReply


class PollFailed(NamedTuple):
    """A poll of a worker failed."""

    worker: WorkerInfo
    status: OrderStatus


class OrderAnswered(NamedTuple):
    """The outcome of an order to a worker."""

    worker: WorkerInfo
    kind: OrderKind
    task: str
    run: int
    reply: OrderReply
