"""Connection pool for upstreams that checks each connection before it is reused.

Explanation
-----------
urllib3's own pool, retries and redirects are not used: a request must never be
sent a second time by a layer that cannot tell whether it may run twice.  A
connection returns to the pool only if its last response was read to the end
and no bytes followed it.  Before each use a non-blocking read verifies that the
upstream has neither closed the connection nor sent anything.
"""

import socket
import threading
from collections import defaultdict, deque
from typing import Any

from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from almondstack.core import Clock, RetryReason, parse_address
from almondstack.dispatch.failures import NotSentError
from almondstack.dispatch.response_reader import ResponseReader, ResponseSocket, StrictResponse
from almondstack.dispatch.settings import ConnectionSettings

__all__ = ["ConnectionPool", "UpstreamConnection"]


class UpstreamConnection(HTTPConnection):
    """An HTTP connection that tracks whether any byte of the current request was sent.

    Parameters
    ----------
    address : str
        Numeric address of the upstream.
    clock : Clock
        Time source for deadlines.
    timeout_s : float
        Timeout for connecting, in seconds.
    """

    def __init__(self, address: str, clock: Clock, timeout_s: float) -> None:
        host, port = parse_address(address)
        super().__init__(host, port, timeout=timeout_s)
        self.auto_open = 0
        self.address = address
        self.has_sent = False
        self.idle_since_s = 0.0
        self.use_count = 0
        self.response_reader: ResponseReader | None = None
        self._clock = clock
        self._deadline_s = 0.0
        self.response_class = self._make_response  # type: ignore[assignment]

    def begin_use(self, deadline_s: float) -> None:
        """Reset the state for an exchange that has to end by ``deadline_s``."""
        self.has_sent = False
        self.use_count += 1
        self.response_reader = None
        self._deadline_s = deadline_s
        self.timeout = max(0.001, deadline_s - self._clock.monotonic())

    def send(self, data: Any) -> None:
        """Send bytes; raise NotSentError on a failure before the first byte is accepted."""
        if self.sock is None:
            raise NotSentError(
                "the connection to the upstream is closed", RetryReason.SEND_NOT_STARTED
            )
        if not self.has_sent:
            data = self._send_first(memoryview(data))
        if data:
            self.sock.sendall(data)

    def is_open(self) -> bool:
        """Return True if the upstream has neither closed the connection nor sent anything."""
        if self.sock is None:
            return False
        try:
            self.sock.setblocking(False)
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def _send_first(self, data: memoryview) -> memoryview:
        try:
            count = self.sock.send(data)
        except OSError as error:
            raise NotSentError(type(error).__name__, RetryReason.SEND_NOT_STARTED) from error
        self.has_sent = count > 0
        return data[count:]

    def _make_response(self, sock: socket.socket, *args: Any, **fields: Any) -> StrictResponse:
        source = ResponseSocket(sock, self._deadline_s, self._clock)
        self.response_reader = source.reader
        return StrictResponse(source, *args, **fields)  # type: ignore[arg-type]


class ConnectionPool:
    """Pool of connections to all upstreams.

    Parameters
    ----------
    settings : ConnectionSettings
        Limits and timeouts.
    clock : Clock
        Time source for idle times.
    """

    __slots__ = ("_clock", "_idle", "_lock", "_open_counts", "_settings")

    def __init__(self, settings: ConnectionSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._idle: defaultdict[str, deque[UpstreamConnection]] = defaultdict(deque)
        self._open_counts: defaultdict[str, int] = defaultdict(int)
        self._lock = threading.Lock()

    def open_count(self, address: str) -> int:
        """Return how many connections to ``address`` are open, idle ones included."""
        with self._lock:
            return self._open_counts[address]

    def idle_count(self, address: str) -> int:
        """Return how many connections to ``address`` are idle."""
        with self._lock:
            return len(self._idle[address])

    def take(self, address: str, is_idempotent: bool) -> UpstreamConnection:
        """Return an idle connection that was verified to be open, or a new one.

        Raises
        ------
        NotSentError
            No connection could be made.
        """
        limit_s = self._settings.idle_s if is_idempotent else self._settings.idle_once_s
        while (found := self._pop(address)) is not None:
            age_s = self._clock.monotonic() - found.idle_since_s
            if age_s <= limit_s and found.is_open():
                return found
            self.discard(found)
        return self._connect(address)

    def put(self, connection: UpstreamConnection, max_idle: int) -> None:
        """Return a connection, whose last response was read to its end, to the pool.

        Parameters
        ----------
        connection : UpstreamConnection
            The connection.
        max_idle : int
            Idle connections that the permits of this entry allow.
        """
        connection.idle_since_s = self._clock.monotonic()
        limit = min(max_idle, self._settings.idle_per_upstream)
        with self._lock:
            idle = self._idle[connection.address]
            is_kept = len(idle) < limit
            if is_kept:
                idle.append(connection)
        if not is_kept:
            self.discard(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Close a connection instead of returning it to the pool."""
        connection.close()
        with self._lock:
            self._open_counts[connection.address] -= 1

    def idle_addresses(self) -> set[str]:
        """Return the addresses to which idle connections are kept."""
        with self._lock:
            return {address for address, idle in self._idle.items() if idle}

    def trim(self, address: str, max_idle: int) -> None:
        """Close idle connections above ``max_idle`` and those idle for too long."""
        oldest_s = self._clock.monotonic() - self._settings.idle_s
        closing = []
        with self._lock:
            idle = self._idle[address]
            while idle and (len(idle) > max_idle or idle[0].idle_since_s < oldest_s):
                closing.append(idle.popleft())
        for connection in closing:
            self.discard(connection)

    def close_all(self) -> None:
        """Close every idle connection."""
        for address in list(self._idle):
            self.trim(address, 0)

    def _pop(self, address: str) -> UpstreamConnection | None:
        with self._lock:
            idle = self._idle[address]
            return idle.pop() if idle else None

    def _connect(self, address: str) -> UpstreamConnection:
        connection = UpstreamConnection(address, self._clock, self._settings.connect_timeout_s)
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            raise NotSentError(type(error).__name__) from error
        with self._lock:
            self._open_counts[address] += 1
        return connection
