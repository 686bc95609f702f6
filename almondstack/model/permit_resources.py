"""Names and bounds of the resources for which permits are drawn."""

from almondstack.model.state import FleetState

__all__ = [
    "bound_of",
    "bounds_of",
    "ceiling_resource",
    "is_rate",
    "is_slots",
    "rate_bursts",
    "rate_resource",
    "slots_resource",
]

_CEILING = "ceiling"
_SLOTS = "slots"
_RATE = "rate"


def ceiling_resource(team: str) -> str:
    """Return the resource of a team's ceiling; one permit allows one running request."""
    return f"{_CEILING}/{team}"


def slots_resource(instance: str) -> str:
    """Return the resource of an upstream's slots; one permit allows one running request."""
    return f"{_SLOTS}/{instance}"


def rate_resource(limit: str) -> str:
    """Return the resource of a rate limit; one permit allows one request per second."""
    return f"{_RATE}/{limit}"


def is_rate(resource: str) -> bool:
    """Return True if ``resource`` is a rate limit.

    Examples
    --------
    >>> from almondstack.permits import ceiling_resource, is_rate, rate_resource
    >>> is_rate(rate_resource("night")), is_rate(ceiling_resource("north"))
    (True, False)
    """
    return resource.startswith(_RATE + "/")


def is_slots(resource: str) -> bool:
    """Return True if ``resource`` is the slots of an upstream."""
    return resource.startswith(_SLOTS + "/")


def bound_of(state: FleetState, resource: str) -> int:
    """Return the maximum number of permits of a resource; 0 if it does not exist."""
    kind, _, name = resource.partition("/")
    if kind == _CEILING and name in state.teams:
        return state.teams[name].ceiling
    if kind == _SLOTS and name in state.instances:
        return state.instances[name].spec.slots
    if kind == _RATE and name in state.limits:
        return state.limits[name].per_second
    return 0


def bounds_of(state: FleetState) -> dict[str, int]:
    """Return the maximum number of permits of each resource, by name.

    Explanation
    -----------
    Connections have no resource of their own: a permit for a slot also allows
    ``connections // slots`` connections of the instance.
    """
    names = [ceiling_resource(team) for team in state.teams]
    names += [slots_resource(instance) for instance in state.instances]
    names += [rate_resource(limit) for limit in state.limits]
    return {name: bound_of(state, name) for name in names}


def rate_bursts(state: FleetState) -> dict[str, float]:
    """Return, by rate resource, the burst size in requests that one permit allows."""
    return {
        rate_resource(limit.name): limit.burst / limit.per_second for limit in state.limits.values()
    }
