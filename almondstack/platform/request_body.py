"""Reads the body of a caller's request up to a limit, so that no body fills the memory."""

from cheroot.errors import MaxSizeExceeded
from cheroot.server import HTTPRequest, SizeCheckWrapper

__all__ = ["read_body"]

_PIECE_BYTES = 4_096
"""A chunked body is read in pieces: the library copies what it has of a piece with each chunk."""

_FRAMING_FACTOR = 8
"""Bytes on the connection for each byte of a chunked body, at most; chunks of one byte need 6."""

_MAX_DISCARDED_BYTES = 1_048_576
"""Longest body that is read and dropped if it is over the limit.  A connection that is closed
with unread bytes is reset, and the caller may lose the answer."""


def read_body(request: HTTPRequest, limit_bytes: int) -> bytes | None:
    """Return the body of a request; None if it is longer than the limit.

    Explanation
    -----------
    A body that is announced as longer is not waited for.  The connection is closed after the
    answer to it.
    """
    body = (
        _read_chunks(request, limit_bytes)
        if request.chunked_read
        else _read_known_length(request, limit_bytes)
    )
    if body is None:
        request.close_connection = True
    return body


def _read_known_length(request: HTTPRequest, limit_bytes: int) -> bytes | None:
    length = int(request.inheaders.get(b"Content-Length", 0) or 0)
    if 0 <= length <= limit_bytes:
        return request.rfile.read(length)
    if 0 < length <= _MAX_DISCARDED_BYTES:
        while request.rfile.read(_PIECE_BYTES):
            pass
    return None


def _read_chunks(request: HTTPRequest, limit_bytes: int) -> bytes | None:
    _limit_framing(request, limit_bytes * _FRAMING_FACTOR + _PIECE_BYTES)
    pieces, length = [], 0
    try:
        while piece := request.rfile.read(_PIECE_BYTES):
            pieces.append(piece)
            length += len(piece)
            if length > limit_bytes:
                return None
    except MaxSizeExceeded:
        return None
    except OSError as error:
        if _is_of_connection(error):
            raise
        return None
    return b"".join(pieces)


def _limit_framing(request: HTTPRequest, limit_bytes: int) -> None:
    """Have the library refuse a chunk, or a line before a chunk, that is longer than a limit."""
    request.rfile.maxlen = limit_bytes
    request.rfile.rfile = SizeCheckWrapper(request.rfile.rfile, limit_bytes)


def _is_of_connection(error: OSError) -> bool:
    """Whether the connection has failed; for a chunk that is too long the error has no number."""
    return error.errno is not None or isinstance(error, TimeoutError)
