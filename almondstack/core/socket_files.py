"""File objects on the socket of a server's connection that never wait for input."""

import os
import re
import socket

__all__ = ["ClientGoneError", "ReceiveBuffer", "SocketWriter", "UnreadAnswerError"]

_HEAD_END = re.compile(rb"\n\r?\n")
"""End of a head; lines that end without CR are left to the parser, which refuses them."""

_HEAD_END_BYTES = 3


class ClientGoneError(OSError):
    """The client has closed the connection, or it has failed."""


class UnreadAnswerError(OSError):
    """The client did not read an answer in time."""


class ReceiveBuffer:
    """The bytes that have been received and not been read yet.

    Explanation
    -----------
    Reads return what is buffered and never wait: bytes come in by :meth:`receive` only.

    Parameters
    ----------
    sock : socket.socket
        The connection, in non-blocking mode or with a timeout.
    """

    __slots__ = ("_buffer", "_scanned", "_socket", "closed")

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._buffer = bytearray()
        # Number of bytes in front that hold no end of a head.
        self._scanned = 0
        self.closed = False

    def __len__(self) -> int:
        return len(self._buffer)

    def receive(self, size: int) -> None:
        """Add at most ``size`` received bytes; none if nothing has arrived.

        Raises
        ------
        OSError
            The client has closed the connection, or it has failed.
        """
        try:
            data = os.read(self._socket.fileno(), size)
        except BlockingIOError:
            return
        if not data:
            raise ConnectionAbortedError("the client closed the connection")
        self._buffer += data

    def has_head(self) -> bool:
        """Whether the end of a request's head is buffered."""
        if _HEAD_END.search(self._buffer, max(0, self._scanned - _HEAD_END_BYTES)):
            return True
        self._scanned = len(self._buffer)
        return False

    def has_data(self) -> bool:
        """Return False: whoever holds the connection looks at the buffer itself."""
        return False

    def read(self, size: int) -> bytes:
        """Return at most ``size`` buffered bytes."""
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        self._scanned = 0
        return data

    def readline(self, size: int) -> bytes:
        """Return the buffered bytes up to the end of a line, at most ``size``."""
        end = self._buffer.find(b"\n", 0, size)
        return self.read(size if end < 0 else end + 1)

    def read_whole_line(self, size: int) -> bytes | None:
        """Return a line if its end is within the next ``size`` bytes; else read nothing."""
        end = self._buffer.find(b"\n", 0, size)
        return None if end < 0 else self.read(end + 1)

    def peek(self) -> bytes:
        """Return all buffered bytes; they stay buffered."""
        return bytes(self._buffer)

    def skip(self, size: int) -> None:
        """Drop the first ``size`` buffered bytes."""
        del self._buffer[:size]
        self._scanned = 0

    def drop(self) -> int:
        """Drop all buffered bytes; return their number."""
        return len(self.read(len(self._buffer)))

    def close(self) -> None:
        """Drop the buffered bytes; the socket stays open."""
        self.closed = True
        self.drop()


class SocketWriter:
    """Writes to a socket without a buffer.

    Parameters
    ----------
    sock : socket.socket
        The connection; its timeout bounds each write as a whole.
    """

    __slots__ = ("_socket",)

    bytes_written = 0

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    def write(self, data: bytes) -> int:
        """Send all of ``data``; return its length in bytes.

        Raises
        ------
        UnreadAnswerError
            The client did not read it in time.
        ClientGoneError
            The connection has failed.
        """
        try:
            self._socket.sendall(data)
        except TimeoutError as error:
            raise UnreadAnswerError(*error.args) from error
        except OSError as error:
            raise ClientGoneError(*error.args) from error
        return len(data)
