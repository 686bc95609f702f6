"""Takes the acts that folded steps ask for.

Explanation
-----------
The author of a step acts at once.  Another keeper takes an act up when its
phase has lasted longer than its place in the order makes it wait.  Either way
the act has the same id, so the platform takes it once.
"""

from almondstack.core import Clock, NullMetrics, PartLogger
from almondstack.fleet import FleetSettings, FleetTracker, keeper_names, needed_acts, rank_of
from almondstack.model import FleetState, InstanceState
from almondstack.platform import Act, ActSupersededError, PlatformClient, PlatformError

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
    metrics : NullMetrics
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
        metrics: NullMetrics,
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

    def act(self, state: FleetState, phase_since_s: dict[str, float], seen_log_s: float) -> None:
        """Take every act that falls to this keeper.

        Parameters
        ----------
        state : FleetState
            The folded state as of ``seen_log_s``.
        phase_since_s : dict of str to float
            When each instance was first seen in its phase, in seconds.
        seen_log_s : float
            When this keeper saw the end of the log, on the monotonic clock.
        """
        names = keeper_names(state, self._own)
        wanted = needed_acts(state)
        self._settled &= {act.id for _, act in wanted}
        for item, act in wanted:
            if act.id in self._settled or not self._falls_here(item, names, phase_since_s):
                continue
            if self._clock.monotonic() - seen_log_s > self._settings.act_lease_s:
                self._metrics.count("keeper.acts.lease-over")
                return
            self._ensure(act)

    def _falls_here(
        self, item: InstanceState, names: list[str], phase_since_s: dict[str, float]
    ) -> bool:
        if item.stepped_by == self._author:
            return True
        rank = rank_of(self._own, names, f"pool/{item.pool}")
        now_s = self._clock.monotonic()
        age_s = now_s - phase_since_s.get(item.name, now_s)
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
