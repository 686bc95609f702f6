"""Samples of everything that processes of two builds share: stored records and messages.

Explanation
-----------
The bytes that earlier builds wrote for these samples are test data
(``almondstack/jobs/tests/shared_forms.json``); ``docs/design/upgrades.md`` says by which
rule each form may change.  A sample, once recorded, is not changed: a new field gets a
new sample.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from almondstack.intake import Verdict
from almondstack.jobs import JobState, Step, Submission, TaskKey, TaskRecord, TaskStatus
from almondstack.jobs.progress import (
    decode_done_occurrences,
    decode_progress,
    decode_state,
    encode_progress,
    encode_ranged_progress,
)
from almondstack.jobs.records import (
    OwnerNotice,
    decode_notice,
    decode_submission,
    encode_notice,
    encode_submission,
)
from almondstack.relay.messages import (
    CancelCall,
    OwnerReply,
    ReceiptReply,
    Sender,
    SubmissionCall,
)

__all__ = ["SAMPLES", "Sample"]


class Sample(NamedTuple):
    """A value that is shared, its encoding, and the reader of that encoding."""

    value: Any
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]


_SUBMISSION = Submission(
    "queue-1",
    "account-1",
    "spec",
    (
        Step(2, cpu_millis=500, memory_mb=256, estimate_ms=900),
        Step(3, cpu_millis=1_000, gpus=1, after=(0,), is_gang=True, has_checkpoints=True),
    ),
    occurrences=5,
    first_due_ms=1_700_000_000_000,
    interval_ms=60_000,
    accepted_ms=1_699_999_999_000,
    pool="pool-1",
    max_attempts=3,
)
_TASKS = [
    TaskRecord(TaskKey(0, 0, 0), TaskStatus.DONE, 1),
    TaskRecord(TaskKey(0, 0, 1), TaskStatus.ASSIGNED, 1, 0, "i-1", 1_700_000_001_000),
    TaskRecord(TaskKey(1, 0, 0), TaskStatus.ASSIGNED, 3, 1, "i-2", 1_700_000_002_000, "0004"),
    TaskRecord(TaskKey(1, 0, 1), TaskStatus.WAITING, 2, 1, "", 0, "0002"),
    TaskRecord(TaskKey(1, 1, 0), TaskStatus.DONE, 2, 1),
]
_FAILED_GANG = [
    TaskRecord(TaskKey(0, 1, 0), TaskStatus.WAITING, 2, 1, "", 0, "0005", 2),
    TaskRecord(TaskKey(0, 1, 1), TaskStatus.ASSIGNED, 2, 1, "i-1", 1_700_000_001_000, "0005", 1),
    TaskRecord(TaskKey(0, 1, 2), TaskStatus.ASSIGNED, 2, 0, "i-2", 1_700_000_002_000, "0005"),
]
_HELD = TaskRecord(
    TaskKey(0, 0, 0), TaskStatus.WAITING, 2, 1, checkpoint="0002", open_workers=("i-1", "i-2")
)
_UNCONFIRMED = TaskRecord(TaskKey(0, 0, 0), TaskStatus.ASSIGNED, 1, 0, "i-1", 1_700_000_001_000)
_DONE_STEP = TaskRecord(TaskKey(20_000, 0, 0), TaskStatus.DONE, 1)
_RETRIED = TaskRecord(
    TaskKey(20_000, 1, 0), TaskStatus.ASSIGNED, 2, 1, "i-1", 1_700_000_001_000, "0003"
)
_NOTICE = OwnerNotice(
    "edge-1/0a1b", 7, "127.0.0.1:1", {"p/a": 300}, 2.0, "127.0.0.1:2", "edge-2/3c4d", 12
)
_SHORT_NOTICE = OwnerNotice(
    "edge-1/0a1b",
    7,
    waits_ms={"p/a": 300},
    entitled_millis={"a": 1_280},
    written_unix_ms=1_700_000_000_000,
)
_SENDER = Sender("edge-2/3c4d", 1.5, 0.25, "a")


def _encode_progress(value: tuple[JobState, list[TaskRecord]]) -> bytes:
    state, tasks = value
    groups: dict[tuple[int, int], list[TaskRecord]] = {}
    for task in tasks:
        groups.setdefault((task.key.occurrence, task.key.step), []).append(task)
    return encode_progress(state, [(*key, rows) for key, rows in groups.items()])


def _decode_progress(value: bytes) -> tuple[JobState, list[TaskRecord]]:
    return decode_state(value), decode_progress(value)


def _encode_ranged(value: tuple[JobState, list[TaskRecord], list[tuple[int, int]]]) -> bytes:
    state, tasks, done = value
    groups = [(task.key.occurrence, task.key.step, [task]) for task in tasks]
    return encode_ranged_progress(state, groups, done)


def _decode_ranged(value: bytes) -> tuple[JobState, list[TaskRecord], list[tuple[int, int]]]:
    return decode_state(value), decode_progress(value), decode_done_occurrences(value)


def _encode_ranged_notice(notice: OwnerNotice) -> bytes:
    return encode_notice(notice, has_ranges=True)


def _message(value: Any) -> Sample:
    """Return the sample of a message between processes."""
    return Sample(value, msgspec.msgpack.encode, msgspec.msgpack.Decoder(type(value)).decode)


SAMPLES = {
    "submission": Sample(_SUBMISSION, encode_submission, decode_submission),
    "progress": Sample((JobState.RUNNING, _TASKS), _encode_progress, _decode_progress),
    "progress, gang": Sample((JobState.RUNNING, _FAILED_GANG), _encode_progress, _decode_progress),
    "progress, held": Sample((JobState.RUNNING, [_HELD]), _encode_progress, _decode_progress),
    "progress, unconfirmed": Sample(
        (JobState.QUEUED, [_UNCONFIRMED]), _encode_progress, _decode_progress
    ),
    "progress, over": Sample((JobState.COMPLETED, []), _encode_progress, _decode_progress),
    "progress, ranged": Sample(
        (JobState.RUNNING, [_DONE_STEP, _RETRIED], [(0, 20_000), (20_001, 20_003)]),
        _encode_ranged,
        _decode_ranged,
    ),
    "notice, ranged": Sample(_NOTICE, _encode_ranged_notice, decode_notice),
    "notice": Sample(_NOTICE, encode_notice, decode_notice),
    "notice, admission": Sample(_SHORT_NOTICE, encode_notice, decode_notice),
    "notice, released": Sample(OwnerNotice("", 7), encode_notice, decode_notice),
    "wave": Sample(
        ["m-1", "m-2"], msgspec.msgpack.encode, msgspec.msgpack.Decoder(list[str]).decode
    ),
    "submission call": _message(SubmissionCall(7, 900, "0" * 16, _SUBMISSION, 1_234, _SENDER)),
    "cancel call": _message(CancelCall(7, 900, "0" * 16, _SENDER)),
    "receipt reply": _message(ReceiptReply(Verdict.FULL, 250.0)),
    "receipt reply, return": _message(ReceiptReply(Verdict.FULL, 250.0, 3)),
    "owner reply": _message(OwnerReply(8, "127.0.0.1:3")),
}
"""The samples by name."""
