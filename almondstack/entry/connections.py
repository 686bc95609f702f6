"""Detects closed connections of callers and enforces time limits on slow ones.

Explanation
-----------
Two threads serve all connections of an entry.  :class:`HangupWatcher` uses
epoll to detect callers that close their connection while their request waits.
:class:`Reaper` shuts down connections whose current phase, such as reading the
head, takes too long; a timeout on each read can't detect a caller that sends
bytes slowly.
"""

import contextlib
import heapq
import itertools
import select
import socket
import struct
import threading
from collections.abc import Callable, Iterator

from almondstack.core import Clock

__all__ = ["HangupWatcher", "Reaper", "reset_on_close"]

_HANGUP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
_POLL_S = 0.5
_REAP_INTERVAL_S = 0.2


def reset_on_close(connection: socket.socket) -> None:
    """Make the next close send a TCP reset, so that the caller sees an incomplete response."""
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class HangupWatcher:
    """Runs a callback when a caller closes its connection."""

    __slots__ = ("_callbacks", "_epoll", "_lock", "_stop", "_thread")

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="hangups", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    @contextlib.contextmanager
    def watching(
        self, connection: socket.socket | None, on_hangup: Callable[[], None]
    ) -> Iterator[None]:
        """Call ``on_hangup`` once if the caller closes the connection within the block."""
        if connection is None or connection.fileno() < 0:
            yield
            return
        descriptor = connection.fileno()
        with self._lock:
            self._callbacks[descriptor] = on_hangup
            self._epoll.register(descriptor, _HANGUP | select.EPOLLONESHOT)
        try:
            yield
        finally:
            with self._lock:
                self._callbacks.pop(descriptor, None)
                with contextlib.suppress(OSError, ValueError):
                    self._epoll.unregister(descriptor)

    def _run(self) -> None:
        while not self._stop.is_set():
            for descriptor, _event in self._epoll.poll(_POLL_S):
                with self._lock:
                    callback = self._callbacks.pop(descriptor, None)
                if callback is not None:
                    callback()


class Reaper:
    """Shuts down connections that exceed the time limit of a phase.

    Parameters
    ----------
    clock : Clock
        Measures the time limits.
    """

    __slots__ = ("_clock", "_connections", "_counter", "_deadlines", "_lock", "_stop", "_thread")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._connections: dict[int, socket.socket] = {}
        self._deadlines: list[tuple[float, int]] = []
        self._counter = itertools.count()
        self._lock = threading.Lock()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="reaper", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    @contextlib.contextmanager
    def time_limit(self, connection: socket.socket | None, limit_s: float) -> Iterator[None]:
        """Shut the connection down if the block takes longer than ``limit_s`` seconds."""
        if connection is None:
            yield
            return
        with self._lock:
            number = next(self._counter)
            self._connections[number] = connection
            heapq.heappush(self._deadlines, (self._clock.monotonic() + limit_s, number))
        try:
            yield
        finally:
            with self._lock:
                self._connections.pop(number, None)

    def reap(self) -> int:
        """Shut down the connections past their time limit; return their number."""
        count = 0
        now_s = self._clock.monotonic()
        with self._lock:
            while self._deadlines and self._deadlines[0][0] <= now_s:
                _, number = heapq.heappop(self._deadlines)
                connection = self._connections.pop(number, None)
                if connection is not None:
                    count += 1
                    with contextlib.suppress(OSError):
                        connection.shutdown(socket.SHUT_RDWR)
        return count

    def _run(self) -> None:
        while not self._clock.wait(self._stop, _REAP_INTERVAL_S):
            self.reap()
