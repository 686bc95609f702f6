"""File objects on callers' sockets, implemented in C instead of Python.

Explanation
-----------
cheroot bases its socket files on ``_pyio``, because it has to know whether a
reader has buffered bytes of a next request.  :class:`SocketReader` finds that
out with the C reader: it peeks while its raw file is paused and returns no data.
"""

import io
import socket
import ssl
from typing import Any

from almondstack.core.socket_files import SocketWriter

__all__ = ["SocketReader", "SocketWriter", "make_socket_file"]


class _PausableSocketIO(socket.SocketIO):
    """A raw socket file whose reads can be paused."""

    is_paused = False

    def readinto(self, buffer: Any) -> int | None:
        """Read into ``buffer``; return None, as if the read would block, while paused."""
        if self.is_paused:
            return None
        return super().readinto(buffer)


class SocketReader(io.BufferedReader):
    """Reads from a socket through a buffer.

    Parameters
    ----------
    sock : socket.socket
        The connection.
    bufsize : int
        Size of the buffer in bytes.
    """

    bytes_read = 0

    def __init__(self, sock: socket.socket, bufsize: int = io.DEFAULT_BUFFER_SIZE) -> None:
        self._source = _PausableSocketIO(sock, "rb")
        self._socket = sock
        super().__init__(self._source, bufsize)

    def has_data(self) -> bool:
        """Return True if received bytes are buffered and can be read at once."""
        if isinstance(self._socket, ssl.SSLSocket) and self._socket.pending():
            return True
        self._source.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.is_paused = False


def make_socket_file(
    sock: socket.socket, mode: str = "rb", bufsize: int = io.DEFAULT_BUFFER_SIZE
) -> SocketReader | SocketWriter:
    """Return a reader or a writer on a socket; replaces cheroot's ``makefile``."""
    return SocketReader(sock, bufsize) if "r" in mode else SocketWriter(sock)
