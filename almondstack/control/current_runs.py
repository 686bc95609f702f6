"""State of current runs, and comparison of worker incarnations."""

from collections.abc import Iterator, Mapping

from almondstack.jobs import Task
from almondstack.placement import Worker, WorkerInfo
from almondstack.placement.progress import Progress

__all__ = ["CurrentRun", "CurrentRuns", "is_other_incarnation", "is_same_incarnation"]


class CurrentRun:
    """State of a task's current run.

    Attributes
    ----------
    tries : int
        Number of starts sent.
    answers : int
        Number of starts whose outcome is known; the others may still be carried out.
    sent_s : float or None
        When a start was sent that had waited for long, in monotonic seconds; None if there is
        none, as starts are usually sent at once.
    is_unclear : bool
        Whether it is unknown if a start was carried out.
    unanswered : int
        Number of starts known to have no answer.
    unanswered_s : float or None
        When a start was last found to have no answer, in monotonic seconds.
    repeated_s : float or None
        When a start was last sent again, in monotonic seconds.
    is_refused : bool
        Whether a start was refused, or dropped as unwanted.
    is_inherited : bool
        Whether a previous owner started the run.
    progress : Progress
        Progress of the run over time.
    confirmed_s : float or None
        When its worker first confirmed the run, in monotonic seconds.
    restart_noted_s : float or None
        When the run was reassigned to a new incarnation of its worker, in monotonic
        seconds.
    stop_sent_s, stop_acked_s : float or None
        When a stop was last sent, and when one was first acknowledged, in monotonic
        seconds.
    """

    __slots__ = (
        "answers",
        "confirmed_s",
        "is_inherited",
        "is_refused",
        "is_unclear",
        "progress",
        "repeated_s",
        "restart_noted_s",
        "sent_s",
        "stop_acked_s",
        "stop_sent_s",
        "tries",
        "unanswered",
        "unanswered_s",
    )

    def __init__(self) -> None:
        self.tries = 1
        self.answers = 0
        self.sent_s: float | None = None
        self.is_unclear = False
        self.unanswered = 0
        self.unanswered_s: float | None = None
        self.repeated_s: float | None = None
        self.is_refused = False
        self.is_inherited = False
        self.progress = Progress()
        self.confirmed_s: float | None = None
        self.restart_noted_s: float | None = None
        self.stop_sent_s: float | None = None
        self.stop_acked_s: float | None = None

    @property
    def is_start_open(self) -> bool:
        """Whether a start is queued, or waits for its answer."""
        return self.tries > self.answers + self.unanswered


class CurrentRuns:
    """The current runs of all tasks, with the state of each."""

    __slots__ = ("_runs", "_tasks_by_name")

    def __init__(self) -> None:
        self._runs: dict[Task, CurrentRun] = {}
        self._tasks_by_name: dict[str, Task] = {}

    def __contains__(self, task: object) -> bool:
        return task in self._runs

    def __getitem__(self, task: Task) -> CurrentRun:
        return self._runs[task]

    def add(self, task: Task) -> CurrentRun:
        """Track the current run of a task."""
        current = self._runs[task] = CurrentRun()
        self._tasks_by_name[task.name] = task
        return current

    def named(self, name: str) -> Task | None:
        """Return the task of that name if it has a current run."""
        return self._tasks_by_name.get(name)

    def get(self, task: Task) -> CurrentRun | None:
        """Return the state of a task's current run, or None if it has no run."""
        return self._runs.get(task)

    def pop(self, task: Task) -> CurrentRun | None:
        """Stop tracking the run of a task, and return its state, or None if it had no run."""
        self._tasks_by_name.pop(task.name, None)
        return self._runs.pop(task, None)

    def items(self) -> list[tuple[Task, CurrentRun]]:
        """Return all tasks with the state of their runs."""
        return list(self._runs.items())

    def on_worker(self, worker: str) -> list[Task]:
        """Return the tasks assigned to a worker, also if the worker is not registered."""
        return [task for task in self._runs if task.worker == worker]

    def workers(self) -> set[str]:
        """Return the ids of all workers to which a run is assigned."""
        return {task.worker for task in self._runs}

    def orphaned(self, workers: Mapping[str, Worker], before_s: float) -> Iterator[Task]:
        """Iterate over tasks on unregistered workers that have not restarted since ``before_s``."""
        for task, current in self._runs.items():
            is_recent = current.restart_noted_s is not None and current.restart_noted_s >= before_s
            if task.worker not in workers and not is_recent:
                yield task

    def runs_with_progress(self, workers: Mapping[str, Worker]) -> Iterator[tuple[Task, Progress]]:
        """Iterate over runs on reachable workers with their progress.

        Explanation
        -----------
        Long-running, gang and filler steps are left out.
        """
        for task, current in self._runs.items():
            step = task.step
            worker = workers.get(task.worker)
            is_monitored = not step.is_long_running and not step.is_gang and not step.is_filler
            if is_monitored and worker is not None and worker.is_reachable:
                yield task, current.progress


def is_same_incarnation(recorded: int, present: int) -> bool:
    """Whether two worker start times, in Unix milliseconds, may be equal; 0 means unknown."""
    return not recorded or not present or recorded == present


def is_other_incarnation(one: WorkerInfo, other: WorkerInfo) -> bool:
    """Whether two descriptions with the same id belong to different incarnations of a worker."""
    return not is_same_incarnation(one.life, other.life) or one.address != other.address
