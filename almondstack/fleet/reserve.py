"""Tracks whether the spare pools could replace a rack that is lost during a wave.

Explanation
-----------
For each rack the reserve counts by how many instances all pools together would
fall below their budgets if the rack were lost now, and how many spare instances
are in other racks.  A wave may drain one more instance as long as the shortfall
of no rack exceeds the spares outside it.
"""

from almondstack.fleet.view import FleetView
from almondstack.model import InstanceState

__all__ = ["LossReserve"]


class LossReserve:
    """Shortfalls and spares of one planning round, updated with each planned drain.

    Parameters
    ----------
    view : FleetView
        The fleet.
    """

    __slots__ = (
        "_counts_by_rack",
        "_min_serving",
        "_removed",
        "_serving_counts",
        "_shortfalls",
        "_spare_counts",
    )

    def __init__(self, view: FleetView) -> None:
        self._removed: set[str] = set()
        self._serving_counts: dict[str, int] = {}
        self._min_serving: dict[str, int] = {}
        self._counts_by_rack: dict[str, dict[str, int]] = {}
        self._shortfalls: dict[str, int] = {}
        self._spare_counts: dict[str, int] = {}
        for name, pool in view.state.pools.items():
            serving = view.confirmed_serving(name)
            if pool.is_spare:
                self._add_spares(serving, len(serving) - pool.min_serving)
            else:
                self._add_pool(name, pool.min_serving, serving)

    def _add_spares(self, serving: list[InstanceState], max_count: int) -> None:
        for item in serving[: max(max_count, 0)]:
            self._spare_counts[item.spec.rack] = self._spare_counts.get(item.spec.rack, 0) + 1

    def _add_pool(self, pool: str, min_serving: int, serving: list[InstanceState]) -> None:
        self._serving_counts[pool] = len(serving)
        self._min_serving[pool] = min_serving
        counts: dict[str, int] = {}
        for item in serving:
            counts[item.spec.rack] = counts.get(item.spec.rack, 0) + 1
        self._counts_by_rack[pool] = counts
        for rack, count in counts.items():
            shortfall = max(min_serving - (len(serving) - count), 0)
            self._shortfalls[rack] = self._shortfalls.get(rack, 0) + shortfall

    def is_removed(self, item: InstanceState) -> bool:
        """Return whether :meth:`remove` was called for ``item`` in this round."""
        return item.name in self._removed

    def may_remove(self, item: InstanceState) -> bool:
        """Return whether the spares could still replace any one rack without ``item``."""
        if item.pool not in self._serving_counts:
            return self._may_remove_spare(item)
        return all(
            shortfall <= self._spares_outside(rack)
            for rack, shortfall in self._shortfalls_without(item).items()
        )

    def _may_remove_spare(self, item: InstanceState) -> bool:
        return all(
            shortfall <= self._spares_outside(rack) - (rack != item.spec.rack)
            for rack, shortfall in self._shortfalls.items()
        )

    def remove(self, item: InstanceState) -> None:
        """Count ``item`` as out of service."""
        self._removed.add(item.name)
        if item.pool not in self._serving_counts:
            self._spare_counts[item.spec.rack] = self._spare_counts.get(item.spec.rack, 0) - 1
            return
        self._shortfalls.update(self._shortfalls_without(item))
        self._serving_counts[item.pool] -= 1
        self._counts_by_rack[item.pool][item.spec.rack] -= 1

    def _shortfalls_without(self, item: InstanceState) -> dict[str, int]:
        """Return the shortfalls of the pool's racks without ``item``; others don't change."""
        pool = item.pool
        serving, min_serving = self._serving_counts[pool], self._min_serving[pool]
        shortfalls = {}
        for rack, count in self._counts_by_rack[pool].items():
            before = max(min_serving - (serving - count), 0)
            lost = count - (rack == item.spec.rack)
            after = max(min_serving - (serving - 1 - lost), 0)
            shortfalls[rack] = self._shortfalls[rack] - before + after
        return shortfalls

    def _spares_outside(self, rack: str) -> int:
        return sum(self._spare_counts.values()) - self._spare_counts.get(rack, 0)
