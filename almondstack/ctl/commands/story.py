"""``almondctl story``: what several processes logged of one job, in its order."""

import argparse
from collections.abc import Iterable, Iterator

import msgspec

from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.log_events import LogEvent, LogReader, read_files
from almondstack.ctl.registry import Command, CommandContext, register_command

__all__ = ["JobHistory", "HistoryLine", "job_history"]

_CONTEXT_EVENTS = frozenset(
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

_CONTEXT_MARGIN_S = 1.0
"""Surroundings from so long before the job's first line belong to its history, in seconds."""


class HistoryLine(msgspec.Struct, frozen=True):
    """One line: seconds since the first line of the job, where, what, and the rest of it."""

    seconds: float
    node: str
    event: str
    detail: str


class JobHistory(msgspec.Struct, frozen=True):
    """What ``story`` prints; ``unread`` counts lines that are no log lines."""

    id: str
    lines: list[HistoryLine]
    unread: int


def job_history(id: str, lines: Iterable[str], *, has_context: bool = True) -> JobHistory:
    """Return the history of a job from the log lines of any number of processes.

    Parameters
    ----------
    id : str
        The job's id.
    lines : iterable of str
        Log lines in any order; what stands before the JSON object of a line is passed over.
    has_context : bool
        Whether changes of the owner, the store and the configuration at that time are selected too.

    Examples
    --------
    >>> history = job_history("j1", [
    ...     '{"time":2.5,"node":"b","event":"run-ordered","task":"j1.0.0.0","run":1}',
    ...     '{"time":2.0,"node":"a","event":"job-submitted","job":"j1","verdict":"done"}',
    ... ])
    >>> [(line.seconds, line.node, line.event) for line in history.lines]
    [(0.0, 'a', 'job-submitted'), (0.5, 'b', 'run-ordered')]
    """
    reader = LogReader()
    events = list(reader.read(lines))
    selected = [event for event in events if event.job == id]
    job_times_s = [event.time_s for event in selected]
    if not job_times_s:
        return JobHistory(id, [], reader.unread)
    if has_context:
        selected.extend(
            _context_events(id, events, min(job_times_s) - _CONTEXT_MARGIN_S, max(job_times_s))
        )
    selected.sort(key=lambda event: event.time_s)
    return JobHistory(id, [_line(event, min(job_times_s)) for event in selected], reader.unread)


def _context_events(
    id: str, events: list[LogEvent], begin_s: float, end_s: float
) -> Iterator[LogEvent]:
    for event in events:
        is_near = begin_s <= event.time_s <= end_s
        if is_near and event.name in _CONTEXT_EVENTS and event.job != id:
            yield event


def _line(event: LogEvent, begin_s: float) -> HistoryLine:
    detail = " ".join(f"{key}={value}" for key, value in event.fields.items())
    return HistoryLine(round(event.time_s - begin_s, 3), event.node, event.name, detail)


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
    history = job_history(arguments.id, lines, has_context=not arguments.only)
    context.printer.result(history)
    return ExitCode.OK if history.lines else ExitCode.NOT_FOUND


register_command(
    Command(
        "story",
        "Tell what log files of several processes say of one job, in order.",
        _add_arguments,
        _run,
        needs_settings=False,
    )
)
