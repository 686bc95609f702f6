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
"""

from collections.abc import Iterable, Iterator, Sequence
from typing import Protocol

import msgspec

from almondstack.core import CodecError, decode_with
from almondstack.jobs.errors import RecordError
from almondstack.jobs.model import JobState, TaskKey, TaskRecord, TaskStatus

__all__ = ["StoredTask", "TaskGroup", "decode_progress", "decode_state", "encode_progress"]

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


TaskGroup = tuple[int, int, Sequence[StoredTask]]
"""An occurrence, a step, and the tasks of the step in order."""


class _Task(msgspec.Struct, frozen=True, array_like=True):
    """A task that is encoded in full; its worker is a number, 0 if it has none."""

    status: TaskStatus
    run: int
    failures: int
    worker: int
    checkpoint: str


class _Tasks(msgspec.Struct, frozen=True, array_like=True):
    """The encoded tasks; ``worker_lives`` are differences from ``base_life``, to save bytes."""

    base_life: int
    worker_ids: list[str]
    worker_lives: list[int]
    groups: list[tuple[int, int, list[None | int | _Task]]]


_encoder = msgspec.msgpack.Encoder()
_tasks = msgspec.msgpack.Decoder(_Tasks)
_legacy_tasks = msgspec.msgpack.Decoder(list[TaskRecord])
"""Decodes records of earlier versions, which encode each task in full."""


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
    wire_groups = []
    for occurrence, step, tasks in groups:
        rows = [_row(task, numbers) for task in tasks]
        while rows and rows[-1] is None:
            rows.pop()
        if rows:
            wire_groups.append((occurrence, step, rows))
    base_life = next(iter(numbers))[1] if numbers else 0
    ids = [worker for worker, _ in numbers]
    lives = [life - base_life for _, life in numbers]
    return bytes((state,)) + _encoder.encode((base_life, ids, lives, wire_groups))


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
    return _Task(status, run, task.failures, number, task.checkpoint)


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
    try:
        return decode_with(_legacy_tasks, value[1:])
    except CodecError:
        return _decode(value)


def _decode(value: bytes) -> list[TaskRecord]:
    try:
        wire = decode_with(_tasks, value[1:])
        lives = [wire.base_life + life for life in wire.worker_lives]
        workers = list(zip(wire.worker_ids, lives, strict=True))
        return list(_records(wire, workers))
    except (CodecError, ValueError) as error:
        raise RecordError(str(error)) from error


def _records(wire: _Tasks, workers: list[tuple[str, int]]) -> Iterator[TaskRecord]:
    for occurrence, step, rows in wire.groups:
        for member, row in enumerate(rows):
            if row is not None:
                yield _record(TaskKey(occurrence, step, member), row, workers)


def _record(key: TaskKey, row: int | _Task, workers: list[tuple[str, int]]) -> TaskRecord:
    if row == _DONE_AT_FIRST_RUN:
        return TaskRecord(key, _DONE, _FIRST_RUN)
    if isinstance(row, int):
        return TaskRecord(key, _ASSIGNED, _FIRST_RUN, 0, *_worker(workers, row))
    worker, life = _worker(workers, row.worker) if row.worker != _NO_WORKER else ("", 0)
    return TaskRecord(key, row.status, row.run, row.failures, worker, life, row.checkpoint)


def _worker(workers: list[tuple[str, int]], number: int) -> tuple[str, int]:
    if not 0 < number <= len(workers):
        raise ValueError(f"progress record names worker number {number}, which it does not list")
    return workers[number - 1]
