"""Formats and parses the names by which workers identify tasks."""

from almondstack.jobs.errors import TaskNameError
from almondstack.jobs.model import TaskKey

__all__ = ["format_step_name", "format_task_name", "parse_task_name"]

_FIELDS = 4


def format_task_name(job: str, key: TaskKey) -> str:
    """Return the name by which workers identify a task.

    Examples
    --------
    >>> from almondstack.jobs import TaskKey
    >>> format_task_name("5c0e7a21d94b36f8", TaskKey(0, 1, 17))
    '5c0e7a21d94b36f8.0.1.17'
    """
    return f"{job}.{key.occurrence}.{key.step}.{key.member}"


def format_step_name(job: str, occurrence: int, step: int) -> str:
    """Return the name of one occurrence of a step."""
    return f"{job}.{occurrence}.{step}"


def parse_task_name(name: str) -> tuple[str, TaskKey]:
    """Return the job and the key of a task's name.

    Raises
    ------
    TaskNameError
        The name is not of the form ``job.occurrence.step.member`` with three integers.

    Examples
    --------
    >>> parse_task_name("5c0e7a21d94b36f8.0.1.17")
    ('5c0e7a21d94b36f8', TaskKey(occurrence=0, step=1, member=17))
    """
    parts = name.split(".")
    if len(parts) != _FIELDS:
        raise TaskNameError(name)
    try:
        numbers = [int(part) for part in parts[1:]]
    except ValueError as error:
        raise TaskNameError(name) from error
    return parts[0], TaskKey(*numbers)
