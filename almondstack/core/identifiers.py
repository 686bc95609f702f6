"""Creates and parses request ids, incarnations and keys.

Explanation
-----------
A request id is a UUIDv7 (RFC 9562, section 5.7): its first 48 bits are
milliseconds since 1970.  An incarnation identifies a process of an
instance from its start to its exit.  A key is ``ID.SECRET``; only its SHA-256
digest is ever stored.
"""

import hashlib
import hmac
import secrets
import uuid

import uuid6

from almondstack.core.errors import CodecError

__all__ = [
    "hash_secret",
    "is_same_digest",
    "new_incarnation",
    "new_key",
    "new_request_id",
    "request_id_time_s",
    "split_key",
]

_UUID_VERSION = 7
_SECRET_BYTES = 24


def new_request_id() -> str:
    """Return a new UUIDv7."""
    return str(uuid6.uuid7())


def request_id_time_s(text: str) -> float:
    """Return the time of creation of a UUIDv7, in seconds since 1970.

    Raises
    ------
    CodecError
        ``text`` is not a UUIDv7 in canonical form.

    Examples
    --------
    >>> from almondstack.core import request_id_time_s
    >>> request_id_time_s("01890a5d-ac96-774b-bcce-b302099a8057")
    1688096058.518
    """
    try:
        value = uuid.UUID(text)
    except ValueError as error:
        raise CodecError("not a UUID") from error
    if str(value) != text.lower() or value.version != _UUID_VERSION:
        raise CodecError("not a UUIDv7 in canonical form")
    return (value.int >> 80) / 1000


def new_incarnation(name: str) -> str:
    """Return a new identifier for the process that starts on instance ``name``."""
    return f"{name}~{secrets.token_hex(6)}"


def new_key(key_id: str) -> str:
    """Return a new key whose public part is ``key_id``."""
    return f"{key_id}.{secrets.token_urlsafe(_SECRET_BYTES)}"


def split_key(key: str) -> tuple[str, str]:
    """Split a key into its public id and its secret.

    Raises
    ------
    CodecError
        The key does not have the form ``ID.SECRET``.
    """
    key_id, separator, secret = key.partition(".")
    if not separator or not key_id or not secret:
        raise CodecError("not a key")
    return key_id, secret


def hash_secret(secret: str) -> str:
    """Return the SHA-256 digest of a secret in hexadecimal."""
    return hashlib.sha256(secret.encode()).hexdigest()


def is_same_digest(first: str, second: str) -> bool:
    """Return True if two digests are equal; takes constant time."""
    return hmac.compare_digest(first.encode(), second.encode())
