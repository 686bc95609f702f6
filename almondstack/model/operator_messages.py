"""Messages between the operators' program and an entry, as JSON over HTTP.

Explanation
-----------
``GET /statusz`` returns the fields of :class:`EntryStatus`, and others that the
operators' program ignores.  ``POST /v1/operator/revocations`` takes a
:class:`RevocationRequest` and returns a :class:`RevocationReply`.  The proof is
an HMAC (RFC 2104) with SHA-256 of the key's id under the operators' token.  A
replay does no harm, since a revocation only removes a key.
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

_PROOF_PREFIX = b"almondstack revocation\0"


class EntryStatus(msgspec.Struct, frozen=True):
    """Status that an entry reports.

    Parameters
    ----------
    next_offset, revision : int
        Offset of the next record to fold, and revision of the configuration.
    incarnation, zone : str
        Incarnation of the entry, and its zone.
    is_cut_off : bool
        True if the entry reaches neither the platform nor another zone.
    """

    next_offset: int
    revision: int
    incarnation: str = ""
    zone: str = ""
    is_cut_off: bool = False


class RevocationRequest(msgspec.Struct, frozen=True):
    """Request to an entry to refuse a key immediately."""

    key_id: str
    proof: str


class RevocationReply(msgspec.Struct, frozen=True):
    """Confirmation that the entry now refuses the key."""

    key_id: str
    incarnation: str = ""


def revocation_proof(token: str, key_id: str) -> str:
    """Return the HMAC that authenticates the revocation of ``key_id``, in hexadecimal.

    Examples
    --------
    >>> from almondstack.model.operator_messages import is_right_proof, revocation_proof
    >>> is_right_proof("token", "k1", revocation_proof("token", "k1"))
    True
    >>> is_right_proof("token", "k2", revocation_proof("token", "k1"))
    False
    """
    return hmac.new(token.encode(), _PROOF_PREFIX + key_id.encode(), hashlib.sha256).hexdigest()


def is_right_proof(token: str, key_id: str, proof: str) -> bool:
    """Check a proof in constant time; False if no token is set."""
    expected = revocation_proof(token, key_id)
    return bool(token) and hmac.compare_digest(expected.encode(), proof.encode())
