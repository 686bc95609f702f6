"""Fleet-wide bounds, split into permits that entries hold and use without coordination."""

from almondstack.model import bounds_of, is_rate, rate_bursts
from almondstack.permits.accounting import RecordSink
from almondstack.permits.contract import (
    Permits,
    ceiling_resource,
    rate_resource,
    slots_resource,
)
from almondstack.permits.escrow import EscrowPermits, PeerLink
from almondstack.permits.guard import StartGuard
from almondstack.permits.local import LocalPermits
from almondstack.permits.messages import PermitRequest, TransferTotals, TransferTotalsAck
from almondstack.permits.recovery import RecoveryProposer, gone_incarnations
from almondstack.permits.settings import GivePolicy, PermitSettings
from almondstack.permits.table import PermitTable

__all__ = [
    "EscrowPermits",
    "GivePolicy",
    "LocalPermits",
    "PeerLink",
    "PermitRequest",
    "PermitSettings",
    "PermitTable",
    "Permits",
    "RecordSink",
    "RecoveryProposer",
    "StartGuard",
    "TransferTotals",
    "TransferTotalsAck",
    "bounds_of",
    "ceiling_resource",
    "gone_incarnations",
    "is_rate",
    "rate_bursts",
    "rate_resource",
    "slots_resource",
]
