"""Derives observations of the fleet from the platform's usage reports and instance lists.

Explanation
-----------
The tracker stores since when each condition, such as an instance being unhealthy
or absent or a pool being full, has held.  Reports are ordered by the
time at which they were made, so a report that is delivered twice or late never
extends how long a condition appears to have held.
"""

from collections.abc import Iterable

from almondstack.core import Clock
from almondstack.fleet.observations import Observations
from almondstack.model import FleetState
from almondstack.provider import ActStatus, ListedInstance, UsageReport, UsageView

__all__ = ["FleetTracker"]

_FULL_FRACTION = 0.95
_MAX_ACT_STATUSES = 20_000


class FleetTracker:
    """Collects the observations of one keeper.

    Parameters
    ----------
    clock : Clock
        Monotonic and wall clock.
    """

    __slots__ = (
        "_absent_since_s",
        "_acts",
        "_bad_since_s",
        "_clock",
        "_full_since_s",
        "_good_since_s",
        "_leaving",
        "_listed",
        "_phases",
        "_platform_now_s",
        "_reports",
        "_reports_received_s",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reports: dict[str, UsageReport] = {}
        self._reports_received_s = clock.monotonic()
        self._platform_now_s = 0.0
        self._acts: dict[str, ActStatus] = {}
        self._phases: dict[str, tuple[int, float]] = {}
        self._good_since_s: dict[str, float] = {}
        self._bad_since_s: dict[str, float] = {}
        self._listed: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._absent_since_s: dict[str, float] = {}
        self._full_since_s: dict[str, float] = {}

    def update_usage(self, view: UsageView) -> None:
        """Add usage reports; one that is not newer than the known report is ignored."""
        now_s = self._clock.monotonic()
        self._reports_received_s = now_s
        self._platform_now_s = max(self._platform_now_s, view.now_s)
        for report in view.reports:
            newest = self._reports.get(report.instance)
            if newest is None or report.as_of_s > newest.as_of_s:
                self._update_report(report, now_s)

    def _update_report(self, report: UsageReport, now_s: float) -> None:
        name = report.instance
        self._reports[name] = report
        since, other = self._good_since_s, self._bad_since_s
        if not report.is_healthy:
            since, other = other, since
        other.pop(name, None)
        since.setdefault(name, now_s)

    def update_instance_list(self, listed: Iterable[ListedInstance]) -> None:
        """Replace the platform's instance list."""
        upstreams = [item for item in listed if item.role == "upstream"]
        self._leaving = frozenset(item.name for item in upstreams if item.is_leaving)
        self._listed = frozenset(item.name for item in upstreams) - self._leaving

    def update_act_status(self, status: ActStatus) -> None:
        """Store the status of an act; the oldest are evicted beyond ``_MAX_ACT_STATUSES``."""
        self._acts[status.id] = status
        while len(self._acts) > _MAX_ACT_STATUSES:
            del self._acts[next(iter(self._acts))]

    def observe(self, state: FleetState, view_age_s: float, bound_s: float) -> Observations:
        """Return the observations for ``state`` after updating phases, absences and full pools.

        Parameters
        ----------
        state : FleetState
            The folded state.
        view_age_s : float
            Time since the last successful read of the log, in seconds.
        bound_s : float
            A report older than this does not show that an instance is present, in seconds.
            If the platform has returned no reports for this time, no instance counts as
            absent.
        """
        now_s = self._clock.monotonic()
        self._update_phases(state, now_s)
        self._update_absences(state, now_s, bound_s)
        self._update_full_pools(state, now_s)
        return self.current_observations(view_age_s)

    def current_observations(self, view_age_s: float) -> Observations:
        """Return the observations as of the last :meth:`observe`, with the newest reports."""
        now_s = self._clock.monotonic()
        return Observations(
            now_s=now_s,
            unix_s=self._clock.unix(),
            view_age_s=view_age_s,
            reports_age_s=now_s - self._reports_received_s,
            platform_now_s=self._platform_now_s,
            reports=dict(self._reports),
            acts=dict(self._acts),
            phase_since_s={name: since_s for name, (_, since_s) in self._phases.items()},
            good_since_s=dict(self._good_since_s),
            bad_since_s=dict(self._bad_since_s),
            listed=self._listed,
            leaving=self._leaving,
            absent_since_s=dict(self._absent_since_s),
            full_since_s=dict(self._full_since_s),
        )

    def _update_phases(self, state: FleetState, now_s: float) -> None:
        phases = {}
        for name, item in state.instances.items():
            previous = self._phases.get(name)
            is_same = previous is not None and previous[0] == item.phase_offset
            phases[name] = previous if previous and is_same else (item.phase_offset, now_s)
        self._phases = phases

    def _update_absences(self, state: FleetState, now_s: float, bound_s: float) -> None:
        if now_s - self._reports_received_s > bound_s:
            self._absent_since_s.clear()
            return
        for name in state.instances:
            report = self._reports.get(name)
            is_shown = name in self._listed or name in self._leaving
            is_reported = report is not None and self._platform_now_s - report.as_of_s <= bound_s
            if is_shown or is_reported:
                self._absent_since_s.pop(name, None)
            else:
                self._absent_since_s.setdefault(name, now_s)

    def _update_full_pools(self, state: FleetState, now_s: float) -> None:
        used: dict[str, int] = {}
        slots: dict[str, int] = {}
        for name, item in state.instances.items():
            report = self._reports.get(name)
            if report is not None and item.is_serving:
                used[item.pool] = used.get(item.pool, 0) + report.running
                slots[item.pool] = slots.get(item.pool, 0) + item.spec.slots
        for pool in state.pools:
            if slots.get(pool) and used[pool] >= _FULL_FRACTION * slots[pool]:
                self._full_since_s.setdefault(pool, now_s)
            else:
                self._full_since_s.pop(pool, None)
