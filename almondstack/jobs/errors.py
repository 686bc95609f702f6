"""Errors of the jobs package."""

from almondstack.core import AlmondError

__all__ = ["RecordError", "SubmissionError", "TaskNameError"]


class TaskNameError(AlmondError):
    """A worker lists a task whose name is not of the form ``job.occurrence.step.member``."""

    code = "task-name"


class RecordError(AlmondError):
    """A record of the store can't be decoded."""

    code = "job-record"


class SubmissionError(AlmondError):
    """A submission is invalid and was rejected; nothing was stored."""

    code = "submission"
