"""Planning of a fleet: maintenance waves, moves, the spare buffer and relief for urgent work."""

from almondstack.fleet.acts import is_safe_now, needed_act, needed_acts
from almondstack.fleet.buffer import (
    BufferPlan,
    Demand,
    demand_of,
    need_of_domain,
    plan_buffer,
)
from almondstack.fleet.estimates import DrainEstimates, TimeEstimate
from almondstack.fleet.forecast import remaining_s
from almondstack.fleet.moves import break_even_s, next_moves
from almondstack.fleet.observations import Observations
from almondstack.fleet.planner import Planner, Proposal
from almondstack.fleet.ranks import keeper_names, rank_of
from almondstack.fleet.relief import choose_relief, team_excess
from almondstack.fleet.schedule import due_times, hashed_due_times
from almondstack.fleet.settings import FleetSettings
from almondstack.fleet.tracker import FleetTracker
from almondstack.fleet.view import FleetView
from almondstack.fleet.waves import next_wave_changes, next_wave_drains, wave_hold_reason

__all__ = [
    "BufferPlan",
    "Demand",
    "choose_relief",
    "demand_of",
    "need_of_domain",
    "plan_buffer",
    "remaining_s",
    "team_excess",
    "DrainEstimates",
    "FleetSettings",
    "FleetTracker",
    "FleetView",
    "Observations",
    "Planner",
    "Proposal",
    "TimeEstimate",
    "break_even_s",
    "due_times",
    "hashed_due_times",
    "is_safe_now",
    "keeper_names",
    "needed_act",
    "needed_acts",
    "next_moves",
    "next_wave_changes",
    "next_wave_drains",
    "rank_of",
    "wave_hold_reason",
]
