"""Admission control and fair queueing of calls."""

from almondstack.queueing.placement import Placement
from almondstack.queueing.pool_queue import PoolQueue
from almondstack.queueing.run_times import RunTimeEstimator, RunTimes
from almondstack.queueing.scheduler import FairScheduler
from almondstack.queueing.settings import QueueingSettings
from almondstack.queueing.shares import max_min_shares
from almondstack.queueing.slot_requester import NoSlotRequester, SlotRequester
from almondstack.queueing.team_queue import TeamQueue
from almondstack.queueing.usage import FleetUsage, NoFleetUsage
from almondstack.queueing.wait_estimator import WaitEstimator
from almondstack.queueing.waiting import Grant, WaitingCall, WaitingState

__all__ = [
    "FairScheduler",
    "FleetUsage",
    "Grant",
    "NoFleetUsage",
    "NoSlotRequester",
    "Placement",
    "PoolQueue",
    "QueueingSettings",
    "RunTimeEstimator",
    "RunTimes",
    "SlotRequester",
    "TeamQueue",
    "WaitEstimator",
    "WaitingCall",
    "WaitingState",
    "max_min_shares",
]
