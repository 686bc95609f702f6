"""Which act on the platform a folded step asks for.

Explanation
-----------
An act follows from the folded state alone and carries the offset of its step,
so each keeper names the same act, and a keeper that has not folded the step
has nothing to act upon.
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
    """Return the act that the present phase of an instance asks for, if any."""
    kind = _KINDS.get(item.phase)
    if item.phase is InstancePhase.DRAINED and item.is_withdrawn:
        kind = ActKind.RELEASE
    if kind is None:
        return None
    order = item.phase_offset
    pool = item.pool if kind is ActKind.RESUME else ""
    return Act(id=act_id(item.name, order), target=item.name, kind=kind, order=order, pool=pool)


def needed_acts(state: FleetState) -> list[tuple[InstanceState, Act]]:
    """Return each instance that needs an act, with the act, by name."""
    found = []
    for name in sorted(state.instances):
        item = state.instances[name]
        act = needed_act(item)
        if act is not None:
            found.append((item, act))
    return found


def is_safe_now(view: FleetView, item: InstanceState, act: Act) -> bool:
    """Return whether an act may be taken as things stand.

    Explanation
    -----------
    Between the record of a drain and its act other instances may have failed
    or the budget may have risen, so the drain is taken only while young
    reports show that the pool holds its budget without the instance.
    """
    pool = view.state.pools.get(item.pool)
    if act.kind is not ActKind.DRAIN or pool is None:
        return True
    others = [other for other in view.confirmed_serving(item.pool) if other.name != item.name]
    return len(others) >= pool.min_serving
