"""Plans the size of pools, the moves of instances between them, and the order of a wave."""

from almondstack.capacity.arrival_mix import ArrivalMix
from almondstack.capacity.demand import ArrivalForecast, PoolNeed
from almondstack.capacity.maintenance import WaveMember, next_members
from almondstack.capacity.moves import Move, plan_moves
from almondstack.capacity.paid_time import PaidInstance, PaidUse, paid_uses
from almondstack.capacity.pool_state import (
    HEADROOM,
    MIN_INSTANCES,
    Candidate,
    PoolState,
    large_excess_limit,
    wanted_instances,
)

__all__ = [
    "HEADROOM",
    "MIN_INSTANCES",
    "ArrivalForecast",
    "ArrivalMix",
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
