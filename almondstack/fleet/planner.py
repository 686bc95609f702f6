"""Plans one round: computes every record that should be appended to the log now.

Explanation
-----------
The planner reads no clock, and its only own state is the estimates of durations.
Otherwise the result depends on the folded state and the observations alone.  The
fold validates each record again at its offset.
"""

from typing import Any

import msgspec

from almondstack.fleet.estimates import DrainEstimates
from almondstack.fleet.moves import next_moves
from almondstack.fleet.observations import Observations
from almondstack.fleet.settings import FleetSettings
from almondstack.fleet.steps import next_observation, next_records
from almondstack.fleet.view import FleetView
from almondstack.fleet.waves import next_wave_changes, next_wave_drains
from almondstack.model import FleetState, InstancePhase, InstanceStepped, WavePhase

__all__ = ["Planner", "Proposal"]


class Proposal(msgspec.Struct, frozen=True):
    """A record that should be appended.

    Parameters
    ----------
    key : str
        Identifies the record; equal for equal records planned from the same version.
    subject : str
        Pool or wave by which the keepers are ranked to choose the one that appends
        the record, see :func:`rank_of`.
    body : object
        The record.
    """

    key: str
    subject: str
    body: Any


class Planner:
    """Plans the records of one keeper.

    Parameters
    ----------
    settings : FleetSettings
        Bounds and delays of the planner.
    """

    __slots__ = ("_estimates", "_settings")

    def __init__(self, settings: FleetSettings) -> None:
        self._settings = settings
        self._estimates = DrainEstimates()

    @property
    def estimates(self) -> DrainEstimates:
        """Estimated durations of drains and maintenance cycles."""
        return self._estimates

    def plan(self, state: FleetState, observations: Observations) -> list[Proposal]:
        """Return every record that should be appended now."""
        view = FleetView(state, observations, self._settings)
        proposals: list[Proposal] = []
        changing: set[str] = set()
        for name in sorted(state.instances):
            bodies = self._plan_instance(view, name)
            if bodies:
                changing.add(name)
            proposals.extend(_proposal(state, body) for body in bodies)
        drains = [drain for drain in self._plan_drains(view) if drain.instance not in changing]
        proposals.extend(_proposal(state, drain) for drain in _within_budgets(view, drains))
        for wave_name in sorted(state.waves):
            changes = next_wave_changes(view, state.waves[wave_name])
            proposals.extend(_proposal(state, change) for change in changes)
        return proposals

    def _plan_instance(self, view: FleetView, name: str) -> list[Any]:
        """Return the observed unplanned phase change or, if none, the next planned records."""
        item = view.state.instances[name]
        observed = next_observation(view, item)
        if observed is not None:
            return [observed]
        return next_records(view, item, self._estimates)

    def _plan_drains(self, view: FleetView) -> list[InstanceStepped]:
        """Return the drains to start; none if the log was not read within ``view_bound_s``."""
        if view.observations.view_age_s > self._settings.view_bound_s:
            return []
        drains = _withdrawal_drains(view) + next_moves(view)
        for name in sorted(view.state.waves):
            wave = view.state.waves[name]
            if wave.phase is WavePhase.RUNNING:
                drains.extend(next_wave_drains(view, wave))
        return drains


def _withdrawal_drains(view: FleetView) -> list[InstanceStepped]:
    drain = InstancePhase.DRAINING
    return [
        InstanceStepped(name, item.version, drain, "withdrawn")
        for name, item in sorted(view.state.instances.items())
        if item.is_withdrawn and item.is_serving
    ]


def _within_budgets(view: FleetView, drains: list[InstanceStepped]) -> list[InstanceStepped]:
    """Return the drains, at most one per instance, that together keep each pool's budget."""
    serving: dict[str, set[str]] = {}
    kept: dict[str, InstanceStepped] = {}
    for drain in drains:
        pool = view.state.instances[drain.instance].pool
        if pool not in serving:
            serving[pool] = {item.name for item in view.confirmed_serving(pool)}
        serving_after = serving[pool] - {drain.instance}
        budget = view.state.pools.get(pool)
        if drain.instance in kept or (
            budget is not None and len(serving_after) < budget.min_serving
        ):
            continue
        serving[pool] = serving_after
        kept[drain.instance] = drain
    return list(kept.values())


def _proposal(state: FleetState, body: Any) -> Proposal:
    name = getattr(body, "instance", "")
    version = getattr(body, "version", 0)
    change = getattr(body, "phase", type(body).__name__)
    wave = getattr(body, "wave", None) or ""
    item = state.instances.get(name)
    subject = f"pool/{item.pool}" if item is not None else f"wave/{wave}"
    return Proposal(f"{name or wave}@{version}/{change}", subject, body)
