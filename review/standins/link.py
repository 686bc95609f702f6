"""TCP link on loopback that can go silent or refuse, as a partition does."""

import contextlib
import socket
import struct
import threading
from enum import StrEnum

from almondstack.core import parse_address

__all__ = ["Link", "LinkState"]

_CHUNK_BYTES = 65_536
_BACKLOG = 256
_NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets the connection."""


class LinkState(StrEnum):
    """What a link does with the bytes that arrive."""

    OPEN = "open"
    SILENT = "silent"


class Link:
    """Forwards TCP connections to one address.

    Explanation
    -----------
    A connection that has lost bytes in one direction forwards nothing more in it, also after
    the link has healed, since TCP never delivers a stream with a gap.

    Parameters
    ----------
    target : str
        Numeric address to forward to.
    host : str
        Loopback address to listen on.
    """

    def __init__(self, target: str, host: str) -> None:
        self.state = LinkState.OPEN
        self._target = parse_address(target)
        self._listener = socket.create_server((host, 0), backlog=_BACKLOG)
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, name="link", daemon=True).start()

    @property
    def address(self) -> str:
        """Address on which the link listens, ``IP:PORT``."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._listener.close()
        with self._lock:
            open_sockets, self._sockets = self._sockets, set()
        for connection in open_sockets:
            _reset(connection)

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._connect, args=(caller,), daemon=True).start()

    def _connect(self, caller: socket.socket) -> None:
        try:
            callee = socket.create_connection(self._target, timeout=1.0)
        except OSError:
            _reset(caller)
            return
        callee.settimeout(None)
        for connection in (caller, callee):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._sockets |= {caller, callee}
        threading.Thread(target=self._pump, args=(callee, caller), daemon=True).start()
        self._pump(caller, callee)
        with self._lock:
            self._sockets -= {caller, callee}

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        is_lost = False
        with contextlib.suppress(OSError):
            while data := source.recv(_CHUNK_BYTES):
                is_lost = is_lost or self.state is LinkState.SILENT
                if not is_lost:
                    sink.sendall(data)
        if not is_lost and self.state is LinkState.OPEN:
            with contextlib.suppress(OSError):
                sink.shutdown(socket.SHUT_WR)


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        connection.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        connection.close()
