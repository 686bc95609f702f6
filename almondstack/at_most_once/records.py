"""Record format of the claims stream.

Explanation
-----------
A claim identifies a request id by its team and its UUID, so that no team can
claim the ids of another.  One record contains all claims and releases that an
entry has collected within ``batch_window_s``.
"""

import uuid

import msgspec

from almondstack.core import CodecError, decode_msgpack, encode_msgpack

__all__ = ["Claim", "ClaimBatch", "ClaimKey", "claim_key", "decode_batch", "encode_batch"]

CLAIMS_LEVEL = 1


class ClaimKey(msgspec.Struct, frozen=True, array_like=True):
    """Key of a claim: a request id of one team.

    Parameters
    ----------
    team : str
        Team that sent the request.
    id_bytes : bytes
        The 16 bytes of the UUIDv7.
    """

    team: str
    id_bytes: bytes

    @property
    def created_ms(self) -> int:
        """Creation time of the id, in milliseconds since 1970 (RFC 9562)."""
        return int.from_bytes(self.id_bytes[:6], "big")


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """One claim, with a serial number of its author."""

    key: ClaimKey
    serial: int


class ClaimBatch(msgspec.Struct, frozen=True, array_like=True):
    """Claims and releases of one author.

    Parameters
    ----------
    level : int
        Format level; readers skip batches above their own.
    author : str
        Incarnation that will run the claimed requests.
    written_ms : int
        Wall-clock time of the author at writing, in milliseconds since 1970.
    claims : list of Claim
        Applied in order; the first claim of a key wins.
    releases : list of Claim
        Claims of this author whose request has not run and never will.
    """

    level: int
    author: str
    written_ms: int
    claims: list[Claim]
    releases: list[Claim]


def claim_key(team: str, request_id: str) -> ClaimKey:
    """Return the key of a request id, which must be a UUID."""
    return ClaimKey(team, uuid.UUID(request_id).bytes)


def encode_batch(batch: ClaimBatch) -> bytes:
    """Encode a record of the claims stream."""
    return encode_msgpack(batch)


def decode_batch(data: bytes) -> ClaimBatch:
    """Decode a record of the claims stream.

    Raises
    ------
    CodecError
        The bytes are not a batch, or its format level is not supported.
    """
    batch = decode_msgpack(data, ClaimBatch)
    if batch.level > CLAIMS_LEVEL:
        raise CodecError(
            f"claims level {batch.level} is not supported; the highest is {CLAIMS_LEVEL}"
        )
    return batch
