"""Failures of the jobs package."""

from almondstack.core import AlmondError

__all__ = ["RecordError", "SubmissionError", "TaskNameError"]


class TaskNameError(AlmondError):
    """A worker lists a task whose name has not our form."""

    code = "task-name"


class RecordError(AlmondError):
    """A record of the store does not decode."""

    code = "job-record"


class SubmissionError(AlmondError):
    """A submission can't be accepted as it is; nothing was stored."""

    code = "submission"
