"""What is not yet known of runs, and which life of a worker each is on."""

from collections.abc import Iterator, Mapping

from almondstack.jobs import Task
from almondstack.placement import Worker, WorkerInfo
from almondstack.placement.progress import Progress

__all__ = ["PendingRun", "PendingRuns", "is_other_incarnation", "is_same_incarnation"]


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
    restart_noted_s : float or None
        When it was counted to a new life of its worker, in monotonic seconds.
    stop_sent_s, stop_acked_s : float or None
        When a stop was sent last, and first acknowledged, in monotonic seconds.
    """

    __slots__ = (
        "confirmed_s",
        "is_inherited",
        "is_unclear",
        "progress",
        "restart_noted_s",
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
        self.restart_noted_s: float | None = None
        self.stop_sent_s: float | None = None
        self.stop_acked_s: float | None = None


class PendingRuns:
    """The present runs of all tasks, with what is not yet known of each."""

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[Task, PendingRun] = {}

    def __contains__(self, task: object) -> bool:
        return task in self._runs

    def __getitem__(self, task: Task) -> PendingRun:
        return self._runs[task]

    def add(self, task: Task) -> PendingRun:
        """Follow the present run of a task."""
        pending = self._runs[task] = PendingRun()
        return pending

    def get(self, task: Task) -> PendingRun | None:
        """Return what is known of a task's present run, if it has one."""
        return self._runs.get(task)

    def pop(self, task: Task) -> PendingRun | None:
        """Follow the run of a task no more."""
        return self._runs.pop(task, None)

    def items(self) -> list[tuple[Task, PendingRun]]:
        """Return all tasks with their runs."""
        return list(self._runs.items())

    def on_worker(self, worker: str) -> list[Task]:
        """Return the tasks recorded on a worker, whether it is known or not."""
        return [task for task in self._runs if task.worker == worker]

    def workers(self) -> set[str]:
        """Return the ids of all workers on which a run is recorded."""
        return {task.worker for task in self._runs}

    def orphaned(self, workers: Mapping[str, Worker], before_s: float) -> Iterator[Task]:
        """Iterate over tasks whose worker is not known, nor was reborn since ``before_s``."""
        for task, pending in self._runs.items():
            is_recent = pending.restart_noted_s is not None and pending.restart_noted_s >= before_s
            if task.worker not in workers and not is_recent:
                yield task

    def runs_with_progress(self, workers: Mapping[str, Worker]) -> Iterator[tuple[Task, Progress]]:
        """Iterate over runs that end by themselves, on workers that answer, with their progress."""
        for task, pending in self._runs.items():
            step = task.step
            worker = workers.get(task.worker)
            is_judged = not step.is_long_running and not step.is_gang and not step.is_filler
            if is_judged and worker is not None and worker.is_reachable:
                yield task, pending.progress


def is_same_incarnation(recorded: int, present: int) -> bool:
    """Whether two lives, in Unix milliseconds of their start, may be one; 0 is not known."""
    return not recorded or not present or recorded == present


def is_other_incarnation(one: WorkerInfo, other: WorkerInfo) -> bool:
    """Whether two descriptions under one id are of different lives of a worker."""
    return not is_same_incarnation(one.life, other.life) or one.address != other.address
