"""Bodies of requests, decoded while they arrive and held up to a limit.

Explanation
-----------
A body takes what is buffered and never waits.  It holds its decoded bytes only; the framing of
chunks (RFC 9112, section 7.1) and trailers are read and dropped, both up to a limit.
"""

import re
from enum import Enum, auto
from typing import Protocol

from almondstack.core.byte_budget import ByteBudget
from almondstack.core.socket_files import ReceiveBuffer

__all__ = ["BodyFault", "BodyLimits", "ChunkedBody", "KnownLengthBody", "RequestBody"]

_FREE_BYTES = 16_384
"""First bytes of each body, which the budget does not count: small requests are served while
large ones fill it."""

_FRAMING_FACTOR = 8
"""Bytes of framing for each byte of a chunked body, at most; chunks of one byte need 5."""

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}")
_SIZE_LINE = re.compile(rb"[ \t\r\v\f]*([0-9A-Fa-f]{1,16})[ \t\r\v\f]*(?:;[^\n]*)?\r\n")
_CRLF = b"\r\n"


class BodyFault(Enum):
    """Why a body was not read to its end."""

    TOO_LARGE = auto()
    MALFORMED = auto()
    NOT_HELD = auto()


class BodyLimits:
    """Limits on one body.

    Parameters
    ----------
    max_bytes : int
        Longest body, in bytes.
    max_line_bytes : int
        Longest line before a chunk, and length of all trailers together, in bytes.
    budget : ByteBudget
        Bounds the bytes that all bodies hold.
    """

    __slots__ = ("budget", "max_bytes", "max_line_bytes")

    def __init__(self, max_bytes: int, max_line_bytes: int, budget: ByteBudget) -> None:
        self.max_bytes = max_bytes
        self.max_line_bytes = max_line_bytes
        self.budget = budget


class RequestBody(Protocol):
    """Body of a request.

    Attributes
    ----------
    fault : BodyFault or None
        Why the body is not read any further.
    is_ended : bool
        Whether the body was read to its end.
    """

    fault: BodyFault | None
    is_ended: bool

    @property
    def is_settled(self) -> bool:
        """Whether nothing more of the body will be read."""

    @property
    def content(self) -> bytes:
        """The decoded bytes; empty after a fault."""

    def take(self, buffer: ReceiveBuffer) -> None:
        """Read what is buffered of the body."""

    def release(self) -> None:
        """Drop the decoded bytes."""


class _HeldBody:
    """Holds decoded bytes within the limits; base class of the bodies."""

    __slots__ = ("_content", "_limits", "_reserved_bytes", "fault", "is_ended")

    def __init__(self, limits: BodyLimits) -> None:
        self._limits = limits
        self._content = bytearray()
        self._reserved_bytes = 0
        self.fault: BodyFault | None = None
        self.is_ended = False

    @property
    def is_settled(self) -> bool:
        """Whether nothing more of the body will be read."""
        return self.is_ended or self.fault is not None

    @property
    def content(self) -> bytes:
        """The decoded bytes; empty after a fault."""
        return bytes(self._content)

    def release(self) -> None:
        """Drop the decoded bytes."""
        self._content = bytearray()
        self._limits.budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _hold(self, data: bytes) -> None:
        missing = len(self._content) + len(data) - _FREE_BYTES - self._reserved_bytes
        if missing > 0 and not self._reserve(missing):
            self._fail(BodyFault.NOT_HELD)
            return
        self._content += data

    def _reserve(self, size: int) -> bool:
        is_reserved = self._limits.budget.reserve(size)
        if is_reserved:
            self._reserved_bytes += size
        return is_reserved

    def _fail(self, fault: BodyFault) -> None:
        self.fault = fault
        self.release()


class KnownLengthBody(_HeldBody):
    """A body framed by Content-Length.

    Parameters
    ----------
    length : int
        Announced length in bytes; a body that is announced as too long is not read.
    limits : BodyLimits
        Limits on the body.

    Examples
    --------
    >>> KnownLengthBody(11, BodyLimits(10, 100, ByteBudget(10))).fault.name
    'TOO_LARGE'
    """

    __slots__ = ("_remaining",)

    def __init__(self, length: int, limits: BodyLimits) -> None:
        super().__init__(limits)
        self._remaining = length
        self.is_ended = length == 0
        if not 0 <= length <= limits.max_bytes:
            self._fail(BodyFault.TOO_LARGE)

    def take(self, buffer: ReceiveBuffer) -> None:
        """Read what is buffered of the body."""
        if self.is_settled:
            return
        data = buffer.read(self._remaining)
        self._remaining -= len(data)
        self._hold(data)
        self.is_ended = self._remaining == 0 and self.fault is None


class _Stage(Enum):
    SIZE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILERS = auto()


class ChunkedBody(_HeldBody):
    """A body in the chunked transfer coding.

    Parameters
    ----------
    limits : BodyLimits
        Limits on the body.
    """

    __slots__ = ("_chunk_remaining", "_framing_remaining", "_stage", "_trailers_remaining")

    def __init__(self, limits: BodyLimits) -> None:
        super().__init__(limits)
        self._stage = _Stage.SIZE
        self._chunk_remaining = 0
        self._framing_remaining = limits.max_bytes * _FRAMING_FACTOR + limits.max_line_bytes
        self._trailers_remaining = limits.max_line_bytes

    def take(self, buffer: ReceiveBuffer) -> None:
        """Read what is buffered of the body."""
        is_advanced = True
        while is_advanced and not self.is_settled:
            if self._stage is _Stage.SIZE:
                self._take_whole_chunks(buffer)
            is_advanced = self._take_step(buffer)

    def _take_step(self, buffer: ReceiveBuffer) -> bool:
        """Read data of a chunk or one line; return False if more must arrive for that."""
        if self.is_settled:
            return False
        return self._take_data(buffer) if self._stage is _Stage.DATA else self._take_line(buffer)

    def _take_whole_chunks(self, buffer: ReceiveBuffer) -> None:
        """Read the chunks in front that are buffered whole and inside the limits.

        Explanation
        -----------
        Spares calls for each chunk when chunks are short.  Whatever is not plain stays buffered.
        """
        data = buffer.peek()
        room = self._limits.max_bytes - len(self._content)
        pieces = []
        position = 0
        while line := _SIZE_LINE.match(data, position):
            start = line.end()
            size = int(line[1], 16)
            end = start + size
            if start - position > self._limits.max_line_bytes:
                break
            if not 0 < size <= room or not data.startswith(_CRLF, end):
                break
            pieces.append(data[start:end])
            room -= size
            position = end + len(_CRLF)
        if position:
            buffer.skip(position)
            self._hold_chunks(b"".join(pieces), position)

    def _hold_chunks(self, data: bytes, size: int) -> None:
        """Hold the data of whole chunks that took ``size`` bytes with their framing."""
        self._framing_remaining -= size - len(data)
        if self._framing_remaining < 0:
            self._fail(BodyFault.TOO_LARGE)
            return
        self._hold(data)

    def _take_data(self, buffer: ReceiveBuffer) -> bool:
        data = buffer.read(self._chunk_remaining)
        self._chunk_remaining -= len(data)
        self._hold(data)
        if self._chunk_remaining == 0:
            self._stage = _Stage.DATA_END
        return bool(data)

    def _take_line(self, buffer: ReceiveBuffer) -> bool:
        """Read one line of the framing; return False if its end is not buffered."""
        line = buffer.read_whole_line(self._limits.max_line_bytes)
        if line is None:
            if len(buffer) >= self._limits.max_line_bytes:
                self._fail(BodyFault.TOO_LARGE)
            return False
        self._framing_remaining -= len(line)
        if not line.endswith(_CRLF):
            self._fail(BodyFault.MALFORMED)
        elif self._framing_remaining < 0:
            self._fail(BodyFault.TOO_LARGE)
        else:
            self._apply_line(line[: -len(_CRLF)])
        return True

    def _apply_line(self, line: bytes) -> None:
        if self._stage is _Stage.SIZE:
            self._begin_chunk(line.partition(b";")[0].strip())
        elif self._stage is _Stage.DATA_END:
            self._end_chunk(line)
        else:
            self._pass_trailer(line)

    def _begin_chunk(self, size: bytes) -> None:
        if not _CHUNK_SIZE.fullmatch(size):
            self._fail(BodyFault.MALFORMED)
            return
        self._chunk_remaining = int(size, 16)
        if len(self._content) + self._chunk_remaining > self._limits.max_bytes:
            self._fail(BodyFault.TOO_LARGE)
            return
        self._stage = _Stage.DATA if self._chunk_remaining else _Stage.TRAILERS

    def _end_chunk(self, line: bytes) -> None:
        if line:
            self._fail(BodyFault.MALFORMED)
            return
        self._stage = _Stage.SIZE

    def _pass_trailer(self, line: bytes) -> None:
        self._trailers_remaining -= len(line) + len(_CRLF)
        if self._trailers_remaining < 0:
            self._fail(BodyFault.TOO_LARGE)
            return
        self.is_ended = not line
