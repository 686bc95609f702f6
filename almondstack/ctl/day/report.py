"""Builds the tables of jobs by cause and group, and of paid instance time, of a day."""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from almondstack.capacity import PaidUse
from almondstack.ctl.day.jobs import DayJob, DayJobs, Outcome
from almondstack.ctl.day.timeline import Timeline
from almondstack.ctl.log_events import LogReader

__all__ = ["CauseLine", "DayReport", "GroupLine", "PaidLine", "make_day_report"]

_TOTAL = "all"


class GroupLine(msgspec.Struct, frozen=True):
    """Number of jobs of a queue, account or zone by outcome, without lasting jobs."""

    name: str
    jobs: int
    in_time: int
    late: int
    refused: int
    failed: int
    open: int
    cancelled: int
    worst_cause: str


class CauseLine(msgspec.Struct, frozen=True):
    """Number of jobs by outcome for one cause, and the sum of their lateness in seconds."""

    cause: str
    late: int
    refused: int
    failed: int
    open: int
    late_s: float


class PaidLine(msgspec.Struct, frozen=True):
    """Paid instance-seconds of a pool, by use."""

    pool: str
    lasting: float
    running: float
    spare: float
    excess: float
    coming: float
    leaving: float
    maintained: float
    unusable: float
    total: float


class DayReport(msgspec.Struct, frozen=True):
    """Result of ``day``; ``unread`` counts lines that are not log lines."""

    seconds: float
    jobs: int
    lasting: int
    causes: list[CauseLine]
    queues: list[GroupLine]
    accounts: list[GroupLine]
    zones: list[GroupLine]
    paid: list[PaidLine]
    unread: int


def make_day_report(lines: Iterable[str]) -> tuple[DayReport, DayJobs, Timeline]:
    """Return the tables of a day, and the jobs and time series they are computed from.

    Parameters
    ----------
    lines : iterable of str
        Log lines of any number of processes, in any order.

    Examples
    --------
    >>> report, _, _ = make_day_report([
    ...     '{"time":2.0,"node":"a","event":"job-submitted","job":"j1","verdict":"done"}',
    ...     '{"time":9.0,"node":"b","event":"job-ended","job":"j1","state":"completed",'
    ...     '"objective_s":3.0,"delays_s":{"pool-full":4.5}}',
    ... ])
    >>> [(line.cause, line.late, line.late_s) for line in report.causes]
    [('pool-full', 1, 4.0)]
    """
    reader = LogReader()
    events = sorted(reader.read(lines), key=lambda event: event.time_s)
    jobs, timeline = DayJobs(), Timeline()
    for event in events:
        jobs.add_event(event)
        timeline.add_event(event)
    timed = [job for job in jobs.jobs.values() if job.outcome is not Outcome.LASTING]
    report = DayReport(
        seconds=round(events[-1].time_s - events[0].time_s, 1) if events else 0.0,
        jobs=len(timed),
        lasting=len(jobs.jobs) - len(timed),
        causes=_causes(timed),
        queues=_groups(timed, lambda job: job.queue),
        accounts=_groups(timed, lambda job: job.account),
        zones=_groups(timed, lambda job: job.zone),
        paid=_paid(timeline),
        unread=reader.unread,
    )
    return report, jobs, timeline


def _causes(jobs: list[DayJob]) -> list[CauseLine]:
    by_cause: dict[str, list[DayJob]] = {}
    for job in jobs:
        if job.cause:
            by_cause.setdefault(job.cause, []).append(job)
    lines = [_cause(cause, delayed) for cause, delayed in by_cause.items()]
    return sorted(lines, key=lambda line: -(line.late + line.refused + line.failed + line.open))


def _cause(cause: str, jobs: list[DayJob]) -> CauseLine:
    outcomes = Counter(job.outcome for job in jobs)
    return CauseLine(
        cause=cause,
        late=outcomes[Outcome.LATE],
        refused=outcomes[Outcome.REFUSED],
        failed=outcomes[Outcome.FAILED],
        open=outcomes[Outcome.OPEN],
        late_s=round(sum(job.late_s for job in jobs), 1),
    )


def _groups(jobs: list[DayJob], name_of: Callable[[DayJob], str]) -> list[GroupLine]:
    groups: dict[str, list[DayJob]] = {}
    for job in jobs:
        groups.setdefault(name_of(job), []).append(job)
    return [_group(name, groups[name]) for name in sorted(groups)]


def _group(name: str, jobs: list[DayJob]) -> GroupLine:
    outcomes = Counter(job.outcome for job in jobs)
    causes = Counter(job.cause for job in jobs if job.cause)
    return GroupLine(
        name=name,
        jobs=len(jobs),
        in_time=outcomes[Outcome.IN_TIME],
        late=outcomes[Outcome.LATE],
        refused=outcomes[Outcome.REFUSED],
        failed=outcomes[Outcome.FAILED],
        open=outcomes[Outcome.OPEN],
        cancelled=outcomes[Outcome.CANCELLED],
        worst_cause=causes.most_common(1)[0][0] if causes else "",
    )


def _paid(timeline: Timeline) -> list[PaidLine]:
    lines = [_paid_line(pool, timeline.paid_s[pool]) for pool in sorted(timeline.paid_s)]
    total: dict[PaidUse, float] = {}
    for uses in timeline.paid_s.values():
        for use, seconds in uses.items():
            total[use] = total.get(use, 0.0) + seconds
    return [*lines, _paid_line(_TOTAL, total)] if lines else []


def _paid_line(pool: str, uses: dict[PaidUse, float]) -> PaidLine:
    seconds = {use.value: round(uses.get(use, 0.0), 1) for use in PaidUse}
    return PaidLine(pool=pool, total=round(sum(uses.values()), 1), **seconds)
