"""Records of the platform's log: the envelope and the registry of kinds.

Explanation
-----------
A record names its author, a per-author sequence number, and a kind.  The body
stays undecoded until the kind is looked up, so that a reader skips kinds that
it does not know.  Subpackages add kinds with :func:`register_record`.

See Also
--------
almondstack.fold : the deterministic function over these records.
"""

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from almondstack.core import CodecError, decode_msgpack, encode_msgpack

__all__ = [
    "FORMAT_LEVEL",
    "Envelope",
    "decode_body",
    "decode_envelope",
    "encode_record",
    "record_kind",
    "register_record",
]

FORMAT_LEVEL = 1

R = TypeVar("R", bound=type)

_types_by_kind: dict[str, type] = {}
_kinds_by_type: dict[type, str] = {}


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What surrounds every record.

    Parameters
    ----------
    level : int
        Format level that a reader must have to judge the record.
    author : str
        Incarnation or operator session that wrote it.
    sequence : int
        Counts the author's records from 1; a repeat is folded once.
    kind : str
        Names the type of the body.
    body : msgspec.Raw
        The body, still encoded.
    """

    level: int
    author: str
    sequence: int
    kind: str
    body: msgspec.Raw


def register_record(kind: str) -> Callable[[R], R]:
    """Return a class decorator that makes a struct the body of ``kind``."""

    def register(type_: R) -> R:
        _types_by_kind[kind] = type_
        _kinds_by_type[type_] = kind
        return type_

    return register


def record_kind(type_: type) -> str:
    """Return the kind whose body is ``type_``."""
    return _kinds_by_type[type_]


def encode_record(author: str, sequence: int, body: Any) -> bytes:
    """Return the bytes of a record."""
    kind = _kinds_by_type[type(body)]
    raw = msgspec.Raw(encode_msgpack(body))
    return encode_msgpack(Envelope(FORMAT_LEVEL, author, sequence, kind, raw))


def decode_envelope(data: bytes) -> Envelope:
    """Decode the envelope of a record.

    Raises
    ------
    CodecError
        The bytes are no record.
    """
    return decode_msgpack(data, Envelope)


def decode_body(envelope: Envelope) -> Any:
    """Decode the body of a record, or return None for an unknown kind.

    Raises
    ------
    CodecError
        The kind is known but the body is malformed.
    """
    type_ = _types_by_kind.get(envelope.kind)
    if type_ is None:
        return None
    try:
        return msgspec.msgpack.decode(envelope.body, type=type_)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(str(error)) from error
