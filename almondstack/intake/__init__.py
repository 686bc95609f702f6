"""Job requests of callers (submit, cancel, look up), which every process serves."""

from almondstack.intake.errors import OwnerError, OwnerNotReachedError, OwnerUnclearError
from almondstack.intake.ports import OwnerPort, StoreReader
from almondstack.intake.requests import (
    CancelRequest,
    OwnerRequest,
    OwnerRequests,
    Peer,
    SubmissionRequest,
)
from almondstack.intake.service import JobService
from almondstack.intake.verdicts import Receipt, Verdict

__all__ = [
    "CancelRequest",
    "JobService",
    "OwnerError",
    "OwnerNotReachedError",
    "OwnerPort",
    "OwnerRequest",
    "OwnerRequests",
    "OwnerUnclearError",
    "Peer",
    "Receipt",
    "StoreReader",
    "SubmissionRequest",
    "Verdict",
]
