"""Files on callers' sockets, in C where cheroot's own are in Python.

Explanation
-----------
cheroot builds its socket files on ``_pyio``, because it has to know whether a
reader holds bytes of a next request.  :class:`SocketReader` learns that from
the C reader by peeking while its raw side pretends to have nothing.
"""

import io
import socket
import ssl
from typing import Any

__all__ = ["SocketReader", "SocketWriter", "make_socket_file"]


class _PausableSocketIO(socket.SocketIO):
    """A raw socket file that can be told to read nothing."""

    is_paused = False

    def readinto(self, buffer: Any) -> int | None:
        """Read into ``buffer``; None, as if it would block, while muted."""
        if self.is_paused:
            return None
        return super().readinto(buffer)


class SocketReader(io.BufferedReader):
    """Reads from a socket.

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
        """Return True if bytes can be read without the network."""
        if isinstance(self._socket, ssl.SSLSocket) and self._socket.pending():
            return True
        self._source.is_paused = True
        try:
            return bool(self.peek(1))
        finally:
            self._source.is_paused = False


class SocketWriter:
    """Writes to a socket without a buffer.

    Parameters
    ----------
    sock : socket.socket
        The connection; its timeout bounds each write.
    """

    __slots__ = ("_socket",)

    bytes_written = 0

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Send all of ``data``; return its length in bytes."""
        self._socket.sendall(data)
        return len(data)


def make_socket_file(
    sock: socket.socket, mode: str = "rb", bufsize: int = io.DEFAULT_BUFFER_SIZE
) -> SocketReader | SocketWriter:
    """Return a reader or a writer on a socket, as cheroot asks for one."""
    return SocketReader(sock, bufsize) if "r" in mode else SocketWriter(sock)
