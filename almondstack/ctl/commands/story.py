"""``almondctl story``: lists the log events of one job from several processes in time order."""

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
"""Events that name no job but often explain a delay or failure of jobs at the same time."""

_CONTEXT_MARGIN_S = 1.0
"""Context events are included from this many seconds before the job's first event."""


class HistoryLine(msgspec.Struct, frozen=True):
    """One event: seconds since the job's first event, process, event name and other fields."""

    seconds: float
    node: str
    event: str
    detail: str


class JobHistory(msgspec.Struct, frozen=True):
    """Result of ``story``; ``unread`` counts lines that are not log lines."""

    id: str
    lines: list[HistoryLine]
    unread: int


def job_history(id: str, lines: Iterable[str], *, has_context: bool = True) -> JobHistory:
    """Return the events of a job from the log lines of any number of processes.

    Parameters
    ----------
    id : str
        The job's id.
    lines : iterable of str
        Log lines in any order; text before the JSON object of a line is ignored.
    has_context : bool
        True to include events about the owner, the store and the configuration during
        the job.

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
        help="omit events about the owner, the store and the configuration",
    )


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    lines = read_files(arguments.files)
    history = job_history(arguments.id, lines, has_context=not arguments.only)
    context.printer.result(history)
    return ExitCode.OK if history.lines else ExitCode.NOT_FOUND


register_command(
    Command(
        "story",
        "Show the events of one job from the log files of several processes, in time order.",
        _add_arguments,
        _run,
        needs_settings=False,
    )
)
