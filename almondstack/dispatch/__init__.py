"""Dispatch of admitted calls: upstream selection, sending, retries and health checks."""

from almondstack.dispatch.call import Body, BufferedBody, Call, UpstreamResponse
from almondstack.dispatch.connections import ConnectionPool, UpstreamConnection
from almondstack.dispatch.departures import DepartureTracker, LeavingList, NoLeavingList
from almondstack.dispatch.failures import BrokenExchangeError, NotSentError
from almondstack.dispatch.fair import FairDispatcher
from almondstack.dispatch.first_come import FirstComeDispatcher
from almondstack.dispatch.grant_holder import GrantHolder
from almondstack.dispatch.headers import end_to_end_headers
from almondstack.dispatch.health import HealthReport, HealthTracker
from almondstack.dispatch.probing import Prober, prober_rank
from almondstack.dispatch.retries import AttemptHistory, FailedAttempt, RetryBudget, RetryPolicy
from almondstack.dispatch.settings import (
    ConnectionSettings,
    DispatchSettings,
    HealthSettings,
    ProbeSettings,
    RetrySettings,
)
from almondstack.dispatch.upstream_chooser import UpstreamChooser

__all__ = [
    "AttemptHistory",
    "Body",
    "BrokenExchangeError",
    "BufferedBody",
    "Call",
    "ConnectionPool",
    "ConnectionSettings",
    "DepartureTracker",
    "DispatchSettings",
    "FailedAttempt",
    "FairDispatcher",
    "FirstComeDispatcher",
    "GrantHolder",
    "HealthReport",
    "HealthSettings",
    "HealthTracker",
    "LeavingList",
    "NoLeavingList",
    "NotSentError",
    "ProbeSettings",
    "Prober",
    "RetryBudget",
    "RetryPolicy",
    "RetrySettings",
    "UpstreamChooser",
    "UpstreamConnection",
    "UpstreamResponse",
    "end_to_end_headers",
    "prober_rank",
]
