"""What processes say to the owner over HTTP, and its replies; MessagePack bodies."""

from enum import StrEnum

import msgspec

from almondstack.intake import Verdict
from almondstack.jobs import Submission

__all__ = [
    "CancelCall",
    "OwnerReply",
    "ReceiptReply",
    "RelayPath",
    "Sender",
    "SubmissionCall",
]


class RelayPath(StrEnum):
    """Where each kind of call goes."""

    SUBMISSION = "/v1/submissions"
    CANCEL = "/v1/cancels"


class Sender(msgspec.Struct, frozen=True, array_like=True):
    """Which process sends; see :class:`~almondstack.intake.Peer`."""

    incarnation: str
    cores: float
    store_age_s: float
    zone: str


class SubmissionCall(msgspec.Struct, frozen=True, array_like=True):
    """A job to hand in.

    Parameters
    ----------
    token : int
        Fencing token of the owner that is meant.
    timeout_ms : int
        How long the caller waits for the receipt, in milliseconds.
    job : str
        The job's id.
    submission : Submission
        What the caller asks for.
    read_offset : int
        Offset up to which the sender had read the log when the request came.
    sender : Sender
        The process that passes the request on.
    """

    token: int
    timeout_ms: int
    job: str
    submission: Submission
    read_offset: int
    sender: Sender


class CancelCall(msgspec.Struct, frozen=True, array_like=True):
    """A job to cancel; fields as in :class:`SubmissionCall`."""

    token: int
    timeout_ms: int
    job: str
    sender: Sender


class ReceiptReply(msgspec.Struct, frozen=True, array_like=True):
    """What became of a request; see :class:`~almondstack.intake.Receipt`."""

    verdict: Verdict
    late_ms: float = 0.0


class OwnerReply(msgspec.Struct, frozen=True, array_like=True):
    """Who owns the jobs now, as a process knows that is asked for another owner.

    Parameters
    ----------
    token : int
        The owner's fencing token; 0 if none is known.
    requests_address : str
        Where it takes requests; empty if it takes none.
    """

    token: int = 0
    requests_address: str = ""
