"""Encoding of records of the platform's log: the envelope and the registry of kinds.

Explanation
-----------
A record has an author, a per-author sequence number and a kind.  The body stays
undecoded until the kind is looked up, so that a process can skip kinds that it
does not support.  Subpackages add kinds with :func:`register_record`.

Each kind belongs to a format level.  A record of a level that is not in force
is refused by processes of every version, whether or not they support the kind,
so that their states stay equal.  The fields and the meaning of a body never
change: a new form is a new kind of a new level.

See Also
--------
almondstack.fold : the deterministic function over these records.
"""

from collections.abc import Callable
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

from almondstack.core import DECODING_ERRORS, CodecError, decode_msgpack, encode_msgpack

__all__ = [
    "FORMAT_LEVEL",
    "REPEAT_WINDOW_RECORDS",
    "Envelope",
    "LogEntry",
    "RecordRegistry",
    "decode_body",
    "decode_envelope",
    "default_registry",
    "encode_record",
    "record_kind",
    "register_record",
]

FORMAT_LEVEL = 1
REPEAT_WINDOW_RECORDS = 8192
_MAX_AUTHOR_CHARACTERS = 200
_MAX_KIND_CHARACTERS = 64

R = TypeVar("R", bound=type)


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An encoded record and its offset in a stream.

    Parameters
    ----------
    offset : int
        Offset of the record in the stream.
    data : bytes
        Encoded record.
    """

    offset: int
    data: bytes


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Header fields of a record, and its encoded body.

    Parameters
    ----------
    level : int
        Format level that must be in force for the record to be accepted.
    author : str
        Incarnation or operator session that wrote it.
    sequence : int
        Number of the record among its author's, from 1; a record appended twice
        takes effect once.
    kind : str
        Kind of the record; selects the type of the body.
    body : msgspec.Raw
        The body, still encoded.
    base : int
        An offset that the author had folded when it wrote the record.  The
        record is refused more than ``REPEAT_WINDOW_RECORDS`` offsets later, so
        that the fold can remove its author from the state after that.
    """

    level: int
    author: Annotated[str, Meta(min_length=1, max_length=_MAX_AUTHOR_CHARACTERS)]
    sequence: Annotated[int, Meta(ge=1)]
    kind: Annotated[str, Meta(min_length=1, max_length=_MAX_KIND_CHARACTERS)]
    body: msgspec.Raw
    base: int = 0


class RecordRegistry:
    """Kinds of records that a process supports, with their types and format levels.

    Parameters
    ----------
    level : int
        Highest format level that the process supports.
    """

    __slots__ = ("_kinds", "_level", "_levels", "_types")

    def __init__(self, level: int) -> None:
        self._level = level
        self._types: dict[str, type] = {}
        self._kinds: dict[type, str] = {}
        self._levels: dict[str, int] = {}

    @property
    def level(self) -> int:
        """Highest format level that the process supports."""
        return self._level

    @property
    def kinds(self) -> frozenset[str]:
        """Names of the kinds that the process supports."""
        return frozenset(self._types)

    def add(self, kind: str, type_: type, level: int) -> None:
        """Register ``type_`` as the body of ``kind``."""
        self._types[kind] = type_
        self._kinds[type_] = kind
        self._levels[kind] = level

    def restricted(self, level: int) -> "RecordRegistry":
        """Return the registry of an older process that supports levels up to ``level`` only."""
        older = RecordRegistry(level)
        for kind, type_ in self._types.items():
            if self._levels[kind] <= level:
                older.add(kind, type_, self._levels[kind])
        return older

    def extended(self, level: int) -> "RecordRegistry":
        """Return a copy that supports ``level``, to which further kinds can be added."""
        newer = self.restricted(self._level)
        newer._level = level
        return newer

    def kind_of(self, type_: type) -> str:
        """Return the kind whose body is ``type_``."""
        return self._kinds[type_]

    def level_of(self, kind: str) -> int | None:
        """Return the level that ``kind`` belongs to, or None if it is unknown."""
        return self._levels.get(kind)

    def encode(self, author: str, sequence: int, body: Any, base: int = 0) -> bytes:
        """Return the bytes of a record."""
        kind = self._kinds[type(body)]
        raw = msgspec.Raw(encode_msgpack(body))
        level = self._levels[kind]
        return encode_msgpack(Envelope(level, author, sequence, kind, raw, base))

    def decode_body(self, envelope: Envelope) -> Any:
        """Decode the body of a record, or return None for an unknown kind.

        Raises
        ------
        CodecError
            The kind is known but the body is malformed.
        """
        type_ = self._types.get(envelope.kind)
        if type_ is None:
            return None
        try:
            return msgspec.msgpack.decode(envelope.body, type=type_)
        except DECODING_ERRORS as error:
            raise CodecError(str(error)) from error


_registry = RecordRegistry(FORMAT_LEVEL)


def default_registry() -> RecordRegistry:
    """Return the registry of the running version."""
    return _registry


def register_record(kind: str, level: int = 1) -> Callable[[R], R]:
    """Return a class decorator that registers a struct as the body of ``kind``."""

    def register(type_: R) -> R:
        _registry.add(kind, type_, level)
        return type_

    return register


def record_kind(type_: type) -> str:
    """Return the kind whose body is ``type_``."""
    return _registry.kind_of(type_)


def encode_record(author: str, sequence: int, body: Any, base: int = 0) -> bytes:
    """Return the bytes of a record; see :class:`Envelope` for ``base``."""
    return _registry.encode(author, sequence, body, base)


def decode_envelope(data: bytes) -> Envelope:
    """Decode the envelope of a record.

    Raises
    ------
    CodecError
        The bytes are not a valid envelope.
    """
    return decode_msgpack(data, Envelope)


def decode_body(envelope: Envelope) -> Any:
    """Decode the body of a record, or return None for an unknown kind.

    Raises
    ------
    CodecError
        The kind is known but the body is malformed.
    """
    return _registry.decode_body(envelope)
