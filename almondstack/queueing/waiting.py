"""Queue entry of an admitted call, and the grant under which it runs."""

import threading
from enum import Enum
from typing import TYPE_CHECKING

from almondstack.core import Reason, RequestError
from almondstack.model import InstanceState
from almondstack.queueing.schedulable_call import SchedulableCall

if TYPE_CHECKING:
    from almondstack.queueing.team_queue import TeamQueue

__all__ = ["Grant", "WaitingCall", "WaitingState"]


class WaitingState(Enum):
    """State of an admitted call in the scheduler."""

    WAITING = "waiting"
    PAUSED = "paused"
    RUNNING = "running"
    ENDED = "ended"


class Grant:
    """The right to run one call once on one upstream.

    Parameters
    ----------
    waiting : WaitingCall
        Queue entry of the call.
    instance : InstanceState
        The upstream.
    resources : tuple of str
        Resources whose permits were taken and have to be returned.
    started_s : float
        Monotonic time of the grant, in seconds.
    """

    __slots__ = ("instance", "is_finished", "resources", "started_s", "team_queue", "waiting")

    def __init__(
        self,
        waiting: "WaitingCall",
        instance: InstanceState,
        resources: tuple[str, ...],
        started_s: float,
    ) -> None:
        self.waiting = waiting
        self.instance = instance
        self.resources = resources
        self.started_s = started_s
        self.is_finished = False
        self.team_queue = waiting.team_queue


class WaitingCall:
    """Queue entry of an admitted call; guarded by the lock of the scheduler.

    Parameters
    ----------
    call : SchedulableCall
        The call.
    enqueued_s : float
        Monotonic time of the admission, in seconds.
    latest_start_s : float
        Monotonic time after which a start cannot meet the deadline, in seconds.
    team_queue : TeamQueue
        Queue that the call waits in.
    """

    __slots__ = (
        "_wake_event",
        "avoid",
        "call",
        "enqueued_s",
        "grant",
        "has_requested_slot",
        "has_started",
        "latest_start_s",
        "reason",
        "state",
        "team_queue",
    )

    def __init__(
        self,
        call: SchedulableCall,
        enqueued_s: float,
        latest_start_s: float,
        team_queue: "TeamQueue",
    ) -> None:
        self.call = call
        self.enqueued_s = enqueued_s
        self.latest_start_s = latest_start_s
        self.team_queue = team_queue
        self.avoid: frozenset[str] = frozenset()
        self.state = WaitingState.WAITING
        self.grant: Grant | None = None
        self.reason: Reason | None = None
        self.has_started = False
        self.has_requested_slot = False
        self._wake_event = threading.Event()

    def wake(self) -> None:
        """Wake the caller's thread."""
        self._wake_event.set()

    def reset_wake(self) -> None:
        """Make the caller's thread wait again."""
        self._wake_event.clear()

    def wait(self, timeout_s: float) -> bool:
        """Wait for a grant or an end; return False after ``timeout_s`` seconds."""
        return self._wake_event.wait(max(0.0, timeout_s))

    def raise_if_ended(self) -> None:
        """Raise RequestError with the reason if the call was ended."""
        if self.reason is not None:
            raise RequestError(self.reason)
