"""The judge: compares what stand-ins saw with what callers were told.

Explanation
-----------
Nothing here comes from an entry.  Runs are what upstream stand-ins wrote into
their journals, ends are what callers received.  Both carry times on the
machine's monotonic clock.  A run whose end was never written lasts until its
stand-in was killed, or for ever.
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
    """How a request ended for its caller.

    Explanation
    -----------
    ``BROKEN`` is a connection that ended abnormally, which tells the caller
    that the outcome is unknown.  ``NONE`` is a caller that was still waiting
    after its deadline and a grace, or got an answer without an outcome.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    NONE = "none"


class CallerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One request as its caller saw it.

    Parameters
    ----------
    work_id, team : str
        As sent in ``Standin-*`` headers.
    end : CallerEnd
        What the caller was told.
    status : int
        HTTP status, 0 if none arrived.
    reason : str
        Value of ``Almondstack-Reason``.
    is_right : bool
        For an answer: it is whole and is the answer to this request.
    intended_s, ended_s : float
        Monotonic seconds of the intended send and of the end.
    queue : str
        Where it was submitted.
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
    """What must hold.

    Parameters
    ----------
    ceilings : dict of str to int
        Ceiling of each team.
    revoked_s : dict of str to float
        When each revoked key was revoked, in monotonic seconds.
    revocation_bound_s : float
        How long a revoked key may still start runs, in seconds.
    slots, connections : int
        Bounds of each upstream.
    """

    ceilings: dict[str, int] = {}
    revoked_s: dict[str, float] = {}
    revocation_bound_s: float = 3.0
    slots: int = 8
    connections: int = 64


class RecordedRun(msgspec.Struct, frozen=True):
    """One run with its end."""

    upstream: str
    work_id: str
    team: str
    key_id: str
    is_idempotent: bool
    started_s: float
    ended_s: float


class OutcomeCounts(msgspec.Struct, frozen=True, kw_only=True):
    """Counts; all but the first four must be zero.

    Parameters
    ----------
    requests, answered, not_run, unknown : int
        What callers were told; a broken connection counts as unknown.
    slots_exceeded, connections_exceeded : int
        Starts and connections beyond the bound of their upstream.
    pool_below_budget : int
        Planned stops that left a pool below its availability budget.
    hard_stops : int
        Planned stops of instances that were not drained or still ran work.
    lost : int
        Callers without any truthful end.
    doubled : int
        Starts of non-idempotent work beyond the first.
    above_ceiling : int
        Starts beyond the ceiling of their team over all upstreams.
    false_not_run : int
        Callers told "not run" whose work ran.
    wrong_answer : int
        Answers that are broken, another request's, or of no run.
    revoked_accepted : int
        Starts for a key that was revoked longer ago than the bound.
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
        """Counts that must be zero and are not, by name."""
        must_be_zero = self.__struct_fields__[4:]
        counts = {name: getattr(self, name) for name in must_be_zero}
        return {name: count for name, count in counts.items() if count}

    @property
    def is_clean(self) -> bool:
        """True if nothing was violated."""
        return not self.violations


def check_outcomes(
    callers: Sequence[CallerRecord],
    journals: Mapping[str, Sequence[Event]],
    rules: OutcomeRules,
    platform_violations: Sequence[Violation] = (),
) -> OutcomeCounts:
    """Return the counts for one experiment.

    Parameters
    ----------
    callers : sequence of CallerRecord
        One record for each request that a caller made.
    journals : mapping of str to sequence of Event
        Events of each stand-in by its name.
    rules : OutcomeRules
        What must hold.
    platform_violations : sequence of Violation
        Acts that the platform stand-in took and that broke a rule.
    """
    rules_broken = Counter(violation.rule for violation in platform_violations)
    runs = [run for name, events in journals.items() for run in runs_of(name, events)]
    ends = Counter(record.end for record in callers)
    starts = Counter(run.work_id for run in runs)
    return OutcomeCounts(
        requests=len(callers),
        answered=ends[CallerEnd.ANSWERED],
        not_run=ends[CallerEnd.NOT_RUN],
        unknown=ends[CallerEnd.UNKNOWN] + ends[CallerEnd.BROKEN],
        slots_exceeded=sum(
            _starts_beyond(rules.slots, own) for own in _grouped(runs, "upstream").values()
        ),
        connections_exceeded=sum(
            _connections_beyond(rules.connections, events) for events in journals.values()
        ),
        pool_below_budget=rules_broken["budget"],
        hard_stops=rules_broken["not-drained"] + rules_broken["not-empty"],
        lost=ends[CallerEnd.NONE],
        doubled=_doubled(runs),
        above_ceiling=sum(
            _starts_beyond(rules.ceilings[team], own)
            for team, own in _grouped(runs, "team").items()
            if team in rules.ceilings
        ),
        false_not_run=sum(
            record.end is CallerEnd.NOT_RUN and starts[record.work_id] > 0 for record in callers
        ),
        wrong_answer=sum(_is_wrong(record, starts) for record in callers),
        revoked_accepted=sum(_is_after_revocation(run, rules) for run in runs),
    )


def runs_of(upstream: str, events: Iterable[Event]) -> list[RecordedRun]:
    """Return the runs in the journal of one upstream, oldest first."""
    open_runs: dict[int, RunStarted] = {}
    closed: list[RecordedRun] = []
    for event in events:
        if isinstance(event, RunStarted):
            open_runs[event.run] = event
        elif isinstance(event, RunEnded) and event.run in open_runs:
            closed.append(_closed(upstream, open_runs.pop(event.run), event.at_s))
        elif isinstance(event, ProcessEnded):
            closed.extend(_closed(upstream, start, event.at_s) for start in open_runs.values())
            open_runs.clear()
    closed.extend(_closed(upstream, start, math.inf) for start in open_runs.values())
    return sorted(closed, key=lambda run: run.started_s)


def events_since(events: Iterable[Event], since_s: float) -> list[Event]:
    """Return the events without the runs that started before ``since_s``."""
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


def _closed(upstream: str, start: RunStarted, ended_s: float) -> RecordedRun:
    return RecordedRun(
        upstream,
        start.work_id,
        start.team,
        start.key_id,
        start.is_idempotent,
        start.at_s,
        ended_s,
    )


def _grouped(runs: list[RecordedRun], field: str) -> dict[str, list[RecordedRun]]:
    groups: dict[str, list[RecordedRun]] = defaultdict(list)
    for run in runs:
        groups[getattr(run, field)].append(run)
    return groups


def _starts_beyond(bound: int, runs: list[RecordedRun]) -> int:
    """Count the starts at which more than ``bound`` were running; an end goes first."""
    steps = [(run.started_s, 1) for run in runs] + [(run.ended_s, -1) for run in runs]
    level = 0
    beyond = 0
    for _, change in sorted(steps):
        level += change
        beyond += change > 0 and level > bound
    return beyond


def _connections_beyond(bound: int, events: Sequence[Event]) -> int:
    level = 0
    beyond = 0
    for event in events:
        if isinstance(event, ConnectionOpened):
            level += 1
            beyond += level > bound
        elif isinstance(event, ConnectionClosed):
            level -= 1
        elif isinstance(event, ProcessEnded):
            level = 0
    return beyond


def _doubled(runs: list[RecordedRun]) -> int:
    starts = Counter(run.work_id for run in runs if not run.is_idempotent)
    return sum(count - 1 for count in starts.values())


def _is_wrong(record: CallerRecord, starts: Counter[str]) -> bool:
    if record.end is not CallerEnd.ANSWERED:
        return False
    has_run = starts[record.work_id] > 0
    return not record.is_right or (record.status == 200 and not has_run)


def _is_after_revocation(run: RecordedRun, rules: OutcomeRules) -> bool:
    revoked_s = rules.revoked_s.get(run.key_id, math.inf)
    return run.started_s > revoked_s + rules.revocation_bound_s
