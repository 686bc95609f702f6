"""Whether the spare pool would make up for the loss of a rack in mid-wave.

Explanation
-----------
For each rack the reserve keeps by how many instances all pools together would
lack their budgets if the rack were lost now, and how many spare instances
stand outside it.  A wave may take one more instance as long as no rack lacks
more than the spares outside it can replace.
"""

from almondstack.fleet.view import FleetView
from almondstack.model import InstanceState

__all__ = ["LossReserve"]


class LossReserve:
    """Counts for one planning round, lowered with each drain that is planned.

    Parameters
    ----------
    view : FleetView
        The fleet.
    """

    __slots__ = ("_by_rack", "_left", "_least", "_needs", "_spares", "_taken")

    def __init__(self, view: FleetView) -> None:
        self._taken: set[str] = set()
        self._left: dict[str, int] = {}
        self._least: dict[str, int] = {}
        self._by_rack: dict[str, dict[str, int]] = {}
        self._needs: dict[str, int] = {}
        self._spares: dict[str, int] = {}
        for name, pool in view.state.pools.items():
            sure = view.surely_serving(name)
            if pool.is_spare:
                self._add_spares(sure, len(sure) - pool.min_serving)
            else:
                self._add_pool(name, pool.min_serving, sure)

    def _add_spares(self, sure: list[InstanceState], most: int) -> None:
        for item in sure[: max(most, 0)]:
            self._spares[item.spec.rack] = self._spares.get(item.spec.rack, 0) + 1

    def _add_pool(self, pool: str, least: int, sure: list[InstanceState]) -> None:
        self._left[pool] = len(sure)
        self._least[pool] = least
        counts: dict[str, int] = {}
        for item in sure:
            counts[item.spec.rack] = counts.get(item.spec.rack, 0) + 1
        self._by_rack[pool] = counts
        for rack, count in counts.items():
            lack = max(least - (len(sure) - count), 0)
            self._needs[rack] = self._needs.get(rack, 0) + lack

    def is_taken(self, item: InstanceState) -> bool:
        """Return whether ``item`` was counted as out in this round."""
        return item.name in self._taken

    def may_take(self, item: InstanceState) -> bool:
        """Return whether the spares still cover each rack without ``item``."""
        if item.pool not in self._left:
            return self._may_take_spare(item)
        return all(
            lack <= self._spares_outside(rack) for rack, lack in self._needs_without(item).items()
        )

    def _may_take_spare(self, item: InstanceState) -> bool:
        return all(
            lack <= self._spares_outside(rack) - (rack != item.spec.rack)
            for rack, lack in self._needs.items()
        )

    def take(self, item: InstanceState) -> None:
        """Count ``item`` as out."""
        self._taken.add(item.name)
        if item.pool not in self._left:
            self._spares[item.spec.rack] = self._spares.get(item.spec.rack, 0) - 1
            return
        self._needs.update(self._needs_without(item))
        self._left[item.pool] -= 1
        self._by_rack[item.pool][item.spec.rack] -= 1

    def _needs_without(self, item: InstanceState) -> dict[str, int]:
        """The needs of the pool's racks once ``item`` is out; others don't change."""
        pool = item.pool
        left, least = self._left[pool], self._least[pool]
        needs = {}
        for rack, count in self._by_rack[pool].items():
            before = max(least - (left - count), 0)
            lost = count - (rack == item.spec.rack)
            after = max(least - (left - 1 - lost), 0)
            needs[rack] = self._needs[rack] - before + after
        return needs

    def _spares_outside(self, rack: str) -> int:
        return sum(self._spares.values()) - self._spares.get(rack, 0)
