"""Decisions about the fleet: waves, moves, buffer and relief."""

from almondstack.fleet.acts import needed_act, needed_acts
from almondstack.fleet.estimates import DrainEstimates, TimeEstimate
from almondstack.fleet.moves import break_even_s, next_moves
from almondstack.fleet.observations import Observations
from almondstack.fleet.planner import Planner, Proposal
from almondstack.fleet.ranks import keeper_names, rank_of
from almondstack.fleet.schedule import due_times, hashed_due_times
from almondstack.fleet.settings import FleetSettings
from almondstack.fleet.tracker import FleetTracker
from almondstack.fleet.view import FleetView
from almondstack.fleet.waves import next_wave_changes, next_wave_drains, wave_hold_reason

__all__ = [
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
    "keeper_names",
    "needed_act",
    "needed_acts",
    "next_moves",
    "next_wave_changes",
    "next_wave_drains",
    "rank_of",
    "wave_hold_reason",
]
