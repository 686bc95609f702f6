"""Plans the size of pools, the moves of instances between them, and the order of a wave."""

from almondstack.capacity.arrival_mix import ArrivalMix
from almondstack.capacity.demand import ArrivalForecast, PoolNeed
from almondstack.capacity.division import held_need
from almondstack.capacity.maintenance import WaveMember, next_members
from almondstack.capacity.moves import Move, plan_moves, target_sizes
from almondstack.capacity.paid_time import PaidInstance, PaidUse, paid_uses
from almondstack.capacity.pool_state import (
    HEADROOM,
    MIN_INSTANCES,
    Candidate,
    PoolState,
    large_excess_limit,
    wanted_instances,
)
from almondstack.capacity.target_hold import HeldNeed, TargetHold

__all__ = [
    "HEADROOM",
    "MIN_INSTANCES",
    "ArrivalForecast",
    "ArrivalMix",
    "Candidate",
    "Move",
    "HeldNeed",
    "PaidInstance",
    "PaidUse",
    "PoolNeed",
    "PoolState",
    "TargetHold",
    "WaveMember",
    "held_need",
    "large_excess_limit",
    "next_members",
    "paid_uses",
    "plan_moves",
    "target_sizes",
    "wanted_instances",
]
