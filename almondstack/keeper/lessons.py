"""Learns run times from the phases that a keeper watches."""

import msgspec

from almondstack.fleet import DrainEstimates, Observations
from almondstack.model import FleetState, InstancePhase, InstanceState

__all__ = ["Lessons"]


class _Stage(msgspec.Struct, frozen=True):
    """The phase an instance was last seen in, and since when its drain began."""

    item: InstanceState
    drain_since_s: float | None


class Lessons:
    """Feeds estimates with the drains and cycles that were seen whole.

    Parameters
    ----------
    estimates : DrainEstimates
        Takes the durations.
    """

    __slots__ = ("_estimates", "_stages")

    def __init__(self, estimates: DrainEstimates) -> None:
        self._estimates = estimates
        self._stages: dict[str, _Stage] = {}

    def learn(self, state: FleetState, seen: Observations) -> None:
        """Compare the phases with those of the last round."""
        stages = {}
        for name, item in state.instances.items():
            before = self._stages.get(name)
            since_s = before.drain_since_s if before is not None else None
            if item.phase is InstancePhase.DRAINING:
                since_s = seen.phase_since_s.get(name, seen.now_s)
            elif before is not None and before.item.phase is not item.phase:
                since_s = self._note_change(before, item, since_s, seen)
            stages[name] = _Stage(item, since_s)
        self._stages = stages

    def _note_change(
        self, before: _Stage, item: InstanceState, since_s: float | None, seen: Observations
    ) -> float | None:
        if since_s is None or item.is_lost:
            return None
        age_s = seen.phase_since_s.get(item.name, seen.now_s) - since_s
        was_draining = before.item.phase is InstancePhase.DRAINING
        if was_draining and item.phase is InstancePhase.DRAINED:
            self._estimates.note_drain(item.pool, age_s)
        if not item.is_serving:
            return since_s
        if item.maintained_offset == before.item.phase_offset:
            self._estimates.note_cycle(item.pool, age_s)
        return None
