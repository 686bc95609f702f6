"""Fair queueing of waiting calls."""

from almondstack.queueing.expected_wait import ExpectedWait
from almondstack.queueing.placement import Placement
from almondstack.queueing.pool_queue import PoolQueue
from almondstack.queueing.run_times import RunTimeEstimator, RunTimes
from almondstack.queueing.scheduler import FairScheduler
from almondstack.queueing.settings import QueueingSettings
from almondstack.queueing.shares import max_min_shares
from almondstack.queueing.team_queue import TeamQueue
from almondstack.queueing.urgent import NoRelief, UrgentRelief
from almondstack.queueing.usage import FleetUsage, NoFleetUsage
from almondstack.queueing.waiting import Grant, WaitingCall, WaitingState

__all__ = [
    "ExpectedWait",
    "FairScheduler",
    "FleetUsage",
    "Grant",
    "NoFleetUsage",
    "NoRelief",
    "Placement",
    "PoolQueue",
    "QueueingSettings",
    "RunTimeEstimator",
    "RunTimes",
    "TeamQueue",
    "UrgentRelief",
    "WaitingCall",
    "WaitingState",
    "max_min_shares",
]
