"""How much each pool should have, and which instances move or are maintained for it."""

from almondstack.capacity.demand import ArrivalRate, PoolNeed
from almondstack.capacity.maintenance import WaveMember, next_members
from almondstack.capacity.moves import (
    Candidate,
    Move,
    PoolState,
    plan_moves,
    wanted_instances,
)

__all__ = [
    "ArrivalRate",
    "Candidate",
    "Move",
    "PoolNeed",
    "PoolState",
    "WaveMember",
    "next_members",
    "plan_moves",
    "wanted_instances",
]
