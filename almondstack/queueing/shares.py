"""Weighted max-min division of capacity."""

from collections.abc import Mapping

__all__ = ["max_min_shares"]


def max_min_shares(
    capacity: float, shares: Mapping[str, float], demands: Mapping[str, float]
) -> dict[str, float]:
    """Return the weighted max-min division of ``capacity``.

    Explanation
    -----------
    Progressive filling (Bertsekas and Gallager, Data Networks, section 6.5): a
    team with a demand below its part gets its demand, and the rest is divided
    again among the other teams.

    Parameters
    ----------
    capacity : float
        Slots to divide.
    shares : mapping of str to float
        Weight of each team, above 0.
    demands : mapping of str to float
        Slots that each team could use.

    Examples
    --------
    >>> from almondstack.queueing import max_min_shares
    >>> max_min_shares(12, {"a": 1, "b": 2, "c": 1}, {"a": 9, "b": 9, "c": 1})
    {'c': 1, 'b': 7.3..., 'a': 3.6...}
    """
    result: dict[str, float] = {}
    left = capacity
    weight = sum(shares[team] for team in demands)
    for team in sorted(demands, key=lambda name: demands[name] / shares[name]):
        part = left * shares[team] / weight
        result[team] = min(demands[team], part)
        left -= result[team]
        weight -= shares[team]
    return result
