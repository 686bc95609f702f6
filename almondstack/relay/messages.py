"""Messages between processes and the owner: MessagePack bodies of HTTP requests and replies."""

from enum import StrEnum
from typing import Annotated

import msgspec

from almondstack.intake import Verdict
from almondstack.jobs import Submission

__all__ = [
    "MAX_TIMEOUT_MS",
    "CancelCall",
    "OwnerReply",
    "ReceiptReply",
    "RelayPath",
    "Sender",
    "SubmissionCall",
]


_Name = Annotated[str, msgspec.Meta(max_length=1_000)]
MAX_TIMEOUT_MS = 10_000
"""Longest time for which a call may wait; several times the deadline of a caller's request."""

_TimeoutMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMEOUT_MS)]


class RelayPath(StrEnum):
    """HTTP path of each kind of call."""

    SUBMISSION = "/v1/submissions"
    CANCEL = "/v1/cancels"


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """The process that sends a call; fields as in :class:`~almondstack.intake.Peer`."""

    incarnation: _Name
    cores: float
    store_age_s: float
    zone: _Name


class SubmissionCall(msgspec.Struct, frozen=True, array_like=True):
    """A call to submit a job.

    Parameters
    ----------
    token : int
        Fencing token of the owner that the call is for.
    timeout_ms : int
        How long the sender waits for the receipt, in milliseconds; 10,000 at most.
    job : str
        The job's id.
    submission : Submission
        What the caller submits.
    read_offset : int
        Offset up to which the sender had read the log when it received the request.
    sender : Sender
        The process that forwards the request.
    """

    token: int
    timeout_ms: _TimeoutMs
    job: str
    submission: Submission
    read_offset: int
    sender: Sender


class CancelCall(msgspec.Struct, frozen=True, array_like=True):
    """A call to cancel a job; fields as in :class:`SubmissionCall`."""

    token: int
    timeout_ms: _TimeoutMs
    job: str
    sender: Sender


class ReceiptReply(msgspec.Struct, frozen=True, array_like=True):
    """Reply to an accepted call; fields as in :class:`~almondstack.intake.Receipt`."""

    verdict: Verdict
    late_ms: float = 0.0
    retry_s: int = 0


class OwnerReply(msgspec.Struct, frozen=True, array_like=True):
    """The current owner, in the 409 reply of a process that is not the owner called.

    Parameters
    ----------
    token : int
        The owner's fencing token; 0 if no owner is known.
    requests_address : str
        Address at which the owner accepts requests; empty if it accepts none.
    """

    token: int = 0
    requests_address: str = ""
