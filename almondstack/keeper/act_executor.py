"""Executes the acts on the platform, such as drains and reboots, that folded steps require.

Explanation
-----------
The author of a step executes its act at once.  Another keeper takes over once the
phase has lasted longer than the delay of the keeper's rank.  Either way the act
has the same id, so the platform executes it once.  A keeper executes an act only
while its last read of the log is recent and the observations show the act as safe.
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

__all__ = ["ActExecutor"]

_log = PartLogger("keeper")


class ActExecutor:
    """Executes acts on the platform for one keeper.

    Parameters
    ----------
    own, author : str
        Name of this instance, and author of this keeper's records.
    platform : PlatformClient
        Executes the acts.
    tracker : FleetTracker
        Receives the status of the acts.
    settings : FleetSettings
        Delays, and how long this keeper may execute acts after it last read the log.
    metrics : LocalMetrics
        Counts acts that were not executed: failed calls, unsafe acts and expired leases.
    clock : Clock
        Measures the age of the last read of the log.
    """

    __slots__ = (
        "_author",
        "_clock",
        "_metrics",
        "_own",
        "_platform",
        "_settings",
        "_finished_ids",
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
        self._finished_ids: set[str] = set()

    def execute_needed(self, view: FleetView, log_read_s: float) -> None:
        """Execute every safe act that this keeper is responsible for and that is not finished.

        Stops when the last read of the log is older than ``act_lease_s``.

        Parameters
        ----------
        view : FleetView
            The folded state as of ``log_read_s`` and the observations.
        log_read_s : float
            Monotonic time in seconds just before this keeper read the log to its end.
        """
        names = keeper_names(view.state, self._own)
        needed = needed_acts(view.state)
        self._finished_ids &= {act.id for _, act in needed}
        expires_s = view.observations.platform_now_s + self._settings.act_lease_s
        for item, act in needed:
            if act.id in self._finished_ids or not self._is_responsible(item, names, view):
                continue
            if self._clock.monotonic() - log_read_s > self._settings.act_lease_s:
                self._metrics.count("keeper.acts.lease-over")
                return
            if is_safe_now(view, item, act):
                self._ensure(msgspec.structs.replace(act, expires_s=expires_s))
            else:
                self._metrics.count("keeper.acts.withheld")

    def _is_responsible(self, item: InstanceState, names: list[str], view: FleetView) -> bool:
        if item.stepped_by == self._author:
            return True
        rank = rank_of(self._own, names, f"pool/{item.pool}")
        age_s = view.observations.phase_age_s(item.name)
        return age_s >= (rank + 1) * self._settings.takeover_s

    def _ensure(self, act: Act) -> None:
        try:
            status = self._platform.ensure(act)
        except ActSupersededError:
            self._finished_ids.add(act.id)
            return
        except PlatformError as error:
            self._metrics.count(f"keeper.acts.put-off.{error.code}")
            return
        self._tracker.update_act_status(status)
        if status.is_done or status.is_failed:
            self._finished_ids.add(act.id)
            _log.info("Act %s of kind %s has completed or failed.", act.id, act.kind)
