"""Distance of teams from their weighted max-min share in a simulation, per second."""

import msgspec

from almondstack.bench.pool_simulation import Load, SimulationResult
from almondstack.queueing import max_min_shares

__all__ = ["ShareReport", "report_shares"]

_WARM_UP_S = 2
_NEAR_SHARE = 0.05


class ShareReport(msgspec.Struct, frozen=True):
    """Distribution of the distances from the share over all teams and seconds of shortage.

    Parameters
    ----------
    seconds : int
        Number of pairs of a team and a second of shortage.
    within : float
        Fraction of the pairs within 5 % of the share.
    median, p95, worst : float
        Quantiles of the distance, as a fraction of the share.
    use : float
        Slot-seconds used, as a fraction of those available.
    """

    seconds: int
    within: float
    median: float
    p95: float
    worst: float
    use: float


def report_shares(load: Load, result: SimulationResult) -> ShareReport:
    """Compare the running calls of each team with its weighted max-min share of the slots."""
    distances: list[float] = []
    used_slot_s = 0.0
    seconds = range(_WARM_UP_S, int(load.seconds))
    for second in seconds:
        running = result.running_s[second]
        used_slot_s += sum(running.values())
        distances += _distances(load, running, result.waiting_s[second])
    distances.sort()
    if not distances:
        return ShareReport(0, 0.0, 0.0, 0.0, 0.0, used_slot_s / (load.capacity * len(seconds)))
    return ShareReport(
        seconds=len(distances),
        within=sum(item <= _NEAR_SHARE for item in distances) / len(distances),
        median=distances[len(distances) // 2],
        p95=distances[int(len(distances) * 0.95)],
        worst=distances[-1],
        use=used_slot_s / (load.capacity * len(seconds)),
    )


def _distances(load: Load, running: dict[str, float], waiting: dict[str, float]) -> list[float]:
    """Return the distance of each team with demand; empty if demand is within capacity."""
    demands = {
        team.name: min(running[team.name] + waiting[team.name], team.ceiling) for team in load.teams
    }
    demands = {name: demand for name, demand in demands.items() if demand > 0}
    if sum(demands.values()) <= load.capacity:
        return []
    shares = {team.name: float(team.share) for team in load.teams}
    fair_shares = max_min_shares(load.capacity, shares, demands)
    return [abs(running[name] - fair_shares[name]) / fair_shares[name] for name in demands]
