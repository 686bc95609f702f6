"""Loopback TCP proxy that delays, drops and resets connections."""

import contextlib
import socket
import struct
import threading
import time
from enum import StrEnum

from almondstack.core import parse_address

__all__ = ["LinkFault", "LoopbackProxy"]

_CHUNK_BYTES = 65_536
_BACKLOG = 256
_DELAY_S = 0.3
_NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets the connection."""


class LinkFault(StrEnum):
    """Fault of the connections through a proxy."""

    NONE = "none"
    DELAYED = "delayed"
    SILENT = "silent"
    REQUESTS_LOST = "requests-lost"
    REPLIES_LOST = "replies-lost"


_LOSING_FAULTS = {
    True: (LinkFault.SILENT, LinkFault.REQUESTS_LOST),
    False: (LinkFault.SILENT, LinkFault.REPLIES_LOST),
}
"""Faults that drop bytes: of requests (True) and of replies (False)."""


class LoopbackProxy:
    """Forwards TCP connections to one address.

    Explanation
    -----------
    A direction of a connection that has lost bytes forwards nothing more, also after
    the fault has ended, since TCP never delivers a stream with a gap.

    Parameters
    ----------
    target : str
        Numeric address to forward to.
    host : str
        Loopback address to listen on.
    """

    def __init__(self, target: str, host: str) -> None:
        self.fault = LinkFault.NONE
        self._target = parse_address(target)
        self._listener = socket.create_server((host, 0), backlog=_BACKLOG)
        self._sockets: set[socket.socket] = set()
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, name="proxy", daemon=True).start()

    @property
    def address(self) -> str:
        """Address on which the proxy listens, ``IP:PORT``."""
        host, port = self._listener.getsockname()
        return f"{host}:{port}"

    def reset(self) -> None:
        """Reset all open connections."""
        with self._lock:
            open_sockets, self._sockets = self._sockets, set()
        for connection in open_sockets:
            _reset(connection)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        self._listener.close()
        self.reset()

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
        with self._lock:
            self._sockets |= {caller, callee}
        back = threading.Thread(target=self._pump, args=(callee, caller, False), daemon=True)
        back.start()
        self._pump(caller, callee, is_request=True)

    def _pump(self, source: socket.socket, sink: socket.socket, is_request: bool) -> None:
        is_lost = False
        with contextlib.suppress(OSError):
            while data := source.recv(_CHUNK_BYTES):
                is_lost = is_lost or self.fault in _LOSING_FAULTS[is_request]
                if self.fault is LinkFault.DELAYED:
                    time.sleep(_DELAY_S)
                if not is_lost:
                    sink.sendall(data)
            if not is_lost:
                sink.shutdown(socket.SHUT_WR)
        if not is_request:
            with self._lock:
                self._sockets -= {source, sink}
            source.close()
            sink.close()


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        connection.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        connection.close()
