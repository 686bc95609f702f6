"""Return of the permits of incarnations that are no longer live.

Explanation
-----------
When an incarnation ends, each live one settles: it reports the totals that it
transferred to and from the ended one, and ignores transfers from it ever
after.  A settlement moves counts between the two in the log and leaves the sum
as it was.  Two incarnations that have both ended cannot settle with each other,
so they are released together, once both have settled with all live ones and the
work of both has surely ended.
"""

from almondstack.model import FleetState, PermitAccount, Settlement

__all__ = ["add_drawn", "open_settlement", "release_ended"]


def add_drawn(state: FleetState, resource: str, incarnation: str, count: int) -> None:
    """Change what ``incarnation`` has drawn of ``resource`` by ``count``."""
    drawn = dict(state.permits.get(resource, PermitAccount()).drawn)
    drawn[incarnation] = drawn.get(incarnation, 0) + count
    _store(state, resource, drawn)


def open_settlement(state: FleetState, incarnation: str, is_ended: bool) -> None:
    """Ask every live entry to settle with ``incarnation``, which is not live any more."""
    waiting = tuple(entry.incarnation for entry in state.live_entries())
    state.settlements[incarnation] = Settlement(waiting, is_ended)
    release_ended(state)


def release_ended(state: FleetState) -> None:
    """Return the permits of every ended incarnation with which all is settled."""
    for name in sorted(state.settlements):
        group = _group_of(state, name)
        if group and all(_is_ready(state, member) for member in group):
            _release(state, group)


def _is_ready(state: FleetState, incarnation: str) -> bool:
    settlement = state.settlements[incarnation]
    has_live = any(name not in state.settlements for name in settlement.waiting)
    return settlement.is_ended and not has_live


def _group_of(state: FleetState, incarnation: str) -> set[str]:
    """Return the ended incarnations with which ``incarnation`` may share open transfers."""
    if incarnation not in state.settlements:
        return set()
    group = {incarnation}
    is_growing = True
    while is_growing:
        linked = {name for name in state.settlements if _is_linked(state, name, group)}
        is_growing = not linked <= group
        group |= linked
    return group


def _is_linked(state: FleetState, name: str, group: set[str]) -> bool:
    if group & set(state.settlements[name].waiting):
        return True
    return any(name in state.settlements[member].waiting for member in group)


def _release(state: FleetState, group: set[str]) -> None:
    for resource, account in list(state.permits.items()):
        kept = {name: count for name, count in account.drawn.items() if name not in group}
        _store(state, resource, kept)
    for name in group:
        del state.settlements[name]


def _store(state: FleetState, resource: str, drawn: dict[str, int]) -> None:
    kept = {name: count for name, count in drawn.items() if count}
    if kept:
        state.permits[resource] = PermitAccount(kept)
    else:
        state.permits.pop(resource, None)
