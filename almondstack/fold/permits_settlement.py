"""Reclaims the permits of incarnations that are no longer live.

Explanation
-----------
When an incarnation ends, each live one settles: it reports the totals that it
transferred to and from the ended one, and ignores every later transfer from
it.  A settlement moves counts between the two in the log and keeps the sum.
Two incarnations that have both ended cannot settle with each other, so they are
released together, once both have settled with all live ones and all work of
both is certain to have ended.
"""

from almondstack.fold.tables import table_with, table_without
from almondstack.model import FleetState, PermitAccount, Settlement

__all__ = ["add_drawn", "open_settlement", "release_ended"]


def add_drawn(state: FleetState, resource: str, incarnation: str, count: int) -> None:
    """Add ``count``, which may be negative, to the permits ``incarnation`` has drawn."""
    drawn = dict(state.permits.get(resource, PermitAccount()).drawn)
    drawn[incarnation] = drawn.get(incarnation, 0) + count
    _store(state, resource, drawn)


def open_settlement(state: FleetState, incarnation: str, is_ended: bool) -> None:
    """Require every live entry to settle with ``incarnation``, which is no longer live."""
    waiting = tuple(entry.incarnation for entry in state.live_entries())
    settlement = Settlement(waiting, is_ended)
    state.settlements = table_with(state.settlements, incarnation, settlement)
    release_ended(state)


def release_ended(state: FleetState) -> None:
    """Release the permits of each group of ended incarnations that is completely settled."""
    for group in _groups(state):
        if all(_is_ready(state, member) for member in group):
            _release(state, group)


def _is_ready(state: FleetState, incarnation: str) -> bool:
    settlement = state.settlements[incarnation]
    has_live = any(name not in state.settlements for name in settlement.waiting)
    return settlement.is_ended and not has_live


def _groups(state: FleetState) -> list[set[str]]:
    """Group the ended incarnations; those with possible unsettled transfers share a group."""
    links: dict[str, set[str]] = {name: set() for name in state.settlements}
    for name, settlement in state.settlements.items():
        for other in links.keys() & settlement.waiting:
            links[name].add(other)
            links[other].add(name)
    groups: list[set[str]] = []
    seen: set[str] = set()
    for name in sorted(links):
        if name not in seen:
            groups.append(_reachable(links, name))
            seen |= groups[-1]
    return groups


def _reachable(links: dict[str, set[str]], start: str) -> set[str]:
    group = {start}
    frontier = [start]
    while frontier:
        fresh = links[frontier.pop()] - group
        group |= fresh
        frontier.extend(fresh)
    return group


def _release(state: FleetState, group: set[str]) -> None:
    permits: dict[str, PermitAccount] = {}
    for resource, account in state.permits.items():
        kept = {name: count for name, count in account.drawn.items() if name not in group}
        if kept:
            permits[resource] = PermitAccount(kept)
    state.permits = permits
    state.settlements = table_without(state.settlements, group)


def _store(state: FleetState, resource: str, drawn: dict[str, int]) -> None:
    kept = {name: count for name, count in drawn.items() if count}
    if kept:
        state.permits = table_with(state.permits, resource, PermitAccount(kept))
    else:
        state.permits = table_without(state.permits, [resource])
