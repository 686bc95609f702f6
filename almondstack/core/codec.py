"""Encodes and decodes MessagePack and JSON with msgspec; raises typed errors."""

from typing import Any, TypeVar

import msgspec

from almondstack.core.errors import CodecError

__all__ = ["decode_json", "decode_msgpack", "encode_json", "encode_msgpack"]

T = TypeVar("T")

_encoder = msgspec.msgpack.Encoder()
_json_encoder = msgspec.json.Encoder()


def encode_msgpack(value: Any) -> bytes:
    """Return ``value`` as MessagePack bytes."""
    return _encoder.encode(value)


def encode_json(value: Any) -> bytes:
    """Return ``value`` as JSON bytes."""
    return _json_encoder.encode(value)


def decode_msgpack(data: bytes, type_: type[T]) -> T:
    """Decode MessagePack bytes.

    Raises
    ------
    CodecError
        The bytes do not decode to ``type_``.

    Examples
    --------
    >>> from almondstack.core import decode_msgpack, encode_msgpack
    >>> decode_msgpack(encode_msgpack([1, 2]), list[int])
    [1, 2]
    """
    try:
        return msgspec.msgpack.decode(data, type=type_)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(str(error)) from error


def decode_json(data: bytes, type_: type[T]) -> T:
    """Decode JSON bytes.

    Raises
    ------
    CodecError
        The bytes do not decode to ``type_``; the message names the path of the invalid field.
    """
    try:
        return msgspec.json.decode(data, type=type_)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(str(error)) from error
