"""Formats the results of a load run as a text table."""

from collections import Counter
from collections.abc import Sequence

from almondstack.bench.outcome_check import CallerEnd, CallerRecord, RecordedRun, runs_of
from almondstack.model import ReleaseNote
from almondstack.standin.journal import Event

__all__ = ["peak_running", "team_table"]

_HEADER = ("team", "share", "running", "ceiling", "answered", "not answered, by reason")


def team_table(
    note: ReleaseNote, records: Sequence[CallerRecord], journals: dict[str, list[Event]]
) -> str:
    """Return a table with one line per team; ``running`` is its peak of concurrent runs."""
    runs = [run for name, events in journals.items() for run in runs_of(name, events)]
    rows: list[tuple[str, ...]] = [_HEADER]
    for team in note.added.teams:
        own = [record for record in records if record.team == team.name]
        answered = sum(record.end is CallerEnd.ANSWERED for record in own)
        running = peak_running([run for run in runs if run.team == team.name])
        numbers = (team.share, running, team.ceiling, answered)
        rows.append((team.name, *map(str, numbers), _reasons(own)))
    widths = [max(len(row[column]) for row in rows) for column in range(len(_HEADER))]
    return "\n".join(_line(row, widths) for row in rows)


def peak_running(runs: Sequence[RecordedRun]) -> int:
    """Return the peak of concurrent runs."""
    changes = [(run.started_s, 1) for run in runs] + [(run.ended_s, -1) for run in runs]
    level = peak = 0
    for _, change in sorted(changes):
        level += change
        peak = max(peak, level)
    return peak


def _reasons(records: Sequence[CallerRecord]) -> str:
    counts = Counter(
        record.reason or record.end.value
        for record in records
        if record.end is not CallerEnd.ANSWERED
    )
    return " ".join(f"{reason}={count}" for reason, count in counts.most_common()) or "-"


def _line(row: Sequence[str], widths: Sequence[int]) -> str:
    cells = [row[0].ljust(widths[0])]
    cells.extend(cell.rjust(width) for cell, width in zip(row[1:5], widths[1:5], strict=True))
    return "  ".join([*cells, row[5]])
