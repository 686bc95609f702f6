"""``almondctl story``: what several processes logged of one job, in its order."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any, NamedTuple, TextIO

import msgspec

from almondstack.ctl.errors import DocumentError
from almondstack.ctl.exits import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command

__all__ = ["Story", "StoryLine", "tell_story"]

_SURROUNDINGS = frozenset(
    {
        "owner-started",
        "owner-ended",
        "store-lost",
        "store-regained",
        "state-taken-over",
        "append-retried",
        "configuration-in-force",
        "start",
        "stopping",
    }
)
"""Events of a process that often explain what became of a job at that time."""

_MARGIN_S = 1.0
"""Surroundings from so long before the job's first line belong to its story, in seconds."""


class _LogEvent(NamedTuple):
    """A log line: Unix seconds, which process, what, and the fields of that event."""

    time_s: float
    node: str
    name: str
    fields: dict[str, Any]

    def is_of(self, job: str) -> bool:
        """Whether it is about a job or one of its tasks."""
        task = str(self.fields.get("task", ""))
        return self.fields.get("job") == job or task.startswith(f"{job}.")


class StoryLine(msgspec.Struct, frozen=True):
    """One line: seconds since the first line of the job, where, what, and the rest of it."""

    seconds: float
    node: str
    event: str
    detail: str


class Story(msgspec.Struct, frozen=True):
    """What ``story`` prints; ``unread`` counts lines that are no log lines."""

    id: str
    lines: list[StoryLine]
    unread: int


def tell_story(id: str, lines: Iterable[str], *, has_surroundings: bool = True) -> Story:
    """Return the story of a job from the log lines of any number of processes.

    Parameters
    ----------
    id : str
        The job's id.
    lines : iterable of str
        Log lines in any order; what stands before the JSON object of a line is passed over.
    has_surroundings : bool
        Whether changes of the owner, the store and the configuration at that time are told too.

    Examples
    --------
    >>> story = tell_story("j1", [
    ...     '{"time":2.5,"node":"b","event":"run-ordered","task":"j1.0.0.0","run":1}',
    ...     '{"time":2.0,"node":"a","event":"job-submitted","job":"j1","verdict":"done"}',
    ... ])
    >>> [(line.seconds, line.node, line.event) for line in story.lines]
    [(0.0, 'a', 'job-submitted'), (0.5, 'b', 'run-ordered')]
    """
    events: list[_LogEvent] = []
    unread = 0
    for line in lines:
        event = _parse(line)
        if event is not None:
            events.append(event)
        elif line.strip():
            unread += 1
    own_s = [event.time_s for event in events if event.is_of(id)]
    if not own_s:
        return Story(id, [], unread)
    told = [event for event in events if event.is_of(id)]
    if has_surroundings:
        told.extend(_surroundings(id, events, min(own_s) - _MARGIN_S, max(own_s)))
    told.sort(key=lambda event: event.time_s)
    return Story(id, [_line(event, min(own_s)) for event in told], unread)


def _surroundings(
    id: str, events: list[_LogEvent], begin_s: float, end_s: float
) -> Iterator[_LogEvent]:
    for event in events:
        is_near = begin_s <= event.time_s <= end_s
        if is_near and event.name in _SURROUNDINGS and not event.is_of(id):
            yield event


def _parse(line: str) -> _LogEvent | None:
    try:
        fields = msgspec.json.decode(line[line.find("{") :])
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if not isinstance(fields, dict):
        return None
    time_s, node, name = (fields.pop(key, None) for key in ("time", "node", "event"))
    if not isinstance(time_s, int | float) or not isinstance(name, str):
        return None
    return _LogEvent(time_s, str(node), name, fields)


def _line(event: _LogEvent, begin_s: float) -> StoryLine:
    detail = " ".join(f"{key}={value}" for key, value in event.fields.items())
    return StoryLine(round(event.time_s - begin_s, 3), event.node, event.name, detail)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("id", help="the job's id")
    parser.add_argument("files", nargs="+", metavar="FILE", help="log files; - is standard input")
    parser.add_argument(
        "--only",
        action="store_true",
        help="leave out changes of the owner, the store and the configuration",
    )


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    with ExitStack() as stack:
        files = [_open(name, stack) for name in arguments.files]
        story = tell_story(arguments.id, _chain(files), has_surroundings=not arguments.only)
    context.printer.result(story)
    return ExitCode.OK if story.lines else ExitCode.NOT_FOUND


def _open(name: str, stack: ExitStack) -> TextIO:
    if name == "-":
        return sys.stdin
    try:
        return stack.enter_context(Path(name).open(encoding="utf-8", errors="replace"))
    except OSError as error:
        raise DocumentError(f"{name}: {error.strerror}") from error


def _chain(files: list[TextIO]) -> Iterator[str]:
    for file in files:
        yield from file


register_command(
    Command(
        "story",
        "Tell what log files of several processes say of one job, in order.",
        _add_arguments,
        _run,
        needs_settings=False,
    )
)
