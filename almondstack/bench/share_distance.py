"""How far teams are from their weighted max-min share, second by second."""

import msgspec

from almondstack.bench.pool_simulation import Load, SimulationResult
from almondstack.queueing import max_min_shares

__all__ = ["ShareReport", "report_shares"]

_WARM_UP_S = 2
_CLOSE = 0.05


class ShareReport(msgspec.Struct, frozen=True):
    """Distances over all teams and seconds with shortage.

    Parameters
    ----------
    seconds : int
        Pairs of a team and a second with shortage.
    within : float
        Part of them within 5 % of the share.
    worst, median : float
        Distances as a part of the share.
    use : float
        Slots used over slots there are.
    """

    seconds: int
    within: float
    median: float
    p95: float
    worst: float
    use: float


def report_shares(load: Load, result: SimulationResult) -> ShareReport:
    """Compare what ran with the weighted max-min division of the slots."""
    distances: list[float] = []
    used = 0.0
    seconds = range(_WARM_UP_S, int(load.seconds))
    for second in seconds:
        running = result.running_s[second]
        used += sum(running.values())
        distances += _distances(load, running, result.waiting_s[second])
    distances.sort()
    if not distances:
        return ShareReport(0, 0.0, 0.0, 0.0, 0.0, used / (load.capacity * len(seconds)))
    return ShareReport(
        seconds=len(distances),
        within=sum(item <= _CLOSE for item in distances) / len(distances),
        median=distances[len(distances) // 2],
        p95=distances[int(len(distances) * 0.95)],
        worst=distances[-1],
        use=used / (load.capacity * len(seconds)),
    )


def _distances(load: Load, running: dict[str, float], waiting: dict[str, float]) -> list[float]:
    """Return the distance of each team with work, if there is shortage."""
    demands = {
        team.name: min(running[team.name] + waiting[team.name], team.ceiling) for team in load.teams
    }
    demands = {name: demand for name, demand in demands.items() if demand > 0}
    if sum(demands.values()) <= load.capacity:
        return []
    shares = {team.name: float(team.share) for team in load.teams}
    due = max_min_shares(load.capacity, shares, demands)
    return [abs(running[name] - due[name]) / due[name] for name in demands]
