"""Derives the platform acts that instances need from the folded state.

Explanation
-----------
An act depends on the folded state alone and its id contains the offset of the
step, so every keeper derives the same act, and a keeper that has not folded the
step derives none.
"""

from almondstack.fleet.view import FleetView
from almondstack.model import FleetState, InstancePhase, InstanceState
from almondstack.provider import Act, ActKind, act_id

__all__ = ["is_safe_now", "needed_act", "needed_acts"]

_KINDS = {
    InstancePhase.DRAINING: ActKind.DRAIN,
    InstancePhase.REBOOTING: ActKind.REBOOT,
    InstancePhase.RETURNING: ActKind.RESUME,
}


def needed_act(item: InstanceState) -> Act | None:
    """Return the act that the current phase of an instance requires, None if none."""
    kind = _KINDS.get(item.phase)
    if item.phase is InstancePhase.DRAINED and item.is_withdrawn:
        kind = ActKind.RELEASE
    if kind is None:
        return None
    order = item.phase_offset
    pool = item.pool if kind is ActKind.RESUME else ""
    return Act(id=act_id(item.name, order), target=item.name, kind=kind, order=order, pool=pool)


def needed_acts(state: FleetState) -> list[tuple[InstanceState, Act]]:
    """Return each instance that needs an act, with the act, sorted by name."""
    found = []
    for name in sorted(state.instances):
        item = state.instances[name]
        act = needed_act(item)
        if act is not None:
            found.append((item, act))
    return found


def is_safe_now(view: FleetView, item: InstanceState, act: Act) -> bool:
    """Return whether an act may be executed on the current observations.

    Explanation
    -----------
    Between the record of a drain and its act other instances may have failed
    or the budget may have been raised, so a drain is executed only if recent
    reports show that the pool meets its budget without the instance.
    """
    pool = view.state.pools.get(item.pool)
    if act.kind is not ActKind.DRAIN or pool is None:
        return True
    others = [other for other in view.confirmed_serving(item.pool) if other.name != item.name]
    return len(others) >= pool.min_serving
