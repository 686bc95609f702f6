"""How far each team is from its weighted max-min share, second by second.

Explanation
-----------
A team's demand in a second is what it had waiting or running, on average; what
it got is what ran for it, on average.  The fair part is found by progressive
filling (Bertsekas and Gallager 1992, section 6.5.2) over one pool's slots.
Only seconds count in which the whole demand exceeded the pool.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from almondstack.bench.outcome_check import CallerRecord, RecordedRun
from almondstack.model import ReleaseNote

__all__ = ["ShareSecond", "max_min", "mean_level", "share_seconds"]

Interval = tuple[float, float]


class ShareSecond(msgspec.Struct, frozen=True):
    """One team in one second of shortage in one pool.

    Parameters
    ----------
    second : int
        Counted from the first intended time.
    pool, team : str
        Where and who.
    fair, got : float
        Running requests by weighted max-min, and as they were.
    """

    second: int
    pool: str
    team: str
    fair: float
    got: float

    @property
    def distance(self) -> float:
        """Distance from the fair part, as a fraction of it."""
        return abs(self.got - self.fair) / self.fair if self.fair else 0.0


def max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min parts of ``capacity``.

    Examples
    --------
    >>> from almondstack.bench.fairness import max_min
    >>> max_min(12, {"a": 2, "b": 20, "c": 20}, {"a": 1, "b": 1, "c": 1})
    {'a': 2, 'b': 5.0, 'c': 5.0}
    """
    parts: dict[str, float] = {}
    left = capacity
    open_teams = {team for team, demand in demands.items() if demand > 0}
    while open_teams:
        total = sum(weights[team] for team in open_teams)
        level = left / total
        full = {team for team in open_teams if demands[team] <= weights[team] * level}
        if not full:
            parts.update({team: weights[team] * level for team in open_teams})
            break
        parts.update({team: demands[team] for team in full})
        left -= sum(demands[team] for team in full)
        open_teams -= full
    return dict(sorted(parts.items()))


def mean_level(intervals: Iterable[Interval], start_s: float, end_s: float) -> float:
    """Return how many intervals were open on average between two times.

    Examples
    --------
    >>> from almondstack.bench.fairness import mean_level
    >>> mean_level([(0.0, 0.5), (0.0, 9.0)], 0.0, 1.0)
    1.5
    """
    return sum(max(0.0, min(end, end_s) - max(start, start_s)) for start, end in intervals) / (
        end_s - start_s
    )


def share_seconds(
    note: ReleaseNote, records: Sequence[CallerRecord], runs: Sequence[RecordedRun]
) -> list[ShareSecond]:
    """Return every team's part in every second in which its pool was short."""
    pools = {queue.name: queue.pool for queue in note.added.queues}
    origin_s = min((record.intended_s for record in records), default=0.0)
    end_s = max((record.ended_s for record in records), default=0.0)
    wanted = _wanted(records, runs, pools)
    ran = _ran(records, runs, pools)
    found: list[ShareSecond] = []
    for pool in {pools[record.queue] for record in records}:
        capacity = float(sum(item.slots for item in note.added.instances if item.pool == pool))
        for second in range(math.ceil(end_s - origin_s)):
            window = (origin_s + second, origin_s + second + 1)
            found.extend(
                _parts(note, pool, second, capacity, _levels(wanted[pool], window), ran, window)
            )
    return found


def _parts(
    note: ReleaseNote,
    pool: str,
    second: int,
    capacity: float,
    demands: dict[str, float],
    ran: dict[str, dict[str, list[Interval]]],
    window: Interval,
) -> list[ShareSecond]:
    ceilings = {team.name: team.ceiling for team in note.added.teams}
    bounded = {team: min(demand, ceilings[team]) for team, demand in demands.items()}
    if sum(bounded.values()) <= capacity:
        return []
    weights = {team.name: float(team.share) for team in note.added.teams}
    fair = max_min(capacity, bounded, weights)
    got = _levels(ran[pool], window)
    return [
        ShareSecond(second, pool, team, part, got.get(team, 0.0)) for team, part in fair.items()
    ]


def _levels(by_team: dict[str, list[Interval]], window: Interval) -> dict[str, float]:
    return {team: mean_level(intervals, *window) for team, intervals in by_team.items()}


def _wanted(
    records: Sequence[CallerRecord], runs: Sequence[RecordedRun], pools: dict[str, str]
) -> dict[str, dict[str, list[Interval]]]:
    """Return from when to when each request wanted to run: until its last run's end."""
    ends = {run.work_id: run.ended_s for run in runs}
    wanted: dict[str, dict[str, list[Interval]]] = defaultdict(lambda: defaultdict(list))
    for record in records:
        end_s = min(ends.get(record.work_id, record.ended_s), record.ended_s)
        wanted[pools[record.queue]][record.team].append((record.intended_s, end_s))
    return wanted


def _ran(
    records: Sequence[CallerRecord], runs: Sequence[RecordedRun], pools: dict[str, str]
) -> dict[str, dict[str, list[Interval]]]:
    pool_of = {record.work_id: pools[record.queue] for record in records}
    ran: dict[str, dict[str, list[Interval]]] = defaultdict(lambda: defaultdict(list))
    for run in runs:
        ran[pool_of[run.work_id]][run.team].append((run.started_s, run.ended_s))
    return ran
