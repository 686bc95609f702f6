"""The encoding of progress records: it loses nothing, is small, and stays compatible."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.jobs import (
    JobState,
    OwnerNotice,
    RecordError,
    TaskKey,
    TaskRecord,
    TaskStatus,
    encode_notice,
)
from almondstack.jobs.progress import decode_progress, decode_state, encode_progress
from almondstack.jobs.records import decode_notice

_RUNS, _FAILURES = st.integers(1, 5), st.integers(0, 3)
_CHECKPOINTS = st.sampled_from(["", "00000bb87a21d94b"])
_WORKERS = st.sampled_from(["i-02619b542f", "i-699d053f99"])
_LIVES = st.sampled_from([0, 1_767_810_128_348, 1_767_810_130_001])


def _records(key):
    """Return a strategy for the record of a task that was started."""
    return st.one_of(
        st.builds(TaskRecord, st.just(key), st.just(TaskStatus.DONE), _RUNS, _FAILURES),
        st.builds(
            TaskRecord,
            st.just(key),
            st.just(TaskStatus.ASSIGNED),
            _RUNS,
            _FAILURES,
            _WORKERS,
            _LIVES,
            _CHECKPOINTS,
        ),
        st.builds(
            TaskRecord,
            st.just(key),
            st.just(TaskStatus.WAITING),
            _RUNS,
            st.integers(1, 3),
            failed_run=_RUNS,
        ),
        st.builds(
            TaskRecord,
            st.just(key),
            st.just(TaskStatus.WAITING),
            _RUNS,
            _FAILURES,
            st.just(""),
            st.just(0),
            _CHECKPOINTS,
            open_workers=st.sampled_from([(), ("i-02619b542f",)]),
        ),
    )


@st.composite
def _groups(draw):
    """Return task groups in which some tasks were never started."""
    groups = []
    for occurrence in range(draw(st.integers(0, 2))):
        for step in range(draw(st.integers(0, 3))):
            count = draw(st.integers(0, 8))
            keys = [TaskKey(occurrence, step, member) for member in range(count)]
            tasks = [draw(_records(key) | st.just(TaskRecord(key))) for key in keys]
            groups.append((occurrence, step, tasks))
    return groups


@given(st.sampled_from(JobState), _groups())
def test_tasks_come_back_as_they_were(state, groups):
    value = encode_progress(state, groups)
    assert decode_state(value) is state
    assert decode_progress(value) == [task for group in groups for task in group[2] if task.run]


def test_a_field_of_a_task_that_a_later_build_adds_is_skipped():
    """Guards against a build that takes the records of a later one for unreadable."""
    row = [TaskStatus.WAITING, 2, 1, 0, "c", 2, ["w1"], "later"]
    value = bytes((JobState.RUNNING,)) + msgspec.msgpack.encode([0, [], [], [[0, 1, [row]]]])
    fields = {"checkpoint": "c", "failed_run": 2, "open_workers": ("w1",)}
    expected = TaskRecord(TaskKey(0, 1, 0), TaskStatus.WAITING, 2, 1, **fields)
    assert decode_progress(value) == [expected]


def test_open_starts_are_no_change_for_a_build_before_them():
    """Guards against a record that the build before can't read; it knows six fields of a task."""
    fields = {"checkpoint": "c", "failed_run": 2, "open_workers": ("w1", "w2")}
    record = TaskRecord(TaskKey(0, 0, 0), TaskStatus.WAITING, 2, 1, **fields)
    value = encode_progress(JobState.RUNNING, [(0, 0, [record])])
    _, _, _, groups = msgspec.msgpack.decode(value[1:])
    assert groups[0][2][0] == [TaskStatus.WAITING, 2, 1, 0, "c", 2, ["w1", "w2"]]


def _burst_records():
    """Return the done tasks of a job, and its running tasks on three workers."""
    done = [TaskRecord(TaskKey(0, 0, member), TaskStatus.DONE, 1) for member in range(5)]
    workers = ["i-02619b542f", "i-699d053f99", "i-079f52b767"]
    running = [
        TaskRecord(
            TaskKey(0, 1, member),
            TaskStatus.ASSIGNED,
            1,
            0,
            workers[member % 3],
            1_767_810_128_348 + member % 3,
        )
        for member in range(8)
    ]
    return done, running


def test_burst_behind_slow_links_a_record_is_a_third_of_the_size_of_its_tasks_in_full():
    """With larger records, processes on links of 10 Mbit/s fell 5 s behind the owner."""
    done, running = _burst_records()
    in_full = bytes(1) + msgspec.msgpack.encode(done + running)
    value = encode_progress(JobState.RUNNING, [(0, 0, done), (0, 1, running)])
    assert len(value) <= len(in_full) / 3


def test_the_record_of_a_job_that_is_over_has_at_most_eight_bytes():
    assert len(encode_progress(JobState.COMPLETED, [])) <= 8


def test_records_of_earlier_versions_are_decoded():
    records = sum(_burst_records(), [])
    assert decode_progress(bytes(1) + msgspec.msgpack.encode(records)) == records
    assert decode_progress(bytes(1) + msgspec.msgpack.encode([])) == []


def test_update_a_process_of_an_earlier_version_can_not_decode_the_owners_notice():
    """Such a process must not become owner, since it can't decode the present records.

    It would stop the running tasks and lose the ends of their runs, so work would run twice.
    """
    notice = OwnerNotice("a/1", 7)
    with pytest.raises(msgspec.MsgspecError):
        msgspec.msgpack.decode(encode_notice(notice), type=OwnerNotice)
    assert decode_notice(encode_notice(notice)) == notice
    assert decode_notice(msgspec.msgpack.encode(notice)) == notice


@pytest.mark.parametrize(
    "tasks",
    [
        b"",
        b"\xc1",
        msgspec.msgpack.encode([0, ["w"], [], []]),
        msgspec.msgpack.encode([0, [], [], [[0, 0, [1]]]]),
        msgspec.msgpack.encode([0, ["w"], [0], [[0, 0, [2]]]]),
        msgspec.msgpack.encode([0, ["w"], [0], [[0, 0, [-1]]]]),
        msgspec.msgpack.encode([0, ["w"], [0], [[0, 0, [[1, 1, 0, -1, ""]]]]]),
        msgspec.msgpack.encode([0, ["w"], [0], [[0, 0, [[7, 1, 0, 1, ""]]]]]),
        msgspec.msgpack.encode([0, ["w"], [0], [[0, 0]]]),
    ],
)
def test_a_malformed_value_raises_a_record_error(tasks):
    with pytest.raises(RecordError):
        decode_progress(bytes(1) + tasks)
