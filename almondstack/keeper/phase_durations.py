"""Measures the durations of drains and maintenance cycles from observed phase changes."""

import msgspec

from almondstack.fleet import DrainEstimates, Observations
from almondstack.model import FleetState, InstancePhase, InstanceState

__all__ = ["PhaseDurationRecorder"]


class _LastSeen(msgspec.Struct, frozen=True):
    """An instance as of the last round, and when its drain began (monotonic seconds)."""

    item: InstanceState
    drain_since_s: float | None


class PhaseDurationRecorder:
    """Adds drains and cycles that were observed from start to end to the estimates.

    Parameters
    ----------
    estimates : DrainEstimates
        Receives the durations.
    """

    __slots__ = ("_estimates", "_last_seen")

    def __init__(self, estimates: DrainEstimates) -> None:
        self._estimates = estimates
        self._last_seen: dict[str, _LastSeen] = {}

    def update(self, state: FleetState, observations: Observations) -> None:
        """Compare the phases with those of the last round and record completed durations."""
        last_seen = {}
        for name, item in state.instances.items():
            previous = self._last_seen.get(name)
            since_s = previous.drain_since_s if previous is not None else None
            if item.phase is InstancePhase.DRAINING:
                since_s = observations.phase_since_s.get(name, observations.now_s)
            elif previous is not None and previous.item.phase is not item.phase:
                since_s = self._record_transition(previous, item, since_s, observations)
            last_seen[name] = _LastSeen(item, since_s)
        self._last_seen = last_seen

    def _record_transition(
        self,
        previous: _LastSeen,
        item: InstanceState,
        since_s: float | None,
        observations: Observations,
    ) -> float | None:
        if since_s is None or item.is_lost:
            return None
        age_s = observations.phase_since_s.get(item.name, observations.now_s) - since_s
        was_draining = previous.item.phase is InstancePhase.DRAINING
        if was_draining and item.phase is InstancePhase.DRAINED:
            self._estimates.record_drain(item.pool, age_s)
        if not item.is_serving:
            return since_s
        if item.maintained_offset == previous.item.phase_offset:
            self._estimates.record_cycle(item.pool, age_s)
        return None
