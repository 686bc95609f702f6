"""What is not yet known of a run, and which life of a worker it is on."""

from almondstack.placement import WorkerInfo
from almondstack.placement.progress import Progress

__all__ = ["PendingRun", "is_other_life", "is_same_life"]


class PendingRun:
    """What is not yet known of a task's present run.

    Attributes
    ----------
    tries : int
        Starts that were sent.
    is_unclear : bool
        A start may have been carried out, or not.
    is_inherited : bool
        An owner before has started it.
    progress : Progress
        How fast it gets on.
    confirmed_s : float or None
        When its worker was heard to have it, in monotonic seconds.
    rehomed_s : float or None
        When it was counted to a new life of its worker, in monotonic seconds.
    stop_sent_s, stop_acked_s : float or None
        When a stop was sent last, and first acknowledged, in monotonic seconds.
    """

    __slots__ = (
        "confirmed_s",
        "is_inherited",
        "is_unclear",
        "progress",
        "rehomed_s",
        "stop_acked_s",
        "stop_sent_s",
        "tries",
    )

    def __init__(self) -> None:
        self.tries = 1
        self.is_unclear = False
        self.is_inherited = False
        self.progress = Progress()
        self.confirmed_s: float | None = None
        self.rehomed_s: float | None = None
        self.stop_sent_s: float | None = None
        self.stop_acked_s: float | None = None


def is_same_life(recorded: int, present: int) -> bool:
    """Whether two lives, in Unix milliseconds of their start, may be one; 0 is not known."""
    return not recorded or not present or recorded == present


def is_other_life(one: WorkerInfo, other: WorkerInfo) -> bool:
    """Whether two descriptions under one id are of different lives of a worker."""
    return not is_same_life(one.life, other.life) or one.address != other.address
