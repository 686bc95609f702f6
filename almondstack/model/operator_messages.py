"""Messages between the operators' program and an entry, as JSON over HTTP.

Explanation
-----------
``GET /statusz`` answers with the fields of :class:`EntryStatus`, beside others
that the operators' program ignores.  ``POST /v1/operator/revocations`` takes a
:class:`RevocationRequest` and answers with a :class:`RevocationReply`.  The
proof is an HMAC (RFC 2104) with SHA-256 of the key's id under the operators'
token; since a revocation only removes, a replay does no harm.
"""

import hashlib
import hmac

import msgspec

__all__ = [
    "REVOCATIONS_PATH",
    "STATUS_PATH",
    "EntryStatus",
    "RevocationReply",
    "RevocationRequest",
    "is_right_proof",
    "revocation_proof",
]

STATUS_PATH = "/statusz"
REVOCATIONS_PATH = "/v1/operator/revocations"

_PURPOSE = b"almondstack revocation\0"


class EntryStatus(msgspec.Struct, frozen=True):
    """What an entry says about itself.

    Parameters
    ----------
    next_offset, revision : int
        How far it has folded the log.
    incarnation, zone : str
        Who it is and where it stands.
    is_cut_off : bool
        True if it reaches neither the platform nor another zone.
    """

    next_offset: int
    revision: int
    incarnation: str = ""
    zone: str = ""
    is_cut_off: bool = False


class RevocationRequest(msgspec.Struct, frozen=True):
    """Asks an entry to refuse a key at once."""

    key_id: str
    proof: str


class RevocationReply(msgspec.Struct, frozen=True):
    """The entry refuses the key from now on."""

    key_id: str
    incarnation: str = ""


def revocation_proof(token: str, key_id: str) -> str:
    """Return the proof that an operator asks for the revocation of ``key_id``.

    Examples
    --------
    >>> from almondstack.model.operator_messages import is_right_proof, revocation_proof
    >>> is_right_proof("token", "k1", revocation_proof("token", "k1"))
    True
    >>> is_right_proof("token", "k2", revocation_proof("token", "k1"))
    False
    """
    return hmac.new(token.encode(), _PURPOSE + key_id.encode(), hashlib.sha256).hexdigest()


def is_right_proof(token: str, key_id: str, proof: str) -> bool:
    """Check a proof in constant time; False if no token is set."""
    expected = revocation_proof(token, key_id)
    return bool(token) and hmac.compare_digest(expected.encode(), proof.encode())
