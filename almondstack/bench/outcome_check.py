"""Checks the outcomes that callers received against the journals of the stand-ins.

Explanation
-----------
The check uses no data from entries.  Runs come from the journals of the
upstream stand-ins, outcomes from the callers.  Both carry times of the
machine's monotonic clock.  A run without a recorded end counts as running
until its stand-in was killed, or without end if it was not killed.  Planned
stops of instances are checked by the platform stand-in; its violations are
only counted here.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum

import msgspec

from almondstack.standin.journal import (
    ConnectionClosed,
    ConnectionOpened,
    Event,
    ProcessEnded,
    RunEnded,
    RunStarted,
)
from almondstack.standin.platform_recount import Violation

__all__ = [
    "CallerEnd",
    "CallerRecord",
    "OutcomeRules",
    "RecordedRun",
    "OutcomeCounts",
    "events_since",
    "check_outcomes",
    "runs_of",
]


class CallerEnd(StrEnum):
    """Outcome of a request as its caller received it.

    Explanation
    -----------
    ``BROKEN``: the connection ended abnormally, so the outcome is unknown to
    the caller.  ``NONE``: no response arrived within the deadline and a grace
    period, or the response carried no valid outcome.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    NONE = "none"


class CallerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one request at its caller.

    Parameters
    ----------
    work_id, team : str
        As sent in ``Standin-*`` headers.
    end : CallerEnd
        Outcome that the caller received.
    status : int
        HTTP status; 0 if none arrived.
    reason : str
        Value of ``Almondstack-Reason``.
    is_right : bool
        False if the request was answered but the answer is incomplete or belongs to
        another request.
    intended_s, ended_s : float
        Intended time of sending and time of the end, in monotonic seconds.
    queue : str
        Queue to which the request was submitted.
    """

    work_id: str
    team: str
    end: CallerEnd
    status: int = 0
    reason: str = ""
    is_right: bool = True
    intended_s: float = 0.0
    ended_s: float = 0.0
    queue: str = ""


class OutcomeRules(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that runs and connections are checked against.

    Parameters
    ----------
    ceilings : dict of str to int
        Ceiling of each team, in concurrent runs.
    revoked_s : dict of str to float
        Time of revocation by key id, in monotonic seconds.
    revocation_bound_s : float
        Time for which a revoked key may still start runs, in seconds.
    slots, connections : int
        Maximum concurrent runs and open connections of each upstream.
    """

    ceilings: dict[str, int] = {}
    revoked_s: dict[str, float] = {}
    revocation_bound_s: float = 3.0
    slots: int = 8
    connections: int = 64


class RecordedRun(msgspec.Struct, frozen=True):
    """One run of a request on an upstream, with its start and end."""

    upstream: str
    work_id: str
    team: str
    key_id: str
    is_idempotent: bool
    started_s: float
    ended_s: float


class OutcomeCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of outcomes and, from ``slots_exceeded`` on, of violations, which must be zero.

    Parameters
    ----------
    requests, answered, not_run, unknown : int
        Requests by outcome; a broken connection counts as unknown.
    slots_exceeded, connections_exceeded : int
        Starts and connections above the limit of their upstream.
    pool_below_budget : int
        Planned stops that left a pool below its availability budget.
    hard_stops : int
        Planned stops of instances that were not drained or still ran work.
    lost : int
        Requests whose caller received no outcome.
    doubled : int
        Starts of non-idempotent work beyond the first.
    above_ceiling : int
        Starts above the ceiling of their team over all upstreams.
    false_not_run : int
        Requests with the outcome "not run" whose work ran.
    wrong_answer : int
        Answers that are incomplete or belong to another request, and answers with
        status 200 whose work never ran.
    revoked_accepted : int
        Starts under a revoked key more than ``revocation_bound_s`` after its revocation.
    """

    requests: int
    answered: int
    not_run: int
    unknown: int
    slots_exceeded: int
    connections_exceeded: int
    pool_below_budget: int
    hard_stops: int
    lost: int
    doubled: int
    above_ceiling: int
    false_not_run: int
    wrong_answer: int
    revoked_accepted: int

    @property
    def violations(self) -> dict[str, int]:
        """Non-zero counts of violations by name."""
        must_be_zero = self.__struct_fields__[4:]
        counts = {name: getattr(self, name) for name in must_be_zero}
        return {name: count for name, count in counts.items() if count}

    @property
    def is_clean(self) -> bool:
        """True if there are no violations."""
        return not self.violations


def check_outcomes(
    callers: Sequence[CallerRecord],
    journals: Mapping[str, Sequence[Event]],
    rules: OutcomeRules,
    platform_violations: Sequence[Violation] = (),
) -> OutcomeCounts:
    """Return the counts of outcomes and violations of one experiment.

    Parameters
    ----------
    callers : sequence of CallerRecord
        One record per request.
    journals : mapping of str to sequence of Event
        Events of each upstream stand-in by its name.
    rules : OutcomeRules
        Limits to check against.
    platform_violations : sequence of Violation
        Acts that broke a rule, as recorded by the platform stand-in.
    """
    acts_by_rule = Counter(violation.rule for violation in platform_violations)
    runs = [run for name, events in journals.items() for run in runs_of(name, events)]
    ends = Counter(record.end for record in callers)
    starts = Counter(run.work_id for run in runs)
    return OutcomeCounts(
        requests=len(callers),
        answered=ends[CallerEnd.ANSWERED],
        not_run=ends[CallerEnd.NOT_RUN],
        unknown=ends[CallerEnd.UNKNOWN] + ends[CallerEnd.BROKEN],
        slots_exceeded=sum(
            _count_starts_above(rules.slots, own) for own in _grouped_by(runs, "upstream").values()
        ),
        connections_exceeded=sum(
            _count_connections_above(rules.connections, events) for events in journals.values()
        ),
        pool_below_budget=acts_by_rule["budget"],
        hard_stops=acts_by_rule["not-drained"] + acts_by_rule["not-empty"],
        lost=ends[CallerEnd.NONE],
        doubled=_count_repeated_starts(runs),
        above_ceiling=sum(
            _count_starts_above(rules.ceilings[team], own)
            for team, own in _grouped_by(runs, "team").items()
            if team in rules.ceilings
        ),
        false_not_run=sum(
            record.end is CallerEnd.NOT_RUN and starts[record.work_id] > 0 for record in callers
        ),
        wrong_answer=sum(_is_wrong_answer(record, starts) for record in callers),
        revoked_accepted=sum(_is_after_revocation(run, rules) for run in runs),
    )


def runs_of(upstream: str, events: Iterable[Event]) -> list[RecordedRun]:
    """Return the runs in the journal of one upstream, oldest first."""
    open_runs: dict[int, RunStarted] = {}
    ended_runs: list[RecordedRun] = []
    for event in events:
        if isinstance(event, RunStarted):
            open_runs[event.run] = event
        elif isinstance(event, RunEnded) and event.run in open_runs:
            ended_runs.append(_recorded_run(upstream, open_runs.pop(event.run), event.at_s))
        elif isinstance(event, ProcessEnded):
            ended_runs.extend(
                _recorded_run(upstream, start, event.at_s) for start in open_runs.values()
            )
            open_runs.clear()
    ended_runs.extend(_recorded_run(upstream, start, math.inf) for start in open_runs.values())
    return sorted(ended_runs, key=lambda run: run.started_s)


def events_since(events: Iterable[Event], since_s: float) -> list[Event]:
    """Return ``events`` without the starts and ends of runs that started before ``since_s``."""
    early: set[int] = set()
    kept: list[Event] = []
    for event in events:
        if isinstance(event, RunStarted) and event.at_s < since_s:
            early.add(event.run)
        elif isinstance(event, RunStarted):
            early.discard(event.run)
            kept.append(event)
        elif not (isinstance(event, RunEnded) and event.run in early):
            kept.append(event)
    return kept


def _recorded_run(upstream: str, start: RunStarted, ended_s: float) -> RecordedRun:
    return RecordedRun(
        upstream,
        start.work_id,
        start.team,
        start.key_id,
        start.is_idempotent,
        start.at_s,
        ended_s,
    )


def _grouped_by(runs: list[RecordedRun], field: str) -> dict[str, list[RecordedRun]]:
    groups: dict[str, list[RecordedRun]] = defaultdict(list)
    for run in runs:
        groups[getattr(run, field)].append(run)
    return groups


def _count_starts_above(bound: int, runs: list[RecordedRun]) -> int:
    """Count the starts that raise the concurrent runs above ``bound``.

    An end at the same time as a start is counted first.
    """
    steps = [(run.started_s, 1) for run in runs] + [(run.ended_s, -1) for run in runs]
    level = 0
    above = 0
    for _, change in sorted(steps):
        level += change
        above += change > 0 and level > bound
    return above


def _count_connections_above(bound: int, events: Sequence[Event]) -> int:
    level = 0
    above = 0
    for event in events:
        if isinstance(event, ConnectionOpened):
            level += 1
            above += level > bound
        elif isinstance(event, ConnectionClosed):
            level -= 1
        elif isinstance(event, ProcessEnded):
            level = 0
    return above


def _count_repeated_starts(runs: list[RecordedRun]) -> int:
    starts = Counter(run.work_id for run in runs if not run.is_idempotent)
    return sum(count - 1 for count in starts.values())


def _is_wrong_answer(record: CallerRecord, starts: Counter[str]) -> bool:
    if record.end is not CallerEnd.ANSWERED:
        return False
    has_run = starts[record.work_id] > 0
    return not record.is_right or (record.status == 200 and not has_run)


def _is_after_revocation(run: RecordedRun, rules: OutcomeRules) -> bool:
    revoked_s = rules.revoked_s.get(run.key_id, math.inf)
    return run.started_s > revoked_s + rules.revocation_bound_s
