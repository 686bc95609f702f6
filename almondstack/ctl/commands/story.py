"""``almondctl story``: what several processes logged of one job, in its order."""

import argparse
from collections.abc import Iterable, Iterator

import msgspec

from almondstack.ctl.exits import ExitCode
from almondstack.ctl.log_events import LogEvent, LogReader, read_files
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
    reader = LogReader()
    events = list(reader.read(lines))
    told = [event for event in events if event.job == id]
    own_s = [event.time_s for event in told]
    if not own_s:
        return Story(id, [], reader.unread)
    if has_surroundings:
        told.extend(_surroundings(id, events, min(own_s) - _MARGIN_S, max(own_s)))
    told.sort(key=lambda event: event.time_s)
    return Story(id, [_line(event, min(own_s)) for event in told], reader.unread)


def _surroundings(
    id: str, events: list[LogEvent], begin_s: float, end_s: float
) -> Iterator[LogEvent]:
    for event in events:
        is_near = begin_s <= event.time_s <= end_s
        if is_near and event.name in _SURROUNDINGS and event.job != id:
            yield event


def _line(event: LogEvent, begin_s: float) -> StoryLine:
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
    lines = read_files(arguments.files)
    story = tell_story(arguments.id, lines, has_surroundings=not arguments.only)
    context.printer.result(story)
    return ExitCode.OK if story.lines else ExitCode.NOT_FOUND


register_command(
    Command(
        "story",
        "Tell what log files of several processes say of one job, in order.",
        _add_arguments,
        _run,
        needs_settings=False,
    )
)
