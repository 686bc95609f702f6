"""Compact encoding of a progress record: the state of a job and of its tasks.

Explanation
-----------
Every process reads every record, and the record of a job is rewritten with each
change of one of its tasks.  In a burst these records are most of the traffic on the
links, and encoding them is a large part of the owner's work.  The first byte is the
state of the job, so a process that only shows states decodes nothing else.  After
it come the workers, each once, and for each step its tasks in order.  Most tasks
are one small number: nil if never started, 0 if done at the first run, or the
number of the worker, from 1, if assigned at the first run.  Other tasks are encoded
in full.  Tasks at the end of a step that were never started are left out.

The ranged form is for jobs with so many done tasks that a byte for each is too much.  It
lists the ranges of the occurrences that are done, and a step that is done as a whole.  Its second
byte can't begin any MessagePack value, so that builds without it take the record for
unreadable and change nothing.
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol

import msgspec

from almondstack.core import CodecError, decode_with
from almondstack.jobs.errors import RecordError
from almondstack.jobs.model import JobState, TaskKey, TaskRecord, TaskStatus

__all__ = [
    "MAX_LISTED_TASKS",
    "StoredTask",
    "TaskGroup",
    "decode_done_occurrences",
    "decode_progress",
    "decode_state",
    "done_rows",
    "encode_progress",
    "encode_ranged_progress",
]

MAX_LISTED_TASKS = 10_000
"""Done tasks that a record lists one by one; the ranged form lists ranges instead."""

_ASSIGNED, _DONE = TaskStatus.ASSIGNED, TaskStatus.DONE
_FIRST_RUN = 1
_DONE_AT_FIRST_RUN = 0
_NO_WORKER = 0


class StoredTask(Protocol):
    """The stored fields of a task; ``worker`` and ``life`` are valid only while it is assigned."""

    status: TaskStatus
    run: int
    failures: int
    worker: str
    life: int
    checkpoint: str
    failed_run: int

    @property
    def open_workers(self) -> tuple[str, ...]:
        """Workers that may yet carry out a start of an earlier run."""
        ...


TaskGroup = tuple[int, int, Sequence[StoredTask]]
"""An occurrence, a step, and the tasks of the step in order."""


class _Task(msgspec.Struct, frozen=True, array_like=True):
    """A task that is encoded in full; its worker is a number, 0 if it has none."""

    status: TaskStatus
    run: int
    failures: int
    worker: int
    checkpoint: str


class _GangTask(_Task, frozen=True, array_like=True):
    """A task with the last run of its gang that was counted as failed for it.

    Explanation
    -----------
    Builds before this field skip it.  It is written only if there is such a run.
    """

    failed_run: int = 0


class _HeldTask(_GangTask, frozen=True, array_like=True):
    """A task with the workers that may yet carry out a start of an earlier run of it.

    Explanation
    -----------
    Builds before this field skip it.  It is written only if there are such workers.
    """

    open_workers: tuple[str, ...] = ()


class _Tasks(msgspec.Struct, frozen=True, array_like=True):
    """The encoded tasks; ``worker_lives`` are differences from ``base_life``, to save bytes."""

    base_life: int
    worker_ids: list[str]
    worker_lives: list[int]
    groups: list[tuple[int, int, list[None | int | _HeldTask]]]


class _RangedTasks(msgspec.Struct, frozen=True, array_like=True):
    """The ranged form: a step that is done is the number of its tasks instead of a list."""

    base_life: int
    worker_ids: list[str]
    worker_lives: list[int]
    groups: list[tuple[int, int, list[None | int | _HeldTask] | int]]
    done: list[tuple[int, int]]


_RANGED = b"\xc1"
"""Second byte of a record in the ranged form; no MessagePack value begins with it."""

_encoder = msgspec.msgpack.Encoder()
_ranged = msgspec.msgpack.Decoder(_RangedTasks)
_tasks = msgspec.msgpack.Decoder(_Tasks)
_legacy_tasks = msgspec.msgpack.Decoder(list[TaskRecord])
"""Decodes records of earlier versions, which encode each task in full."""


_DONE_TASK = TaskRecord(TaskKey(0, 0, 0), _DONE, _FIRST_RUN)


def encode_progress(state: JobState, groups: Iterable[TaskGroup]) -> bytes:
    """Return the value of a progress record.

    Examples
    --------
    >>> record = TaskRecord(TaskKey(0, 0, 0), TaskStatus.ASSIGNED, 1, 0, "w1", 1_700)
    >>> value = encode_progress(JobState.RUNNING, [(0, 0, [record])])
    >>> decode_progress(value) == [record]
    True
    """
    numbers: dict[tuple[str, int], int] = {}
    wire_groups = list(_wire_groups(groups, numbers))
    return bytes((state,)) + _encoder.encode((*_wire_workers(numbers), wire_groups))


def encode_ranged_progress(
    state: JobState, groups: Iterable[TaskGroup], done: Sequence[tuple[int, int]]
) -> bytes:
    """Return the value of a progress record in the ranged form.

    Parameters
    ----------
    state : JobState
        State of the job.
    groups : iterable of TaskGroup
        The steps of the occurrences that are not done.
    done : sequence of tuple of int
        Ranges of occurrences that are done: the first, and the one after the last.

    Examples
    --------
    >>> value = encode_ranged_progress(JobState.RUNNING, [(9, 0, done_rows(2))], [(0, 9)])
    >>> decode_done_occurrences(value), len(decode_progress(value))
    ([(0, 9)], 2)
    """
    numbers: dict[tuple[str, int], int] = {}
    wire_groups = [
        (occurrence, step, len(rows) if _is_done(rows) else rows)
        for occurrence, step, rows in _wire_groups(groups, numbers)
    ]
    content = _encoder.encode((*_wire_workers(numbers), wire_groups, list(done)))
    return bytes((state,)) + _RANGED + content


def done_rows(count: int) -> Sequence[StoredTask]:
    """Return that many tasks which are done."""
    return (_DONE_TASK,) * count


def _is_done(rows: list[None | int | _Task]) -> bool:
    return all(row == _DONE_AT_FIRST_RUN for row in rows)


def _wire_groups(
    groups: Iterable[TaskGroup], numbers: dict[tuple[str, int], int]
) -> Iterator[tuple[int, int, list[None | int | _Task]]]:
    """Iterate over the groups with a started task; adds their workers to ``numbers``."""
    for occurrence, step, tasks in groups:
        rows = [_row(task, numbers) for task in tasks]
        while rows and rows[-1] is None:
            rows.pop()
        if rows:
            yield occurrence, step, rows


def _wire_workers(numbers: dict[tuple[str, int], int]) -> tuple[int, list[str], list[int]]:
    """Return the base life, the ids, and the lives less the base life."""
    base_life = next(iter(numbers))[1] if numbers else 0
    ids = [worker for worker, _ in numbers]
    return base_life, ids, [life - base_life for _, life in numbers]


def _row(task: StoredTask, numbers: dict[tuple[str, int], int]) -> None | int | _Task:
    run, status = task.run, task.status
    if not run:
        return None
    number = _NO_WORKER
    if status is _DONE:
        if run == _FIRST_RUN and not task.failures:
            return _DONE_AT_FIRST_RUN
        return _Task(status, run, task.failures, number, "")
    if status is _ASSIGNED:
        number = numbers.setdefault((task.worker, task.life), len(numbers) + 1)
        if run == _FIRST_RUN and not task.failures and not task.checkpoint:
            return number
    fields = status, run, task.failures, number, task.checkpoint
    if task.open_workers:
        return _HeldTask(*fields, task.failed_run, task.open_workers)
    return _GangTask(*fields, task.failed_run) if task.failed_run else _Task(*fields)


def decode_state(value: bytes) -> JobState:
    """Return the state of the job from the first byte of a progress record.

    Raises
    ------
    RecordError
        The value is empty or its first byte is no state.
    """
    try:
        return JobState(value[0])
    except (IndexError, ValueError) as error:
        raise RecordError("progress record does not begin with the state of a job") from error


def decode_progress(value: bytes) -> list[TaskRecord]:
    """Return the tasks in a progress record that were started at least once.

    Raises
    ------
    RecordError
        The value does not decode.
    """
    if value[1:2] == _RANGED:
        return _decode_ranged(value)
    try:
        return decode_with(_legacy_tasks, value[1:])
    except CodecError:
        return _decode(value)


def decode_done_occurrences(value: bytes) -> list[tuple[int, int]]:
    """Return the ranges of occurrences that a progress record gives as done as a whole.

    Raises
    ------
    RecordError
        The value does not decode.
    """
    if value[1:2] != _RANGED:
        return []
    try:
        return decode_with(_ranged, value[2:]).done
    except CodecError as error:
        raise RecordError(str(error)) from error


def _decode_ranged(value: bytes) -> list[TaskRecord]:
    try:
        wire = decode_with(_ranged, value[2:])
        groups = [
            (occurrence, step, [_DONE_AT_FIRST_RUN] * rows if isinstance(rows, int) else rows)
            for occurrence, step, rows in wire.groups
        ]
        return list(_records(groups, _workers(wire)))
    except (CodecError, ValueError) as error:
        raise RecordError(str(error)) from error


def _decode(value: bytes) -> list[TaskRecord]:
    try:
        wire = decode_with(_tasks, value[1:])
        return list(_records(wire.groups, _workers(wire)))
    except (CodecError, ValueError) as error:
        raise RecordError(str(error)) from error


def _workers(wire: _Tasks | _RangedTasks) -> list[tuple[str, int]]:
    lives = [wire.base_life + life for life in wire.worker_lives]
    return list(zip(wire.worker_ids, lives, strict=True))


def _records(
    groups: Iterable[tuple[int, int, Sequence[None | int | _HeldTask]]],
    workers: list[tuple[str, int]],
) -> Iterator[TaskRecord]:
    for occurrence, step, rows in groups:
        for member, row in enumerate(rows):
            if row is not None:
                yield _record(TaskKey(occurrence, step, member), row, workers)


def _record(key: TaskKey, row: int | _HeldTask, workers: list[tuple[str, int]]) -> TaskRecord:
    if row == _DONE_AT_FIRST_RUN:
        return TaskRecord(key, _DONE, _FIRST_RUN)
    if isinstance(row, int):
        return TaskRecord(key, _ASSIGNED, _FIRST_RUN, 0, *_worker(workers, row))
    worker, life = _worker(workers, row.worker) if row.worker != _NO_WORKER else ("", 0)
    fields = row.run, row.failures, worker, life, row.checkpoint, row.failed_run, row.open_workers
    return TaskRecord(key, row.status, *fields)


def _worker(workers: list[tuple[str, int]], number: int) -> tuple[str, int]:
    if not 0 < number <= len(workers):
        raise ValueError(f"progress record names worker number {number}, which it does not list")
    return workers[number - 1]
