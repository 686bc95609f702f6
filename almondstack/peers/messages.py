"""What peers tell one another."""

import msgspec

from almondstack.model import LogEntry, PermitCount
from almondstack.permits import PermitRequest, TransferTotals, TransferTotalsAck

__all__ = [
    "Ack",
    "Digest",
    "PeerBody",
    "Ping",
    "RecordsPush",
    "Remark",
    "Revoked",
    "RunningCount",
    "SealedDigest",
    "StateAsk",
    "StatePart",
]


class RunningCount(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a team that run on a pool through one entry."""

    pool: str
    team: str
    count: int


class Remark(msgspec.Struct, frozen=True, array_like=True):
    """Bytes of another part of the entry, by topic."""

    topic: str
    data: bytes


class Digest(msgspec.Struct, frozen=True, array_like=True):
    """What an incarnation says of itself.

    Parameters
    ----------
    incarnation, name, zone, address : str
        Who it is and where peers reach it.
    version : int
        Rises with each change.
    offset : int
        Next offset of the log that it will fold.
    is_log_reachable : bool
        True if the log service answers it.
    is_leaving : bool
        True if it shuts down.
    running : tuple of RunningCount
        What runs through it.
    spare, wanted : tuple of PermitCount
        Permits that it can give, and calls that wait, by resource.
    remarks : tuple of Remark
        For other parts.
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
    remarks: tuple[Remark, ...] = ()


class SealedDigest(msgspec.Struct, frozen=True, array_like=True):
    """An encoded digest, so that one that is already known is not decoded."""

    incarnation: str
    version: int
    data: bytes


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="pi"):
    """Asks for a sign of life; the sender's own digest comes first."""

    nonce: int
    digests: tuple[SealedDigest, ...]


class Ack(msgspec.Struct, frozen=True, array_like=True, tag="ac"):
    """Answers a ping; the sender's own digest comes first."""

    nonce: int
    digests: tuple[SealedDigest, ...]


class RecordsPush(msgspec.Struct, frozen=True, array_like=True, tag="re"):
    """Records of the log, for a peer that is behind."""

    entries: tuple[LogEntry, ...]


class Revoked(msgspec.Struct, frozen=True, array_like=True, tag="rv"):
    """Ids of keys that were revoked, perhaps not yet in the log."""

    key_ids: tuple[str, ...]


class StateAsk(msgspec.Struct, frozen=True, array_like=True, tag="sa"):
    """Asks for the folded state; answered to ``address``."""

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
    | StateAsk
    | StatePart
    | PermitRequest
    | TransferTotals
    | TransferTotalsAck
)
