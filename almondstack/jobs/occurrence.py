"""One occurrence of a job's steps, of which only the ready ones have tasks."""

from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING

from almondstack.jobs.model import TaskKey, TaskStatus
from almondstack.jobs.progress import StoredTask, done_rows
from almondstack.jobs.task import Task

if TYPE_CHECKING:
    from almondstack.jobs.active import ActiveJob

__all__ = ["Occurrence"]


class Occurrence:
    """Steps of one occurrence: not opened yet, open with their tasks, or done without them.

    Parameters
    ----------
    job : ActiveJob
        The job.
    number : int
        Number of the occurrence, from 0.
    note_opened : callable
        Called with the number of tasks that were created; negative for dropped ones.
    is_done : bool
        Whether all steps are done.
    """

    __slots__ = ("_done_steps", "_job", "_note_opened", "_number", "_open_steps")

    def __init__(
        self,
        job: "ActiveJob",
        number: int,
        note_opened: Callable[[int], None],
        *,
        is_done: bool = False,
    ) -> None:
        self._job = job
        self._number = number
        self._note_opened = note_opened
        self._open_steps: dict[int, list[Task]] = {}
        self._done_steps = set(range(len(job.submission.steps))) if is_done else set()

    @property
    def is_done(self) -> bool:
        """Whether all steps are done."""
        return len(self._done_steps) == len(self._job.submission.steps)

    def tasks(self) -> Iterator[Task]:
        """Iterate over the tasks of the open steps."""
        for tasks in self._open_steps.values():
            yield from tasks

    def unopened_steps(self) -> Iterator[int]:
        """Iterate over the numbers of the steps that are neither open nor done."""
        for number in range(len(self._job.submission.steps)):
            if number not in self._open_steps and number not in self._done_steps:
                yield number

    def all_steps(self) -> list[list[Task]]:
        """Return the tasks of all steps, which opens them."""
        return [self.step(number) for number in range(len(self._job.submission.steps))]

    def step(self, number: int) -> list[Task]:
        """Return the tasks of a step, which opens it unless it is done."""
        found = self._open_steps.get(number)
        if found is not None:
            return found
        tasks = self._make_tasks(number)
        if number not in self._done_steps:
            self._open_steps[number] = tasks
            self._note_opened(len(tasks))
        return tasks

    def open_task(self, step: int, member: int) -> Task | None:
        """Return a task of an open step; None if the step is done or was not opened."""
        tasks = self._open_steps.get(step, ())
        return tasks[member] if 0 <= member < len(tasks) else None

    def ready_steps(self, may_open: Callable[[int], bool]) -> tuple[list[list[Task]], bool]:
        """Return the steps with a waiting task that wait for no other step.

        Parameters
        ----------
        may_open : callable
            Returns whether that many tasks may be created.

        Returns
        -------
        list, bool
            The steps, and whether none had to be left out for its tasks.
        """
        found: list[list[Task]] = []
        for number, step in enumerate(self._job.submission.steps):
            if number in self._done_steps or not self._are_done(step.after):
                continue
            if number not in self._open_steps and not may_open(step.count):
                return found, False
            tasks = self.step(number)
            if any(task.status is TaskStatus.WAITING for task in tasks):
                found.append(tasks)
        return found, True

    def _are_done(self, steps: tuple[int, ...]) -> bool:
        return self._done_steps.issuperset(steps)

    def drop_if_done(self, number: int) -> bool:
        """Forget the tasks of an open step if all are done; return whether they were."""
        tasks = self._open_steps.get(number)
        if tasks is None or any(task.status is not TaskStatus.DONE for task in tasks):
            return False
        del self._open_steps[number]
        self._done_steps.add(number)
        self._note_opened(-len(tasks))
        return True

    def rows(self) -> Iterator[tuple[int, Sequence[StoredTask]]]:
        """Iterate over the numbers of the steps that are open or done, with their tasks."""
        for number in sorted(self._done_steps | self._open_steps.keys()):
            open_tasks = self._open_steps.get(number)
            if open_tasks is None:
                yield number, done_rows(self._job.submission.steps[number].count)
            else:
                yield number, open_tasks

    def _make_tasks(self, number: int) -> list[Task]:
        step = self._job.submission.steps[number]
        tasks: list[Task] = []
        for member in range(step.count):
            tasks.append(Task(self._job, TaskKey(self._number, number, member), step, tasks))
        if number in self._done_steps:
            for task in tasks:
                task.status = TaskStatus.DONE
        return tasks
