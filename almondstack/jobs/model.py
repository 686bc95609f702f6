"""Data model of jobs: submissions, steps, and the records of tasks."""

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
    """State of a job as callers see it."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether the job has ended, so that its state can't change any more."""
        return self >= JobState.COMPLETED


class TaskStatus(IntEnum):
    """Status of a task in the owner's records."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class RunEnd(StrEnum):
    """How one run of a task ended.

    Explanation
    -----------
    ``LAPSED`` means that the worker's lease expired, ``BROKEN`` that another member
    of the gang ended, ``ALONE`` that the other members did not start in time, and
    ``LOST`` that the worker was lost during the run.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"
    LOST = "lost"


class TaskKey(NamedTuple):
    """Identifies a task of a job by occurrence, step and member of the step, each from 0."""

    occurrence: int
    step: int
    member: int


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step of a job: ``count`` tasks with the same demand.

    Parameters
    ----------
    count : int
        Number of tasks.
    cpu_millis, memory_mb, gpus : int
        Demand of each task: thousandths of a core, megabytes and accelerators.
    estimate_ms : int
        The caller's rough estimate of one task's duration, in milliseconds.
    after : tuple of int
        Earlier steps whose tasks must all be done before this step starts.
    has_checkpoints : bool
        A stopped task can resume where it was stopped.
    is_gang : bool
        The tasks must run at the same time and share one run number.
    needs_one_rack : bool
        The tasks are slow unless they all run on one rack.
    required_label : str
        Label that the worker must have, or empty.
    data_rack : str
        Rack of the data, on which the tasks run faster, or empty.
    most_per_worker : int
        Bound on the tasks of the step on one worker; 0 is no bound.
    is_speculative : bool
        Copies of a task may run at the same time.
    is_long_running : bool
        The tasks run until the job is cancelled.
    image : str
        Image that the tasks run; tasks of one image are expected to behave alike.
    target_ms : int
        Bound on the tail latency of a serving task, in milliseconds; 0 is no bound.
    is_filler : bool
        The tasks use only processor time that other tasks leave unused.
    max_unavailable : int or None
        Bound on the tasks of the step that may be interrupted at one time by moves and
        maintenance; None is no bound.
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
    """An accepted job.

    Parameters
    ----------
    queue : str
        Name of the queue.
    account : str
        Client account of the key used, or empty for a queue without keys.
    spec : str
        Opaque text that is passed to the worker with each start.
    steps : tuple of Step
        The steps; their index is their number.
    occurrences : int
        How many times the steps run; 0 means once, immediately.
    first_due_ms, interval_ms : int
        Unix milliseconds of the first occurrence, and the milliseconds between two.
    accepted_ms : int
        Unix milliseconds at which a process accepted the submission.
    pool : str
        Pool of the queue at that time; used if the queue is later withdrawn.
    max_attempts : int
        Failed runs of one task after which the job fails, from the queue's policy at that
        time.
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
        """Whether each occurrence has its own start time."""
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

    def due_count(self, now_unix_ms: float) -> int:
        """Return how many occurrences are due: those of lower numbers."""
        if not self.is_scheduled:
            return 1
        if now_unix_ms < self.first_due_ms:
            return 0
        if not self.interval_ms:
            return self.occurrences
        return min(self.occurrences, int(now_unix_ms - self.first_due_ms) // self.interval_ms + 1)

    @property
    def task_count(self) -> int:
        """How many tasks the job has over all occurrences."""
        return self.occurrence_count * sum(step.count for step in self.steps)


class TaskRecord(msgspec.Struct, array_like=True):
    """The owner's record of one task that was started at least once.

    Parameters
    ----------
    key : TaskKey
        Which task.
    status : TaskStatus
        Waiting again, assigned to a worker, or done.
    run : int
        Highest run number assigned.
    failures : int
        Runs that ended as failed.  A run of a gang counts once, for the member whose failed end
        was read first, so that the sum over the members is the number of the gang's failed runs.
    worker : str
        Worker of the present run, or empty.
    life : int
        Start of that worker's process in Unix milliseconds, 0 if unknown.
    checkpoint : str
        Checkpoint from which the next run resumes, or empty.
    failed_run : int
        Last run of its gang that was counted as failed for this member; 0 if none, or if an
        earlier build wrote the record.
    open_workers : tuple of str
        Workers that may yet carry out a start of an earlier run; none if an earlier build wrote
        the record.
    """

    key: TaskKey
    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    failures: int = 0
    worker: str = ""
    life: int = 0
    checkpoint: str = ""
    failed_run: int = 0
    open_workers: tuple[str, ...] = ()
