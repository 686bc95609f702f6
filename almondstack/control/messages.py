"""Orders to workers, their replies, and what the owner's loop is told."""

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
    "WaveRequest",
]


class OrderKind(StrEnum):
    """What an order asks of a worker."""

    START = "start"
    STOP = "stop"
    PACE = "pace"


class OrderStatus(StrEnum):
    """What became of an order; ``UNWANTED`` ones were dropped before they were sent."""

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
    """A run to start; the lease's end is added when it is sent."""

    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str


class OrderReply(NamedTuple):
    """Status of an order, and the worker's clock in milliseconds if it said so."""

    status: OrderStatus
    clock_ms: int | None = None


class RunningRun(NamedTuple):
    """A run that a worker lists as running; ``percent`` is 100 when it is fully at work."""

    task: str
    run: int
    checkpoint: str
    percent: int
    load: int


class EndedRun(NamedTuple):
    """A run that a worker lists as ended; ``number`` rises with each end."""

    number: int
    task: str
    run: int
    end: RunEnd
    checkpoint: str


class PollReply(NamedTuple):
    """What a worker lists; ``life`` is 0 if it does not say when it started."""

    status: OrderStatus
    clock_ms: int
    life: int
    running: tuple[RunningRun, ...]
    ended: tuple[EndedRun, ...]


class InstanceState(StrEnum):
    """What an instance does."""

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "maintenance"
    DOWN = "down"


class InstanceInfo(NamedTuple):
    """An instance of the fleet, and the id of the worker that lives on it."""

    name: str
    pool: str
    state: InstanceState
    zone: str
    rack: str
    cpu_millis: int
    worker: str


class WaveRequest(NamedTuple):
    """A maintenance wave that operators ask for."""

    number: int
    instances: tuple[str, ...]
    duration_s: float
    most_at_once: int


class PollAnswered(NamedTuple):
    """A worker has answered a look that was sent at ``sent_s``."""

    worker: WorkerInfo
    sent_s: float
    reply: PollReply


class PollFailed(NamedTuple):
    """A worker has not answered a look."""

    worker: WorkerInfo
    status: OrderStatus


class OrderAnswered(NamedTuple):
    """What became of an order."""

    worker: WorkerInfo
    kind: OrderKind
    task: str
    run: int
    reply: OrderReply
