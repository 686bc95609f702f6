"""How much each pool should have, and which instances move or are maintained for it."""

from almondstack.capacity.demand import ArrivalForecast, PoolNeed
from almondstack.capacity.maintenance import WaveMember, next_members
from almondstack.capacity.moves import (
    Candidate,
    Move,
    PoolState,
    plan_moves,
    wanted_instances,
)

__all__ = [
    "ArrivalForecast",
    "Candidate",
    "Move",
    "PoolNeed",
    "PoolState",
    "WaveMember",
    "next_members",
    "plan_moves",
    "wanted_instances",
]
