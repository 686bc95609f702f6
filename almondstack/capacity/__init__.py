"""How much each pool should have, and which instances move or are maintained for it."""

from almondstack.capacity.demand import ArrivalForecast, PoolNeed
from almondstack.capacity.maintenance import WaveMember, next_members
from almondstack.capacity.moves import (
    Candidate,
    Move,
    PoolState,
    gross_instances,
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
    "gross_instances",
    "next_members",
    "plan_moves",
    "wanted_instances",
]
