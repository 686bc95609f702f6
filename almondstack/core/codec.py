"""Encodes and decodes MessagePack and JSON with msgspec; raises typed errors."""

from typing import Any, Protocol, TypeVar

import msgspec

from almondstack.core.errors import CodecError

__all__ = [
    "DECODING_ERRORS",
    "decode_json",
    "decode_msgpack",
    "decode_with",
    "encode_json",
    "encode_msgpack",
]

T = TypeVar("T")
T_co = TypeVar("T_co", covariant=True)


class _Decoder(Protocol[T_co]):
    """A decoder of msgspec, for JSON or MessagePack."""

    def decode(self, data: bytes, /) -> T_co:
        """Decode bytes to the decoder's type."""
        ...


DECODING_ERRORS = (ValueError, RecursionError, OverflowError)
"""What a decoder raises for bytes that it can't read.  The errors of msgspec and bytes that are not
UTF-8 are a ``ValueError``; values that are nested too deep give a ``RecursionError``."""

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
    except DECODING_ERRORS as error:
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
    except DECODING_ERRORS as error:
        raise CodecError(str(error)) from error


def decode_with(decoder: _Decoder[T], data: bytes) -> T:
    """Decode bytes that another program has written.

    Parameters
    ----------
    decoder : msgspec.json.Decoder or msgspec.msgpack.Decoder
        Decodes the bytes, and determines the type of the result.
    data : bytes
        The bytes, which may be anything.

    Raises
    ------
    CodecError
        The bytes can't be decoded, for whatever reason.

    Examples
    --------
    >>> decode_with(msgspec.json.Decoder(list[int]), b"[" * 5_000)
    Traceback (most recent call last):
        ...
    almondstack.core.errors.CodecError: codec: ...
    """
    try:
        return decoder.decode(data)
    except DECODING_ERRORS as error:
        raise CodecError(str(error)) from error
