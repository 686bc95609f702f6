"""Takes the acts that folded steps ask for.

Explanation
-----------
The author of a step acts at once.  Another keeper takes an act up when its
phase has lasted longer than its place in the order makes it wait.  Either way
the act has the same id, so the platform takes it once.
"""

import msgspec

from almondstack.core import Clock, LocalMetrics, PartLogger
from almondstack.fleet import (
    FleetSettings,
    FleetTracker,
    FleetView,
    is_safe_now,
    keeper_names,
    needed_acts,
    rank_of,
)
from almondstack.model import InstanceState
from almondstack.provider import Act, ActSupersededError, PlatformClient, PlatformError

__all__ = ["Actor"]

_log = PartLogger("keeper")


class Actor:
    """Takes acts on the platform for one keeper.

    Parameters
    ----------
    own, author : str
        Name of this instance, and author of this keeper's records.
    platform : PlatformClient
        Takes the acts.
    tracker : FleetTracker
        Learns what became of them.
    settings : FleetSettings
        Waiting times, and how long this keeper may act without seeing the log.
    metrics : LocalMetrics
        Counts acts that were put off.
    clock : Clock
        Measures the lease.
    """

    __slots__ = (
        "_author",
        "_clock",
        "_metrics",
        "_own",
        "_platform",
        "_settings",
        "_settled",
        "_tracker",
    )

    def __init__(
        self,
        own: str,
        author: str,
        platform: PlatformClient,
        tracker: FleetTracker,
        settings: FleetSettings,
        metrics: LocalMetrics,
        clock: Clock,
    ) -> None:
        self._own = own
        self._author = author
        self._platform = platform
        self._tracker = tracker
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._settled: set[str] = set()

    def act(self, view: FleetView, seen_log_s: float) -> None:
        """Take every act that falls to this keeper.

        Parameters
        ----------
        view : FleetView
            The folded state as of ``seen_log_s`` and what was seen besides.
        seen_log_s : float
            When this keeper saw the end of the log, on the monotonic clock.
        """
        names = keeper_names(view.state, self._own)
        wanted = needed_acts(view.state)
        self._settled &= {act.id for _, act in wanted}
        expires_s = view.seen.platform_now_s + self._settings.act_lease_s
        for item, act in wanted:
            if act.id in self._settled or not self._falls_here(item, names, view):
                continue
            if self._clock.monotonic() - seen_log_s > self._settings.act_lease_s:
                self._metrics.count("keeper.acts.lease-over")
                return
            if is_safe_now(view, item, act):
                self._ensure(msgspec.structs.replace(act, expires_s=expires_s))
            else:
                self._metrics.count("keeper.acts.withheld")

    def _falls_here(self, item: InstanceState, names: list[str], view: FleetView) -> bool:
        if item.stepped_by == self._author:
            return True
        rank = rank_of(self._own, names, f"pool/{item.pool}")
        age_s = view.seen.phase_age_s(item.name)
        return age_s >= (rank + 1) * self._settings.takeover_s

    def _ensure(self, act: Act) -> None:
        try:
            status = self._platform.ensure(act)
        except ActSupersededError:
            self._settled.add(act.id)
            return
        except PlatformError as error:
            self._metrics.count(f"keeper.acts.put-off.{error.code}")
            return
        self._tracker.note_act(status)
        if status.is_done or status.is_failed:
            self._settled.add(act.id)
            _log.info("Act %s of kind %s is settled.", act.id, act.kind)
