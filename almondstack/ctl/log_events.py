"""Parses the JSON log lines that almondstack processes write."""

import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple, TextIO

import msgspec

from almondstack.core import DECODING_ERRORS
from almondstack.ctl.errors import DocumentError

__all__ = ["LogEvent", "LogReader", "read_files"]


class LogEvent(NamedTuple):
    """A log line: Unix time in seconds, process, event name and the event's fields."""

    time_s: float
    node: str
    name: str
    fields: dict[str, Any]

    @property
    def job(self) -> str:
        """Id of the job that the event names, directly or by one of its tasks; may be empty."""
        task = str(self.fields.get("task", ""))
        return str(self.fields.get("job", "")) or task.partition(".")[0]


class LogReader:
    """Parses events from lines and counts the lines that hold none.

    Explanation
    -----------
    Text before the JSON object of a line is ignored.

    Attributes
    ----------
    unread : int
        Number of lines that are not log lines; empty lines are not counted.

    Examples
    --------
    >>> reader = LogReader()
    >>> [event.name for event in reader.read(['3.2 n {"time":1,"event":"start"}', "torn"])]
    ['start']
    >>> reader.unread
    1
    """

    __slots__ = ("unread",)

    def __init__(self) -> None:
        self.unread = 0

    def read(self, lines: Iterable[str]) -> Iterator[LogEvent]:
        """Yield the events in the order of the lines."""
        for line in lines:
            event = _parse(line)
            if event is not None:
                yield event
            elif line.strip():
                self.unread += 1


def read_files(names: list[str]) -> Iterator[str]:
    """Yield the lines of the files, one file after the other; ``-`` is standard input.

    Raises
    ------
    DocumentError
        A file cannot be opened.
    """
    with ExitStack() as stack:
        for file in [_open(name, stack) for name in names]:
            yield from file


def _open(name: str, stack: ExitStack) -> TextIO:
    if name == "-":
        return sys.stdin
    try:
        return stack.enter_context(Path(name).open(encoding="utf-8", errors="replace"))
    except OSError as error:
        raise DocumentError(f"{name}: {error.strerror}") from error


def _parse(line: str) -> LogEvent | None:
    try:
        fields = msgspec.json.decode(line[line.find("{") :])
    except DECODING_ERRORS:
        return None
    if not isinstance(fields, dict):
        return None
    time_s, node, name = (fields.pop(key, None) for key in ("time", "node", "event"))
    if not isinstance(time_s, int | float) or not isinstance(name, str):
        return None
    return LogEvent(time_s, str(node), name, fields)
