"""Jobs as they are submitted, and what is recorded of their tasks."""

from enum import IntEnum, StrEnum
from typing import NamedTuple

import msgspec

__all__ = [
    "JobState",
    "RunEnd",
    "Step",
    "Submission",
    "TaskKey",
    "TaskRecord",
    "TaskStatus",
]


class JobState(IntEnum):
    """What callers are shown of a job."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether the job can't change any more."""
        return self >= JobState.COMPLETED


class TaskStatus(IntEnum):
    """Where a task stands in the record of its owner."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class RunEnd(StrEnum):
    """How one run of a task ended.

    Explanation
    -----------
    ``BROKEN`` means that another member of the gang ended, ``ALONE`` that the
    other members did not come in time, ``LOST`` that the worker is gone with it.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class TaskKey(NamedTuple):
    """Which task of a job: its occurrence, its step and its number there, each from 0."""

    occurrence: int
    step: int
    member: int


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step: ``count`` like tasks.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu_millis, memory_mb, gpus : int
        What each task asks for.
    estimate_ms : int
        The caller's rough estimate of one task's duration, in milliseconds.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    has_checkpoints : bool
        A stopped task can go on from where it was.
    is_gang : bool
        The tasks work only all together and share one run number.
    needs_one_rack : bool
        The tasks are slow unless all run on one rack.
    required_label : str
        Label that the worker must have, or empty.
    data_rack : str
        Rack on which the tasks are fast, or empty.
    most_per_worker : int
        Bound on tasks of the step on one worker; 0 is no bound.
    is_speculative : bool
        Copies of a task may run side by side.
    is_long_running : bool
        The tasks run until the job is cancelled.
    image : str
        What the tasks run; tasks of one image behave alike.
    target_ms : int
        Bound on the tail of a serving task's response times; 0 is none.
    is_filler : bool
        The tasks take only capacity that others leave unused.
    max_unavailable : int or None
        How many tasks of the step may be away through our own acts.
    """

    count: int
    cpu_millis: int = 0
    memory_mb: int = 0
    gpus: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    has_checkpoints: bool = False
    is_gang: bool = False
    needs_one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    most_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_ms: int = 0
    is_filler: bool = False
    max_unavailable: int | None = None


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted.

    Parameters
    ----------
    queue : str
        Name of the queue.
    account : str
        Client account whose key came, or empty for a queue without keys.
    spec : str
        Opaque text that each start hands to the worker.
    steps : tuple of Step
        In the order of their numbers.
    occurrences : int
        How many times the steps run; 0 stands for once, at once.
    first_due_ms, interval_ms : int
        Unix milliseconds of the first occurrence, and the time between two.
    accepted_ms : int
        Unix milliseconds at which a process took the submission.
    pool : str
        Pool that the queue was sent to then; holds if the queue is withdrawn.
    max_attempts : int
        Runs of one task that may end as failed, as the queue said then.
    """

    queue: str
    account: str
    spec: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    pool: str = ""
    max_attempts: int = 1

    @property
    def occurrence_count(self) -> int:
        """How many times the steps run, at least once."""
        return max(1, self.occurrences)

    @property
    def is_scheduled(self) -> bool:
        """Whether occurrences have times of their own."""
        return self.occurrences > 0

    @property
    def is_long_running(self) -> bool:
        """Whether some task runs until the job is cancelled."""
        return any(step.is_long_running for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return the Unix milliseconds before which an occurrence must not start."""
        if not self.is_scheduled:
            return 0
        return self.first_due_ms + occurrence * self.interval_ms


class TaskRecord(msgspec.Struct, array_like=True):
    """What the owner has recorded of one task that was started at least once.

    Parameters
    ----------
    key : TaskKey
        Which task.
    status : TaskStatus
        Waiting again, assigned to a worker, or done.
    run : int
        Highest run number given out.
    failures : int
        Runs that ended as failed.
    worker : str
        Worker of the present run, or empty.
    life : int
        Which life of that worker (Unix milliseconds of its start), 0 if unknown.
    checkpoint : str
        Where the next run goes on, or empty.
    """

    key: TaskKey
    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    life: int = 0
    checkpoint: str = ""
