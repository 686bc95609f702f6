"""Distance of each team from its weighted max-min share in a measured run, per second.

Explanation
-----------
The demand of a team in a second is the mean number of its waiting and running
requests, at most its ceiling; what it got is the mean number of its running
requests.  The fair share is computed by progressive filling (Bertsekas and
Gallager 1992, section 6.5.2) over the slots of one pool.  Only seconds in which
the total demand exceeded the slots of the pool are counted.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from almondstack.bench.outcome_check import CallerRecord, RecordedRun
from almondstack.model import ReleaseNote

__all__ = ["ShareSecond", "max_min", "mean_concurrency", "share_seconds"]

Interval = tuple[float, float]


class ShareSecond(msgspec.Struct, frozen=True):
    """Fair and actual share of one team in a pool in one second of shortage.

    Parameters
    ----------
    second : int
        Seconds since the first intended send time.
    pool, team : str
        Names of the pool and the team.
    fair, got : float
        Mean number of running requests: weighted max-min share, and actual.
    """

    second: int
    pool: str
    team: str
    fair: float
    got: float

    @property
    def distance(self) -> float:
        """Distance of ``got`` from ``fair``, as a fraction of ``fair``."""
        return abs(self.got - self.fair) / self.fair if self.fair else 0.0


def max_min(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min allocation of ``capacity`` by team.

    Examples
    --------
    >>> from almondstack.bench.fairness import max_min
    >>> max_min(12, {"a": 2, "b": 20, "c": 20}, {"a": 1, "b": 1, "c": 1})
    {'a': 2, 'b': 5.0, 'c': 5.0}
    """
    parts: dict[str, float] = {}
    remaining = capacity
    unsatisfied = {team for team, demand in demands.items() if demand > 0}
    while unsatisfied:
        total = sum(weights[team] for team in unsatisfied)
        level = remaining / total
        satisfied = {team for team in unsatisfied if demands[team] <= weights[team] * level}
        if not satisfied:
            parts.update({team: weights[team] * level for team in unsatisfied})
            break
        parts.update({team: demands[team] for team in satisfied})
        remaining -= sum(demands[team] for team in satisfied)
        unsatisfied -= satisfied
    return dict(sorted(parts.items()))


def mean_concurrency(intervals: Iterable[Interval], start_s: float, end_s: float) -> float:
    """Return the time-averaged number of open intervals between two times.

    Examples
    --------
    >>> from almondstack.bench.fairness import mean_concurrency
    >>> mean_concurrency([(0.0, 0.5), (0.0, 9.0)], 0.0, 1.0)
    1.5
    """
    return sum(max(0.0, min(end, end_s) - max(start, start_s)) for start, end in intervals) / (
        end_s - start_s
    )


def share_seconds(
    note: ReleaseNote, records: Sequence[CallerRecord], runs: Sequence[RecordedRun]
) -> list[ShareSecond]:
    """Return the share of every team in every second in which demand exceeded its pool."""
    pools = {queue.name: queue.pool for queue in note.added.queues}
    start_s = min((record.intended_s for record in records), default=0.0)
    end_s = max((record.ended_s for record in records), default=0.0)
    demand_by_pool = _demand_intervals(records, runs, pools)
    runs_by_pool = _run_intervals(records, runs, pools)
    results: list[ShareSecond] = []
    for pool in {pools[record.queue] for record in records}:
        capacity = float(sum(item.slots for item in note.added.instances if item.pool == pool))
        for second in range(math.ceil(end_s - start_s)):
            window = (start_s + second, start_s + second + 1)
            results.extend(
                _pool_second(
                    note,
                    pool,
                    second,
                    capacity,
                    _concurrency_by_team(demand_by_pool[pool], window),
                    runs_by_pool,
                    window,
                )
            )
    return results


def _pool_second(
    note: ReleaseNote,
    pool: str,
    second: int,
    capacity: float,
    demands: dict[str, float],
    runs_by_pool: dict[str, dict[str, list[Interval]]],
    window: Interval,
) -> list[ShareSecond]:
    ceilings = {team.name: team.ceiling for team in note.added.teams}
    bounded = {team: min(demand, ceilings[team]) for team, demand in demands.items()}
    if sum(bounded.values()) <= capacity:
        return []
    weights = {team.name: float(team.share) for team in note.added.teams}
    fair = max_min(capacity, bounded, weights)
    got = _concurrency_by_team(runs_by_pool[pool], window)
    return [
        ShareSecond(second, pool, team, part, got.get(team, 0.0)) for team, part in fair.items()
    ]


def _concurrency_by_team(by_team: dict[str, list[Interval]], window: Interval) -> dict[str, float]:
    return {team: mean_concurrency(intervals, *window) for team, intervals in by_team.items()}


def _demand_intervals(
    records: Sequence[CallerRecord], runs: Sequence[RecordedRun], pools: dict[str, str]
) -> dict[str, dict[str, list[Interval]]]:
    """Return the demand interval of each request, by pool and team.

    Explanation
    -----------
    It begins at the intended send time and lasts until the last run of the
    request ended, or until the caller's request ended, if that was earlier.
    """
    ends = {run.work_id: run.ended_s for run in runs}
    demand_by_pool: dict[str, dict[str, list[Interval]]] = defaultdict(lambda: defaultdict(list))
    for record in records:
        end_s = min(ends.get(record.work_id, record.ended_s), record.ended_s)
        demand_by_pool[pools[record.queue]][record.team].append((record.intended_s, end_s))
    return demand_by_pool


def _run_intervals(
    records: Sequence[CallerRecord], runs: Sequence[RecordedRun], pools: dict[str, str]
) -> dict[str, dict[str, list[Interval]]]:
    """Return the intervals of all runs, by pool and team."""
    pool_of = {record.work_id: pools[record.queue] for record in records}
    runs_by_pool: dict[str, dict[str, list[Interval]]] = defaultdict(lambda: defaultdict(list))
    for run in runs:
        runs_by_pool[pool_of[run.work_id]][run.team].append((run.started_s, run.ended_s))
    return runs_by_pool
