"""Assigns waiting tasks to workers: pure decisions without network, clock or threads."""

from almondstack.placement.choosing import (
    choose_for_gang,
    choose_worker,
    has_room,
    is_eligible,
)
from almondstack.placement.disturbance_preference import DisturbancePreference
from almondstack.placement.entitlements import AccountDemand, Entitlements, divide_fairly
from almondstack.placement.interference import Interference
from almondstack.placement.order import objective_s, rank_of
from almondstack.placement.policies import AccountPolicy, AdvicePolicy, Policies, QueuePolicy
from almondstack.placement.resources import Resources, demand_of
from almondstack.placement.rounds import Assignment, PoolRound, Usage
from almondstack.placement.run_times import RunTimes, is_run_time_sample
from almondstack.placement.worker_speed import WorkerSpeeds
from almondstack.placement.workers import Worker, WorkerInfo

__all__ = [
    "AccountDemand",
    "AccountPolicy",
    "AdvicePolicy",
    "Assignment",
    "DisturbancePreference",
    "Interference",
    "Entitlements",
    "Policies",
    "PoolRound",
    "QueuePolicy",
    "Resources",
    "RunTimes",
    "Usage",
    "Worker",
    "WorkerInfo",
    "WorkerSpeeds",
    "choose_for_gang",
    "choose_worker",
    "demand_of",
    "divide_fairly",
    "has_room",
    "is_eligible",
    "objective_s",
    "rank_of",
    "is_run_time_sample",
]
