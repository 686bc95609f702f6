"""Constructs the components of a dispatcher."""

from almondstack.core import Clock, LocalMetrics, NodeSettings
from almondstack.dispatch.connections import ConnectionPool
from almondstack.dispatch.departures import DepartureTracker, LeavingList
from almondstack.dispatch.grant_holder import GrantHolder
from almondstack.dispatch.health import HealthTracker
from almondstack.dispatch.retries import RetryPolicy
from almondstack.dispatch.settings import DispatchSettings
from almondstack.dispatch.upstream_chooser import UpstreamChooser
from almondstack.fold import Fold
from almondstack.permits import Permits
from almondstack.queueing import FairScheduler, FleetUsage

__all__ = ["DispatchParts"]


class DispatchParts:
    """Components of a dispatcher; the attributes are read-only.

    Parameters
    ----------
    settings : DispatchSettings
        All settings.
    node : NodeSettings
        Name and availability zone of this entry.
    fold : Fold
        Current state of pools, teams and instances.
    permits : Permits
        Permits of ceilings, slots and rates.
    clock : Clock
        Time source for deadlines and run times.
    metrics : LocalMetrics
        Counters of starts and retries.
    usage : FleetUsage
        Running calls of other entries.
    listing : LeavingList
        The platform's instance list.
    """

    __slots__ = (
        "chooser",
        "clock",
        "connections",
        "departures",
        "fold",
        "health",
        "holder",
        "metrics",
        "node",
        "retries",
        "scheduler",
        "settings",
    )

    def __init__(
        self,
        settings: DispatchSettings,
        node: NodeSettings,
        fold: Fold,
        permits: Permits,
        clock: Clock,
        metrics: LocalMetrics,
        usage: FleetUsage,
        listing: LeavingList,
    ) -> None:
        self.settings = settings
        self.node = node
        self.metrics = metrics
        self.fold = fold
        self.clock = clock
        self.health = HealthTracker(settings.health, clock)
        self.departures = DepartureTracker(listing, clock)
        self.chooser = UpstreamChooser(settings, node, fold, permits, self.health, self.departures)
        self.scheduler = FairScheduler(
            settings.queueing,
            fold,
            permits,
            self.chooser,
            usage,
            clock,
        )
        self.connections = ConnectionPool(settings.connections, clock)
        self.holder = GrantHolder(self.scheduler, clock)
        self.retries = RetryPolicy(settings.retries, metrics)
