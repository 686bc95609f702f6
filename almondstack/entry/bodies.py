"""Reads request bodies with bounded memory and never past their end."""

from collections.abc import Iterable
from typing import Any, Protocol

from almondstack.core import Reason, RequestError
from almondstack.dispatch import Body, BufferedBody
from almondstack.entry.http import IncomingBody

__all__ = ["ChunkedBody", "KnownLengthBody", "StreamedBody"]

_MAX_BUFFERED_BYTES = 65_536
_MAX_LINE_BYTES = 1024
_MAX_TRAILERS = 32
_CRLF = b"\r\n"


class _Readable(Protocol):
    def read(self, size: int) -> bytes: ...

    def readline(self, size: int) -> bytes: ...


def _read(source: Any, size: int) -> bytes:
    """Read from the file of a socket.

    Raises
    ------
    RequestError
        The read timed out or the connection broke.
    """
    try:
        return source.read(size)
    except OSError as error:
        raise RequestError(Reason.BODY_INCOMPLETE, type(error).__name__) from error


class _SizedBody(IncomingBody):
    """Base class of bodies framed by Content-Length and by chunked coding."""

    __slots__ = ()

    def load(self, max_bytes: int) -> Body:
        """Return the body, buffered in memory if small, else streamed.

        Parameters
        ----------
        max_bytes : int
            Size limit of the body, in bytes.

        Raises
        ------
        RequestError
            The body is too large, malformed or incomplete.
        """
        declared = self.declared_length
        if declared is not None and declared > max_bytes:
            raise RequestError(Reason.BODY_TOO_LARGE)
        head = self._read_up_to(min(_MAX_BUFFERED_BYTES, max_bytes) + 1)
        if len(head) > max_bytes:
            raise RequestError(Reason.BODY_TOO_LARGE)
        if len(head) <= _MAX_BUFFERED_BYTES:
            return BufferedBody(head)
        return StreamedBody(head, self, max_bytes)

    def _read_up_to(self, size: int) -> bytes:
        pieces = []
        while size > 0 and (piece := self.read(size)):
            pieces.append(piece)
            size -= len(piece)
        return b"".join(pieces)


class KnownLengthBody(_SizedBody):
    """A body framed by Content-Length.

    Parameters
    ----------
    source : file
        File of the connection, to read from.
    length : int
        Declared length in bytes.
    """

    __slots__ = ("_length", "_remaining", "_source")

    def __init__(self, source: _Readable, length: int) -> None:
        self._source = source
        self._length = length
        self._remaining = length

    @property
    def declared_length(self) -> int:
        """Declared length in bytes."""
        return self._length

    @property
    def remaining(self) -> int:
        """Number of bytes that were not read yet."""
        return self._remaining

    def read(self, size: int) -> bytes:
        """Return at most ``size`` bytes; empty only at the end.

        Raises
        ------
        RequestError
            The body ended before its declared length.
        """
        to_read = min(size, self._remaining)
        if to_read == 0:
            return b""
        data = _read(self._source, to_read)
        if not data:
            raise RequestError(Reason.BODY_INCOMPLETE)
        self._remaining -= len(data)
        return data


class ChunkedBody(_SizedBody):
    """A body in the chunked transfer coding (RFC 9112, section 7.1).

    Parameters
    ----------
    source : file
        File of the connection, to read from.
    """

    __slots__ = ("_chunk_remaining", "_is_ended", "_source")

    def __init__(self, source: _Readable) -> None:
        self._source = source
        self._chunk_remaining = 0
        self._is_ended = False

    @property
    def declared_length(self) -> None:
        """None: the length is not known before the end."""
        return None

    @property
    def remaining(self) -> int:
        """0 once the last chunk was read, else 1."""
        return 0 if self._is_ended else 1

    def read(self, size: int) -> bytes:
        """Return at most ``size`` bytes; empty only at the end.

        Raises
        ------
        RequestError
            The coding is malformed, or the body is incomplete.
        """
        if self._chunk_remaining == 0 and not self._is_ended:
            self._start_chunk()
        if self._is_ended or size == 0:
            return b""
        data = _read(self._source, min(size, self._chunk_remaining))
        if not data:
            raise RequestError(Reason.BODY_INCOMPLETE)
        self._chunk_remaining -= len(data)
        if self._chunk_remaining == 0:
            self._expect_line_end()
        return data

    def _start_chunk(self) -> None:
        text = self._read_line().partition(b";")[0].strip(b" \t")
        if not text or len(text) > 15 or text.strip(b"0123456789abcdefABCDEF"):
            raise RequestError(Reason.BAD_REQUEST, "A chunk size is malformed.")
        self._chunk_remaining = int(text, 16)
        if self._chunk_remaining == 0:
            self._skip_trailers()
            self._is_ended = True

    def _skip_trailers(self) -> None:
        for _ in range(_MAX_TRAILERS):
            if not self._read_line():
                return
        raise RequestError(Reason.BAD_REQUEST, "There are too many trailers.")

    def _expect_line_end(self) -> None:
        if self._read_line():
            raise RequestError(Reason.BAD_REQUEST, "A chunk is longer than its size.")

    def _read_line(self) -> bytes:
        try:
            line = self._source.readline(_MAX_LINE_BYTES)
        except OSError as error:
            raise RequestError(Reason.BODY_INCOMPLETE, type(error).__name__) from error
        if not line.endswith(_CRLF):
            is_truncated = len(line) < _MAX_LINE_BYTES and not line.endswith(b"\n")
            raise RequestError(Reason.BODY_INCOMPLETE if is_truncated else Reason.BAD_REQUEST)
        return line[:-2]


class StreamedBody:
    """A large body that is streamed as it arrives; it can be sent only once.

    Parameters
    ----------
    head : bytes
        The bytes that were already read.
    rest : IncomingBody
        Reads the remaining bytes.
    max_bytes : int
        Size limit of the body, in bytes.
    """

    __slots__ = ("_head", "_is_used", "_max_bytes", "_rest")

    def __init__(self, head: bytes, rest: IncomingBody, max_bytes: int) -> None:
        self._head = head
        self._rest = rest
        self._max_bytes = max_bytes
        self._is_used = False

    @property
    def length(self) -> int | None:
        """Declared length in bytes, or None."""
        return self._rest.declared_length

    @property
    def is_replayable(self) -> bool:
        """True until the first use."""
        return not self._is_used

    def chunks(self) -> Iterable[bytes]:
        """Yield the body once.

        Raises
        ------
        RequestError
            The body is too large, malformed or incomplete.
        """
        self._is_used = True
        sent = len(self._head)
        yield self._head
        while piece := self._rest.read(_MAX_BUFFERED_BYTES):
            sent += len(piece)
            if sent > self._max_bytes:
                raise RequestError(Reason.BODY_TOO_LARGE)
            yield piece
