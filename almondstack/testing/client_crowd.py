"""Connections of clients that send what no ordinary client sends, and stay."""

import errno
import selectors
import socket
import threading
import time
from collections.abc import Callable, Iterator

from almondstack.core import parse_address

__all__ = ["ClientCrowd"]

_PIECE_BYTES = 65_536
"""Bytes that are sent or received at a time."""

_SELECT_S = 0.05
"""Time after which the crowd checks whether it is to stop, in seconds."""

_SMALL_BUFFER_BYTES = 4_096
"""Receive buffer of a client that reads no answers, so that few answers fill it."""

_RENEWAL_PAUSE_S = 0.005
"""Pause before a connection is replaced: bounds the rate of a renewed crowd."""


class _Member:
    """One connection: what it still has to send."""

    def __init__(self, address: str, pieces: Iterator[bytes], *, is_reading: bool) -> None:
        self.socket = socket.socket()
        if not is_reading:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES)
        self.socket.setblocking(False)
        self.pieces = pieces
        self.unsent = b""
        if self.socket.connect_ex(parse_address(address)) not in (0, errno.EINPROGRESS):
            raise ConnectionRefusedError(address)

    def send(self) -> bool:
        """Send once; return False if nothing is left."""
        if not self.unsent:
            self.unsent = next(self.pieces, b"")
        if not self.unsent:
            return False
        self.unsent = self.unsent[self.socket.send(self.unsent[:_PIECE_BYTES]) :]
        return True


class ClientCrowd:
    """Connections to one address, opened together and driven by one thread.

    Parameters
    ----------
    address : str
        ``IP:PORT`` on loopback.
    count : int
        Number of connections.
    script : callable
        Returns the pieces that one connection sends.
    is_renewed : bool
        Whether a connection that the server closes is replaced by a new one.
    is_reading : bool
        Whether answers are read, and dropped.
    """

    def __init__(
        self,
        address: str,
        count: int,
        script: Callable[[], Iterator[bytes]],
        *,
        is_renewed: bool = False,
        is_reading: bool = True,
    ) -> None:
        self._address = address
        self._script = script
        self._is_renewed = is_renewed
        self._is_reading = is_reading
        self._read_event = selectors.EVENT_READ if is_reading else 0
        # Connections that have sent all and read nothing; they only stay open.
        self._silent: list[_Member] = []
        self._selector = selectors.DefaultSelector()
        # How many connections have yet to send all or to be closed; replacements count as well.
        self._sending = count
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="crowd", daemon=True)
        for _ in range(count):
            self._join()

    def __enter__(self) -> "ClientCrowd":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stop.set()
        self._thread.join()
        members = [key.data for key in self._selector.get_map().values()]
        for member in members + self._silent:
            member.socket.close()
        self._selector.close()

    def wait_until_sent(self, timeout_s: float) -> None:
        """Wait until as many connections as the crowd has have sent all or were closed.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.
        """
        deadline_s = time.monotonic() + timeout_s
        while self._sending > 0 and time.monotonic() < deadline_s:
            time.sleep(_SELECT_S)

    def _join(self) -> None:
        member = _Member(self._address, self._script(), is_reading=self._is_reading)
        self._selector.register(member.socket, selectors.EVENT_WRITE | self._read_event, member)

    def _run(self) -> None:
        while not self._stop.is_set():
            for key, events in self._selector.select(_SELECT_S):
                try:
                    self._go_on(key.data, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self._replace(key.data)

    def _go_on(self, member: _Member, events: int) -> None:
        if events & selectors.EVENT_READ and not member.socket.recv(_PIECE_BYTES):
            raise ConnectionResetError
        if events & selectors.EVENT_WRITE and not member.send():
            self._sending -= 1
            self._watch_answers(member)

    def _watch_answers(self, member: _Member) -> None:
        """Wait for the close of a connection that has sent all; one that doesn't read stays."""
        if self._read_event:
            self._selector.modify(member.socket, self._read_event, member)
            return
        self._selector.unregister(member.socket)
        self._silent.append(member)

    def _replace(self, member: _Member) -> None:
        events = self._selector.get_key(member.socket).events
        self._selector.unregister(member.socket)
        member.socket.close()
        if events & selectors.EVENT_WRITE:
            self._sending -= 1
        if self._is_renewed:
            time.sleep(_RENEWAL_PAUSE_S)
            self._join()
