"""Plans the size of pools, the moves of instances between them, and the order of a wave."""

from almondstack.capacity.demand import ArrivalForecast, PoolNeed
from almondstack.capacity.maintenance import WaveMember, next_members
from almondstack.capacity.moves import (
    Candidate,
    Move,
    PoolState,
    large_excess_limit,
    plan_moves,
    wanted_instances,
)
from almondstack.capacity.paid_time import PaidInstance, PaidUse, paid_uses

__all__ = [
    "ArrivalForecast",
    "Candidate",
    "Move",
    "PaidInstance",
    "PaidUse",
    "PoolNeed",
    "PoolState",
    "WaveMember",
    "large_excess_limit",
    "next_members",
    "paid_uses",
    "plan_moves",
    "wanted_instances",
]
