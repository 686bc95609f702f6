"""One task of an active job, and its present run."""

from typing import TYPE_CHECKING

from almondstack.jobs.model import Step, TaskKey, TaskStatus
from almondstack.jobs.names import format_task_name
from almondstack.jobs.open_starts import OpenStarts

if TYPE_CHECKING:
    from almondstack.jobs.active import ActiveJob

__all__ = ["Task"]


class Task:
    """One task of an active job.

    Attributes
    ----------
    key : TaskKey
        Identifies the task in its job.
    name : str
        Name by which workers identify the task.
    step : Step
        Its step, with its demand.
    status : TaskStatus
        Waiting, assigned or done.
    run, failures, worker, life, checkpoint, failed_run
        As in :class:`~almondstack.jobs.model.TaskRecord`.
    is_confirmed : bool
        The worker has listed the present run or acknowledged its start.
    is_at_work : bool
        The worker last listed the run as running at its full share of processor time.
    is_stopping : bool
        A stop of the present run was requested.
    assigned_s : float
        Monotonic time of the assignment, in seconds.
    waiting_since_s : float
        Monotonic time since which the task has waited for a start, in seconds.
    failed_on : set of str
        Workers on which it failed or was stopped as too slow; not stored in its record.
    open_starts : OpenStarts
        Starts of its earlier runs that may still be carried out.
    load : int
        Load that the worker last reported: the tail latency of a serving task in
        milliseconds, else the use in thousandths of a core.
    percent : int
        Share of processor time that the present run may use, 0 to 100.
    is_pace_known : bool
        Whether the present run goes at ``percent`` as far as orders say; a previous owner
        may have slowed a run that it has started.
    siblings : list of Task
        The tasks of its step in the same occurrence, itself among them.
    """

    __slots__ = (
        "assigned_s",
        "checkpoint",
        "failed_on",
        "failed_run",
        "failures",
        "is_at_work",
        "is_confirmed",
        "is_pace_known",
        "is_stopping",
        "job",
        "key",
        "life",
        "load",
        "name",
        "open_starts",
        "percent",
        "run",
        "siblings",
        "status",
        "step",
        "waiting_since_s",
        "worker",
    )

    def __init__(self, job: "ActiveJob", key: TaskKey, step: Step, siblings: list["Task"]) -> None:
        self.job = job
        self.key = key
        self.name = format_task_name(job.id, key)
        self.step = step
        self.siblings = siblings
        self.status = TaskStatus.WAITING
        self.run = 0
        self.failures = 0
        self.failed_run = 0
        self.worker = ""
        self.life = 0
        self.checkpoint = ""
        self.is_at_work = False
        self.is_confirmed = False
        self.is_stopping = False
        self.assigned_s = 0.0
        self.waiting_since_s = 0.0
        self.failed_on: set[str] = set()
        self.open_starts = OpenStarts()
        self.load = 0
        self.percent = 100
        self.is_pace_known = False

    @property
    def is_assigned(self) -> bool:
        """Whether a run of the task may be on a worker."""
        return self.status is TaskStatus.ASSIGNED

    @property
    def open_workers(self) -> tuple[str, ...]:
        """The workers that may carry out a start of an earlier run, as stored in its record."""
        return self.open_starts.noted

    def assign(self, worker: str, life: int, now_s: float) -> None:
        """Start the next run of the task, on a worker."""
        self.status = TaskStatus.ASSIGNED
        self.open_starts.forget_past(now_s)
        self.run += 1
        self.worker = worker
        self.life = life
        self.is_at_work = False
        self.is_confirmed = False
        self.is_stopping = False
        self.assigned_s = now_s
        self.percent = 100
        self.is_pace_known = True

    def release(self, now_s: float) -> None:
        """Return the task to waiting for another run."""
        self.status = TaskStatus.WAITING
        self.open_starts.forget_past(now_s)
        self.worker = ""
        self.life = 0
        self.is_confirmed = False
        self.is_stopping = False
        self.waiting_since_s = now_s
