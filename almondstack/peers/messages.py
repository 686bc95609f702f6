"""Messages that peers exchange."""

import msgspec

from almondstack.model import LogEntry, PermitCount
from almondstack.permits import PermitRequest, TransferTotals, TransferTotalsAck

__all__ = [
    "Ack",
    "Digest",
    "EncodedDigest",
    "PeerBody",
    "Ping",
    "RecordsPush",
    "Revoked",
    "RunningCount",
    "StatePart",
    "StateRequest",
    "TopicPayload",
]


class RunningCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests of a team that run on a pool through one entry."""

    pool: str
    team: str
    count: int


class TopicPayload(msgspec.Struct, frozen=True, array_like=True):
    """Data that another part of the entry attaches to the digest under a topic."""

    topic: str
    data: bytes


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """State that an incarnation publishes about itself by gossip.

    Parameters
    ----------
    incarnation, name, zone, address : str
        Names of the incarnation and its entry, its zone, and its peer address.
    version : int
        Increases with each digest of the incarnation.
    offset : int
        Next log offset that the entry will fold.
    is_log_reachable : bool
        True if the log service answered the entry recently.
    is_leaving : bool
        True if the entry is shutting down.
    running : tuple of RunningCount
        Requests that run through the entry.
    spare, wanted : tuple of PermitCount
        Permits that the entry can give, and its waiting calls, by resource.
    remarks : tuple of TopicPayload
        Data of other parts of the entry, such as health reports.
    """

    incarnation: str
    name: str
    zone: str
    address: str
    version: int
    offset: int
    is_log_reachable: bool
    is_leaving: bool = False
    running: tuple[RunningCount, ...] = ()
    spare: tuple[PermitCount, ...] = ()
    wanted: tuple[PermitCount, ...] = ()
    remarks: tuple[TopicPayload, ...] = ()


class EncodedDigest(msgspec.Struct, frozen=True, array_like=True):
    """An encoded digest with its version, so that receivers decode only newer ones."""

    incarnation: str
    version: int
    data: bytes


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="pi"):
    """Requests an :class:`Ack`; the sender's own digest comes first."""

    nonce: int
    digests: tuple[EncodedDigest, ...]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ac"):
    """Answers a ping; the sender's own digest comes first."""

    nonce: int
    digests: tuple[EncodedDigest, ...]


class RecordsPush(msgspec.Struct, frozen=True, array_like=True, tag="re"):
    """Log records for a peer that has not folded them yet."""

    entries: tuple[LogEntry, ...]


class Revoked(msgspec.Struct, frozen=True, array_like=True, tag="rv"):
    """Ids of revoked keys; their records may not be in the log yet."""

    key_ids: tuple[str, ...]


class StateRequest(msgspec.Struct, frozen=True, array_like=True, tag="sa"):
    """Requests the folded state; the parts are sent to ``address``."""

    address: str


class StatePart(msgspec.Struct, frozen=True, array_like=True, tag="sp"):
    """Part ``index`` of ``count`` of the encoded state at ``next_offset``."""

    next_offset: int
    index: int
    count: int
    data: bytes


PeerBody = (
    Ping
    | Ack
    | RecordsPush
    | Revoked
    | StateRequest
    | StatePart
    | PermitRequest
    | TransferTotals
    | TransferTotalsAck
)
