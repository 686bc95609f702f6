"""Jobs: submissions, their records in the store, and the state machine that runs them."""

from almondstack.jobs.active import ActiveJob
from almondstack.jobs.chains import chain_lengths_ms
from almondstack.jobs.errors import RecordError, SubmissionError, TaskNameError
from almondstack.jobs.job_index import JobEntry, JobIndex
from almondstack.jobs.model import (
    JobState,
    RunEnd,
    Step,
    Submission,
    TaskKey,
    TaskRecord,
    TaskStatus,
)
from almondstack.jobs.names import format_step_name, format_task_name, parse_task_name
from almondstack.jobs.open_starts import OpenStarts
from almondstack.jobs.progress import (
    decode_done_occurrences,
    decode_progress,
    decode_state,
    encode_progress,
)
from almondstack.jobs.records import (
    OwnerNotice,
    RecordKind,
    decode_submission,
    encode_notice,
    encode_submission,
    record_key,
)
from almondstack.jobs.task import Task
from almondstack.jobs.task_budget import TaskBudget

__all__ = [
    "ActiveJob",
    "JobEntry",
    "JobIndex",
    "JobState",
    "OpenStarts",
    "OwnerNotice",
    "RecordError",
    "RecordKind",
    "RunEnd",
    "Step",
    "Submission",
    "SubmissionError",
    "Task",
    "TaskBudget",
    "TaskKey",
    "TaskNameError",
    "TaskRecord",
    "TaskStatus",
    "chain_lengths_ms",
    "decode_done_occurrences",
    "decode_progress",
    "decode_state",
    "decode_submission",
    "encode_notice",
    "encode_progress",
    "encode_submission",
    "format_step_name",
    "format_task_name",
    "parse_task_name",
    "record_key",
]
