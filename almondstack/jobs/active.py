"""State machine of one job, as its owner runs it.

Explanation
-----------
Decides which tasks may start, how the end of a run changes the job, and when the
job has ended.  It uses neither network nor clock; times are passed as arguments.
A caller may ask for any number of occurrences, all of them due long ago, so tasks exist
only for steps that are ready and not done, and only as many as the budget allows.
"""

import math
from collections.abc import Iterator, Sequence

from msgspec import structs

from almondstack.jobs.chains import chain_lengths_ms
from almondstack.jobs.model import (
    JobState,
    RunEnd,
    Submission,
    TaskKey,
    TaskRecord,
    TaskStatus,
)
from almondstack.jobs.occurrence import Occurrence
from almondstack.jobs.progress import (
    MAX_LISTED_TASKS,
    TaskGroup,
    done_rows,
    encode_progress,
    encode_ranged_progress,
)
from almondstack.jobs.ranges import RangeSet
from almondstack.jobs.records import encode_submission
from almondstack.jobs.task import Task
from almondstack.jobs.task_budget import TaskBudget

__all__ = ["ActiveJob"]

_MAX_RECORD_BYTES = 200_000
"""Largest progress record; the store refuses records of more than 262,144 bytes."""


class ActiveJob:
    """A job that has not ended, or whose last runs are being stopped.

    Parameters
    ----------
    id : str
        The job's id.
    submission : Submission
        The accepted submission.
    max_attempts : int
        Failed runs of one task, or of one gang, after which the job fails.  A run of a gang has
        failed if any of its members has.
    """

    __slots__ = (
        "_awaits_confirmation",
        "_budget",
        "_chain_ms",
        "_done",
        "_dropped_tasks",
        "_has_begun",
        "_mean_ms",
        "_median_ms",
        "_occurrences",
        "_open_tasks",
        "_ready_by_occurrence",
        "id",
        "is_dirty",
        "max_attempts",
        "state",
        "submission",
    )

    def __init__(self, id: str, submission: Submission, max_attempts: int) -> None:
        self.id = id
        self.submission = submission
        self.max_attempts = max_attempts
        self.state = JobState.QUEUED
        self.is_dirty = False
        self._has_begun = False
        self._awaits_confirmation = False
        self._budget = TaskBudget()
        self._open_tasks = 0
        self._dropped_tasks = 0
        self._done = RangeSet()
        self._occurrences: dict[int, Occurrence] = {}
        # Each round asks several times, and most jobs do not change from one to the next.
        self._ready_by_occurrence: dict[int, list[list[Task]]] = {}
        declared_ms = [float(step.estimate_ms) for step in submission.steps]
        self._median_ms: Sequence[float] = declared_ms
        self._mean_ms: Sequence[float] = declared_ms
        self._chain_ms = chain_lengths_ms(submission.steps, declared_ms)

    @property
    def chain_ms(self) -> float:
        """Predicted milliseconds of the longest chain of steps."""
        return max(self._chain_ms, default=0.0)

    @property
    def is_open(self) -> bool:
        """Whether tasks of the job may still be started."""
        return not self.state.is_final

    @property
    def open_tasks(self) -> int:
        """Number of its tasks that exist in memory."""
        return self._open_tasks

    @property
    def needs_ranges(self) -> bool:
        """Whether its progress has too many done tasks to list them one by one."""
        return self._dropped_tasks > MAX_LISTED_TASKS

    def use_budget(self, budget: TaskBudget) -> None:
        """Count its open tasks in another budget from now on."""
        self._budget.give_back(self._open_tasks)
        self._budget = budget
        self._budget.take(self._open_tasks)

    def close(self) -> None:
        """Give back the budget of its tasks; the job is not used any more."""
        self.use_budget(TaskBudget())

    def predict(self, median_ms: Sequence[float], mean_ms: Sequence[float]) -> None:
        """Replace the predicted times of a task of each step; at first they are the declared ones.

        Parameters
        ----------
        median_ms, mean_ms : sequence of float
            Median and mean time of a task of each step, in milliseconds.
        """
        self._median_ms = median_ms
        self._mean_ms = mean_ms
        self._chain_ms = chain_lengths_ms(self.submission.steps, median_ms)

    def median_ms(self, step: int) -> float:
        """Return the median time of a task of a step, in milliseconds."""
        return self._median_ms[step]

    def mean_ms(self, step: int) -> float:
        """Return the mean time of a task of a step, in milliseconds."""
        return self._mean_ms[step]

    def remaining_chain_ms(self, step: int) -> float:
        """Return the predicted milliseconds from the start of a step to the job's end."""
        return self._chain_ms[step]

    def steps_of(self, occurrence: int) -> list[list[Task]]:
        """Return the tasks of an occurrence by step; creates them, whatever the budget."""
        return self._occurrence(occurrence).all_steps()

    def task(self, key: TaskKey) -> Task | None:
        """Return a task, or None if the job has none of that key."""
        if not 0 <= key.occurrence < self.submission.occurrence_count:
            return None
        steps = self.submission.steps
        if not 0 <= key.step < len(steps) or not 0 <= key.member < steps[key.step].count:
            return None
        return self._occurrence(key.occurrence).step(key.step)[key.member]

    def open_task(self, key: TaskKey) -> Task | None:
        """Return a task that exists and whose step is not done; creates none."""
        found = self._occurrences.get(key.occurrence)
        return found.open_task(key.step, key.member) if found is not None else None

    def end_without_run(self, task: Task) -> bool:
        """Complete a task that waits, as an earlier run of it has ended as done after all.

        Explanation
        -----------
        The end of one member of a gang is that of all.  Return False, and change nothing, if
        the task, or a member of its gang, has another run by now or is to run again in any case.
        """
        members = task.siblings if task.step.is_gang else [task]
        is_waiting = all(member.status is TaskStatus.WAITING for member in members)
        if not is_waiting or task.step.is_long_running or not self.is_open:
            return False
        self.is_dirty = True
        self._ready_by_occurrence.pop(task.key.occurrence, None)
        self._finish(task)
        return True

    def tasks(self) -> Iterator[Task]:
        """Iterate over the tasks that exist: those of steps that are done do not."""
        for found in self._occurrences.values():
            yield from found.tasks()

    def unopened_steps(self) -> Iterator[int]:
        """Iterate over the numbers of the steps that have no tasks yet, of occurrences that do."""
        for found in self._occurrences.values():
            yield from found.unopened_steps()

    def assigned(self) -> list[Task]:
        """Return the tasks that may be running on a worker."""
        return [task for task in self.tasks() if task.is_assigned]

    def restore(
        self,
        state: JobState,
        records: list[TaskRecord],
        done: Sequence[tuple[int, int]] = (),
    ) -> None:
        """Restore the state that a previous owner has recorded.

        Parameters
        ----------
        state : JobState
            State of the job.
        records : list of TaskRecord
            Tasks that were started, without those of the occurrences in ``done``.
        done : sequence of tuple of int
            Ranges of occurrences that are done: the first, and the one after the last.
        """
        self.state = state
        self._done = RangeSet(done)
        self._dropped_tasks = len(self._done) * sum(step.count for step in self.submission.steps)
        self._awaits_confirmation = state is JobState.QUEUED and bool(records)
        self._has_begun = state is not JobState.QUEUED and (
            bool(done) or any(map(_has_surely_begun, records))
        )
        self._ready_by_occurrence.clear()
        for (occurrence, step), found in _by_step(records).items():
            if self.task(TaskKey(occurrence, step, 0)) is not None:
                self._restore_step(occurrence, step, found)

    def _restore_step(self, occurrence: int, step: int, records: list[TaskRecord]) -> None:
        for record in records:
            task = self.task(TaskKey(*record.key))
            if task is None:
                continue
            task.status = record.status
            task.run = record.run
            task.failures = record.failures
            task.worker = record.worker
            task.life = record.life
            task.checkpoint = record.checkpoint
            task.failed_run = record.failed_run
            for worker in record.open_workers:
                task.open_starts.note(worker, math.inf)
        self._drop_if_done(occurrence, step)

    def encode(self, *, may_use_ranges: bool = False) -> bytes:
        """Return the value of the progress record; for a job that is over, only its state.

        Explanation
        -----------
        With ``may_use_ranges`` a job with many done tasks is encoded in a form that builds
        without it can't read.
        """
        value = self._encode(may_use_ranges=may_use_ranges)
        if len(value) > _MAX_RECORD_BYTES:
            self._forget_checkpoints()
            value = self._encode(may_use_ranges=may_use_ranges)
        return value

    def _encode(self, *, may_use_ranges: bool) -> bytes:
        if self.is_over():
            return encode_progress(self.state, ())
        if may_use_ranges and self.needs_ranges:
            return encode_ranged_progress(self.state, self._open_groups(), self._done.ranges())
        return encode_progress(self.state, self._groups())

    def _forget_checkpoints(self) -> None:
        """Let waiting tasks start from the beginning: the store takes no record of that size."""
        for task in self.tasks():
            if task.status is TaskStatus.WAITING:
                task.checkpoint = ""

    def _groups(self) -> Iterator[TaskGroup]:
        """Iterate over the steps of which a task was started, those that are done among them."""
        for occurrence in self._done:
            for number, step in enumerate(self.submission.steps):
                yield occurrence, number, done_rows(step.count)
        yield from self._open_groups()

    def _open_groups(self) -> Iterator[TaskGroup]:
        """Iterate over the steps of the occurrences that are not done."""
        for occurrence, found in self._occurrences.items():
            for number, rows in found.rows():
                yield occurrence, number, rows

    def encode_retained_submission(self) -> bytes:
        """Return the submission without spec and steps, to keep for a job that is over.

        Explanation
        -----------
        A starting process reads all stored records, which takes seconds over a slow link.
        """
        return encode_submission(structs.replace(self.submission, spec="", steps=()))

    def ready_steps(self, now_unix_ms: float) -> Iterator[list[Task]]:
        """Iterate over the steps that may start now and that have a waiting task.

        Parameters
        ----------
        now_unix_ms : float
            Time of day in milliseconds.
        """
        if not self.is_open:
            return
        due_count = self.submission.due_count(now_unix_ms)
        occurrence = self._done.next_missing(0)
        while occurrence < due_count:
            ready = self._ready_steps_of(occurrence)
            if ready is None:
                return
            yield from ready
            occurrence = self._done.next_missing(occurrence + 1)

    def next_due_ms(self, now_unix_ms: float) -> int | None:
        """Return the Unix milliseconds of the next occurrence to come, if any."""
        due_count = self.submission.due_count(now_unix_ms)
        if due_count >= self.submission.occurrence_count:
            return None
        return self.submission.due_ms(due_count)

    def end_run(self, task: Task, end: RunEnd, checkpoint: str, now_s: float) -> None:
        """Update the task and the job for the end of the task's present run."""
        self.is_dirty = True
        self._ready_by_occurrence.pop(task.key.occurrence, None)
        if checkpoint:
            self.note_checkpoint(task, checkpoint)
        if end is RunEnd.DONE and not task.step.is_long_running:
            self._finish(task)
            return
        if end is RunEnd.FAILED:
            self._count_failure(task)
        task.release(now_s)
        if self._has_no_attempts_left(task):
            self.state = JobState.FAILED

    def _count_failure(self, task: Task) -> None:
        """Count a failed run: that of a gang once, however many of its members fail in it."""
        task.failed_on.add(task.worker)
        if task.step.is_gang:
            if any(member.failed_run == task.run for member in task.siblings):
                return
            task.failed_run = task.run
        task.failures += 1

    def note_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep a checkpoint; that of any member of a gang is valid for all of them."""
        for member in self._sharing_checkpoint(task):
            member.checkpoint = checkpoint

    def _sharing_checkpoint(self, task: Task) -> list[Task]:
        return task.siblings if task.step.is_gang else [task]

    def assign(self, tasks: list[Task], workers: list[str], lives: list[int], now_s: float) -> None:
        """Assign tasks of one step to workers; members of a gang get the same run number."""
        last_run = max(task.run for task in tasks)
        self._unite_checkpoints(tasks)
        for task, worker, life in zip(tasks, workers, lives, strict=True):
            if task.step.is_gang:
                task.run = last_run
            task.assign(worker, life, now_s)
        self.is_dirty = True
        self._ready_by_occurrence.pop(tasks[0].key.occurrence, None)
        if self.state is JobState.QUEUED and not self._awaits_confirmation:
            self.state = JobState.RUNNING

    def _unite_checkpoints(self, tasks: list[Task]) -> None:
        """Let all members of a gang resume from the same point, also after older records."""
        known = {task.checkpoint for task in tasks if task.checkpoint}
        if tasks[0].step.is_gang and known:
            self.note_checkpoint(tasks[0], max(known))

    def note_begun(self) -> None:
        """Record that a worker has started one of the job's tasks."""
        self._has_begun = True
        self._awaits_confirmation = False
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING
            self.is_dirty = True

    def note_not_begun(self) -> None:
        """Record that no start of the job's tasks was confirmed in time.

        Explanation
        -----------
        A start is stored before its order is sent, and usually confirmed within
        milliseconds, so the job counts as running from then on, to save a record.  If no
        worker has confirmed any start, it is queued again until one does.
        """
        if not self._has_begun and self.state is JobState.RUNNING:
            self.state = JobState.QUEUED
            self._awaits_confirmation = True
            self.is_dirty = True

    def cancel(self) -> None:
        """Cancel the job unless it has ended."""
        if self.is_open:
            self.state = JobState.CANCELLED
            self.is_dirty = True

    def is_over(self) -> bool:
        """Return whether the job has ended and none of its tasks may be running on a worker."""
        return self.state.is_final and not any(task.is_assigned for task in self.tasks())

    def _occurrence(self, number: int) -> Occurrence:
        """Return an occurrence; creates it at the first call, without any task."""
        found = self._occurrences.get(number)
        if found is None:
            found = Occurrence(self, number, self._note_opened, is_done=number in self._done)
            if number not in self._done:
                self._occurrences[number] = found
        return found

    def _note_opened(self, count: int) -> None:
        """Count tasks that were created, or with a negative number, that were dropped."""
        self._open_tasks += count
        self._budget.take(count)

    def _may_open(self, count: int) -> bool:
        return self._budget.may_open(self._open_tasks, count)

    def _ready_steps_of(self, occurrence: int) -> list[list[Task]] | None:
        """Return the steps that have a waiting task and wait for no other step.

        The result is None if the budget allows no task of the occurrence.
        """
        found = self._ready_by_occurrence.get(occurrence)
        if found is not None:
            return found
        steps, is_whole = self._occurrence(occurrence).ready_steps(self._may_open)
        if is_whole:
            # A step that had to wait for the budget is looked for again with the next call.
            self._ready_by_occurrence[occurrence] = steps
        return steps if is_whole or steps else None

    def _drop_if_done(self, occurrence: int, step: int) -> None:
        """Forget the tasks of a step, and an occurrence, once all of its tasks are done."""
        found = self._occurrences.get(occurrence)
        if found is None or not found.drop_if_done(step):
            return
        self._dropped_tasks += self.submission.steps[step].count
        if found.is_done:
            del self._occurrences[occurrence]
            self._done.add(occurrence)

    def _finish(self, task: Task) -> None:
        if task.step.is_gang:
            for member in task.siblings:
                member.status = TaskStatus.DONE
        task.status = TaskStatus.DONE
        self._drop_if_done(task.key.occurrence, task.key.step)
        if self.is_open and self._is_complete():
            self.state = JobState.COMPLETED

    def _is_complete(self) -> bool:
        return len(self._done) >= self.submission.occurrence_count

    def _has_no_attempts_left(self, task: Task) -> bool:
        if task.step.is_long_running or not self.is_open:
            return False
        if not task.step.is_gang:
            return task.failures >= self.max_attempts
        return sum(member.failures for member in task.siblings) >= self.max_attempts


def _by_step(records: list[TaskRecord]) -> dict[tuple[int, int], list[TaskRecord]]:
    """Return the records by occurrence and step."""
    found: dict[tuple[int, int], list[TaskRecord]] = {}
    for record in records:
        key = TaskKey(*record.key)
        found.setdefault((key.occurrence, key.step), []).append(record)
    return found


def _has_surely_begun(record: TaskRecord) -> bool:
    """Whether a worker has run a task; its first run may not have been started yet."""
    is_first = record.status is TaskStatus.ASSIGNED and record.run <= 1
    return not is_first or bool(record.failures or record.checkpoint)
