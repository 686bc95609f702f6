"""Indexes the folded state and the observations for one planning round."""

from collections import Counter

from almondstack.fleet.observations import Observations
from almondstack.fleet.settings import FleetSettings
from almondstack.model import FleetState, InstanceState, Pool

__all__ = ["FleetView"]


class FleetView:
    """Read-only view of the fleet for one planning round.

    Parameters
    ----------
    state : FleetState
        The folded state; does not change during the round.
    observations : Observations
        The keeper's observations.
    settings : FleetSettings
        Bounds and delays of the planner.
    """

    __slots__ = ("_by_pool", "_inbound", "observations", "settings", "state")

    def __init__(
        self, state: FleetState, observations: Observations, settings: FleetSettings
    ) -> None:
        self.state = state
        self.observations = observations
        self.settings = settings
        self._by_pool: dict[str, list[InstanceState]] = {name: [] for name in state.pools}
        for name in sorted(state.instances):
            item = state.instances[name]
            self._by_pool.setdefault(item.pool, []).append(item)
        self._inbound = Counter(
            item.target_pool
            for item in state.instances.values()
            if item.target_pool != item.pool and not item.is_lost
        )

    def owned(self, pool: str) -> list[InstanceState]:
        """Return the instances of a pool, sorted by name."""
        return self._by_pool.get(pool, [])

    def serving(self, pool: str) -> list[InstanceState]:
        """Return the serving instances of a pool, sorted by name."""
        return [item for item in self.owned(pool) if item.is_serving]

    def lost(self, pool: str) -> list[InstanceState]:
        """Return the instances of a pool that are out of service unplanned, sorted by name."""
        return [item for item in self.owned(pool) if item.is_lost]

    def confirmed_serving(self, pool: str) -> list[InstanceState]:
        """Return the serving instances of a pool that a recent report shows as healthy."""
        return [item for item in self.serving(pool) if self.is_confirmed_healthy(item)]

    def is_confirmed_healthy(self, item: InstanceState) -> bool:
        """Return whether a report younger than ``view_bound_s`` shows an instance as healthy."""
        report = self.observations.reports.get(item.name)
        is_recent = self.observations.report_age_s(item.name) <= self.settings.view_bound_s
        return report is not None and report.is_healthy and is_recent

    def inbound(self, pool: str) -> int:
        """Return how many instances are moving to a pool from another."""
        return self._inbound[pool]

    def missing(self, pool: Pool) -> int:
        """Return by how many instances a pool is below its budget."""
        return max(pool.min_serving - len(self.serving(pool.name)), 0)

    def spare_pools(self) -> list[Pool]:
        """Return the spare pools, sorted by name."""
        pools = self.state.pools
        return [pools[name] for name in sorted(pools) if pools[name].is_spare]
