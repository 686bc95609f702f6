"""Bounds over the fleet, as the folded configuration has them."""

from almondstack.model import FleetState
from almondstack.permits.contract import ceiling_resource, rate_resource, slots_resource

__all__ = ["bounds_of", "is_rate", "rate_bursts"]

_RATE_PREFIX = rate_resource("")


def is_rate(resource: str) -> bool:
    """Return True if a permit of ``resource`` is one request a second.

    Examples
    --------
    >>> from almondstack.permits import ceiling_resource, is_rate, rate_resource
    >>> is_rate(rate_resource("night")), is_rate(ceiling_resource("north"))
    (True, False)
    """
    return resource.startswith(_RATE_PREFIX)


def bounds_of(state: FleetState) -> dict[str, int]:
    """Return the bound of each resource.

    Explanation
    -----------
    Connections need no resource of their own: a permit of a slot carries the
    instance's ``connections // slots`` connections.
    """
    bounds = {ceiling_resource(team.name): team.ceiling for team in state.teams.values()}
    for instance in state.instances.values():
        bounds[slots_resource(instance.name)] = instance.spec.slots
    for limit in state.limits.values():
        bounds[rate_resource(limit.name)] = limit.per_second
    return bounds


def rate_bursts(state: FleetState) -> dict[str, float]:
    """Return, by rate resource, how many requests one permit may save up."""
    return {
        rate_resource(limit.name): limit.burst / limit.per_second for limit in state.limits.values()
    }
