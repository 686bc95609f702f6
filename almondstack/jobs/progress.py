"""The value of a progress record: a job's state, and its tasks in few bytes.

Explanation
-----------
Every process reads every record, and a job's is written anew with each change of
one of its tasks; in a burst these records are most of what crosses the links.  So
most tasks take a few bytes each.  The first byte is the state, so that a process
that only shows states decodes nothing else.  After it come the workers that are
named, each once, and for each step the tasks that are done at the first run, in
ranges, those that are assigned and have neither failed nor saved anything, and
the rest in full.
"""

from collections.abc import Iterable, Iterator

import msgspec

from almondstack.jobs.errors import RecordError
from almondstack.jobs.model import JobState, TaskKey, TaskRecord, TaskStatus

__all__ = ["decode_progress", "decode_state", "encode_progress"]

_NO_WORKER = -1
_FIRST_RUN = 1
_MOST_MEMBERS = 100_000
"""A range of more tasks is taken for a fault of its record; no step has nearly as many."""


class _OtherTask(msgspec.Struct, frozen=True, array_like=True):
    """A task that is told in full; its worker is a number."""

    member: int
    status: TaskStatus
    run: int
    failures: int
    worker: int
    checkpoint: str


class _StepTasks(msgspec.Struct, array_like=True):
    """Tasks of one step of one occurrence.

    Explanation
    -----------
    ``done`` holds the first member and the count of each range, ``assigned`` the
    member, the run and the number of the worker of each task.
    """

    occurrence: int
    step: int
    done: list[int]
    assigned: list[int]
    others: list[_OtherTask]


class _Tasks(msgspec.Struct, array_like=True):
    """Lives of workers are given as differences from one of them, which are short."""

    base_life: int
    worker_ids: list[str]
    worker_lives: list[int]
    steps: list[_StepTasks]


_encoder = msgspec.msgpack.Encoder()
_tasks = msgspec.msgpack.Decoder(_Tasks)
_tasks_before = msgspec.msgpack.Decoder(list[TaskRecord])
"""Reads what versions before stored: each task in full."""


class _Workers:
    """Numbers the lives of workers in the order in which they are met."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, int], int] = {}

    @property
    def lives(self) -> list[tuple[str, int]]:
        """The workers, by their numbers."""
        return list(self._numbers)

    def number(self, record: TaskRecord) -> int:
        """Return the number of the worker that a task is on."""
        if not record.worker and not record.life:
            return _NO_WORKER
        life = (record.worker, record.life)
        return self._numbers.setdefault(life, len(self._numbers))


def encode_progress(state: JobState, tasks: Iterable[TaskRecord]) -> bytes:
    """Return the value of a progress record.

    Examples
    --------
    >>> record = TaskRecord(TaskKey(0, 0, 2), TaskStatus.ASSIGNED, 1, 0, "w1", 1_700)
    >>> decode_progress(encode_progress(JobState.RUNNING, [record])) == [record]
    True
    """
    workers = _Workers()
    steps: dict[tuple[int, int], _StepTasks] = {}
    for record in tasks:
        place = (record.key.occurrence, record.key.step)
        step = steps.setdefault(place, _StepTasks(*place, [], [], []))
        _add(step, record, workers)
    lives = workers.lives
    base_life = lives[0][1] if lives else 0
    wire = _Tasks(
        base_life,
        [worker for worker, _ in lives],
        [life - base_life for _, life in lives],
        list(steps.values()),
    )
    return bytes((state,)) + _encoder.encode(wire)


def _add(step: _StepTasks, record: TaskRecord, workers: _Workers) -> None:
    number = workers.number(record)
    member = record.key.member
    is_plain = not record.failures and not record.checkpoint
    is_first = record.run == _FIRST_RUN and number == _NO_WORKER
    if is_plain and is_first and record.status is TaskStatus.DONE:
        _add_done(step.done, member)
    elif is_plain and number != _NO_WORKER and record.status is TaskStatus.ASSIGNED:
        step.assigned.extend((member, record.run, number))
    else:
        step.others.append(
            _OtherTask(
                member, record.status, record.run, record.failures, number, record.checkpoint
            )
        )


def _add_done(done: list[int], member: int) -> None:
    """Add a member to the last range, or begin another one with it."""
    if done and done[-2] + done[-1] == member:
        done[-1] += 1
    else:
        done.extend((member, 1))


def decode_state(value: bytes) -> JobState:
    """Return the state that a progress record begins with.

    Raises
    ------
    RecordError
        The value is empty or begins with no state.
    """
    try:
        return JobState(value[0])
    except (IndexError, ValueError) as error:
        raise RecordError("a progress record without state") from error


def decode_progress(value: bytes) -> list[TaskRecord]:
    """Return the tasks of a progress record, step by step.

    Raises
    ------
    RecordError
        The value does not decode.
    """
    try:
        return _tasks_before.decode(value[1:])
    except msgspec.MsgspecError:
        return _decode(value)


def _decode(value: bytes) -> list[TaskRecord]:
    try:
        wire = _tasks.decode(value[1:])
        lives = [wire.base_life + life for life in wire.worker_lives]
        workers = list(zip(wire.worker_ids, lives, strict=True))
        return [record for step in wire.steps for record in _records(step, workers)]
    except (msgspec.MsgspecError, ValueError, IndexError) as error:
        raise RecordError(str(error)) from error


def _records(step: _StepTasks, workers: list[tuple[str, int]]) -> Iterator[TaskRecord]:
    def key(member: int) -> TaskKey:
        return TaskKey(step.occurrence, step.step, member)

    for first, count in zip(step.done[::2], step.done[1::2], strict=True):
        if count > _MOST_MEMBERS:
            raise ValueError(f"a range of {count} tasks")
        for member in range(first, first + count):
            yield TaskRecord(key(member), TaskStatus.DONE, _FIRST_RUN)
    rows = zip(step.assigned[::3], step.assigned[1::3], step.assigned[2::3], strict=True)
    for member, run, number in rows:
        yield TaskRecord(key(member), TaskStatus.ASSIGNED, run, 0, *_worker(workers, number))
    for task in step.others:
        yield TaskRecord(
            key(task.member),
            task.status,
            task.run,
            task.failures,
            *_worker(workers, task.worker),
            task.checkpoint,
        )


def _worker(workers: list[tuple[str, int]], number: int) -> tuple[str, int]:
    if number == _NO_WORKER:
        return "", 0
    if number < 0:
        raise ValueError(f"no worker has the number {number}")
    return workers[number]
