"""Raw-socket HTTP upstream whose responses and failures a test scripts."""

import contextlib
import socket
import struct
import threading
import time
from collections import deque
from enum import Enum

import msgspec

from almondstack.core import parse_address
from almondstack.testing.addresses import free_address

__all__ = ["OK", "Reads", "ScriptedUpstream", "Step", "Then"]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
_BUFFER_BYTES = 65_536
_TIMEOUT_S = 10.0


class Reads(Enum):
    """How much of a request is read before the response."""

    NOTHING = "nothing"
    HEAD = "head"
    ALL = "all"


class Then(Enum):
    """What happens to the connection after the response."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


class Step(msgspec.Struct, frozen=True):
    """How one request is served.

    Parameters
    ----------
    pieces : tuple of bytes
        Bytes sent, in separate writes.
    reads : Reads
        How much of the request is read first.
    then : Then
        What happens to the connection afterwards.
    pause_s : float
        Pause before each piece, in seconds.
    """

    pieces: tuple[bytes, ...] = (OK,)
    reads: Reads = Reads.ALL
    then: Then = Then.KEEP
    pause_s: float = 0.0


class ScriptedUpstream:
    """Serves each request with the next scripted step, then with the default step."""

    def __init__(self, *steps: Step, default: Step | None = None) -> None:
        self._steps = deque(steps)
        self._default = default or Step()
        self._address = free_address()
        self._lock = threading.Lock()
        self._connections: list[socket.socket] = []
        self._threads: list[threading.Thread] = []
        self.received: list[bytes] = []
        self.connection_count = 0
        self._listener = socket.create_server(parse_address(self._address), backlog=64)
        threading.Thread(target=self._accept, name="scripted", daemon=True).start()

    @property
    def address(self) -> str:
        """Numeric address that the upstream listens on."""
        return self._address

    def close(self) -> None:
        """Stop listening and close all connections."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self.close_connections()

    def close_connections(self) -> None:
        """Close all open connections, as an upstream does with idle ones."""
        with self._lock:
            connections, self._connections = self._connections, []
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def send_unsolicited(self, data: bytes) -> None:
        """Send bytes on every open connection without a request."""
        with self._lock:
            for connection in self._connections:
                connection.sendall(data)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(_TIMEOUT_S)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                self._connections.append(connection)
                self.connection_count += 1
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while self._serve_one(connection):
                pass

    def _serve_one(self, connection: socket.socket) -> bool:
        first = connection.recv(1, socket.MSG_PEEK)
        if not first:
            return False
        with self._lock:
            step = self._steps.popleft() if self._steps else self._default
            place = len(self.received)
            self.received.append(b"")
        data = _read_request(connection, step.reads)
        with self._lock:
            self.received[place] = data
        for piece in step.pieces:
            time.sleep(step.pause_s)
            connection.sendall(piece)
        return self._after(connection, step.then)

    def _after(self, connection: socket.socket, then: Then) -> bool:
        if then is Then.KEEP:
            return True
        if then is Then.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        else:
            connection.shutdown(socket.SHUT_RDWR)
        return False


def _read_request(connection: socket.socket, reads: Reads) -> bytes:
    if reads is Reads.NOTHING:
        return b""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(_BUFFER_BYTES)
        if not piece:
            return data
        data += piece
    if reads is Reads.HEAD:
        return data
    head, _, body = data.partition(b"\r\n\r\n")
    length = _content_length(head)
    while len(body) < length:
        piece = connection.recv(_BUFFER_BYTES)
        if not piece:
            break
        body += piece
    return head + b"\r\n\r\n" + body


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length":
            return int(value)
    return 0
