"""Base classes of the HTTP servers of the platform program.

Explanation
-----------
cheroot serves each request in a thread of a bounded pool.  These classes add what is needed
towards clients that keep to no limit; see docs/design/untrusted-clients.md.
"""

import errno
import socket
import threading
import time
from collections import OrderedDict
from typing import Any

from cheroot.connections import ConnectionManager
from cheroot.server import Gateway, HTTPServer

from almondstack.core.client_guard import ClientGuard, Refusal
from almondstack.core.request_bodies import RequestBody
from almondstack.core.server_connection import ServerConnection

__all__ = ["BodyGateway", "PlatformHttpServer"]

_ACCEPT_BACKLOG = 256
"""Connections that may wait to be accepted.  When the backlog is full, the client retransmits its
SYN only after a second."""

_MAX_HEAD_BYTES = 32_768

_EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of accept(2) that say that the process or the machine has no room for a connection."""

_EXHAUSTION_PAUSE_S = 0.01
"""Pause of the accepting thread after a connection that could not be accepted, in seconds."""


class _Connections(ConnectionManager):
    """Goes on when no connection can be accepted for want of descriptors or memory."""

    def _from_server_socket(self, server_socket: socket.socket) -> ServerConnection | None:
        try:
            return super()._from_server_socket(server_socket)  # type: ignore[misc]
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
        self.server.make_room()
        return None


class PlatformHttpServer(HTTPServer):
    """A cheroot server that bounds what its clients can hold.

    Explanation
    -----------
    cheroot's own log lines, such as those on broken connections, are not written.

    Parameters
    ----------
    address : tuple of str and int
        Host and port.
    gateway : type of BodyGateway
        Answers each request.
    guard : ClientGuard, optional
        Limits on the clients, shared with the other servers of the process.

    Attributes
    ----------
    guard : ClientGuard
        Limits on the clients.
    budget : ByteBudget
        Bounds the bytes that bodies hold; that of the guard unless a server has its own.
    """

    ConnectionClass = ServerConnection

    def __init__(
        self,
        address: tuple[str, int],
        gateway: type["BodyGateway"],
        guard: ClientGuard | None = None,
    ) -> None:
        super().__init__(address, gateway, server_name="almondstack")
        self.guard = guard or ClientGuard()
        self.budget = self.guard.budget
        self.shutdown_timeout = 1
        self.request_queue_size = _ACCEPT_BACKLOG
        self.keep_alive_conn_limit = self.guard.limits.max_connections
        self._active = 0
        self._lock = threading.Lock()
        self._open: set[ServerConnection] = set()
        # Connections that wait for their client; the one that has waited longest comes first.
        self._waiting: OrderedDict[ServerConnection, None] = OrderedDict()

    @property
    def active(self) -> int:
        """Number of requests whose head was read and that have no answer yet, queued ones too."""
        return self._active

    @property
    def max_request_header_size(self) -> int:  # type: ignore[override]
        """Longest request line and header section together, in bytes; read by cheroot."""
        return _MAX_HEAD_BYTES

    def count_active(self, change: int) -> None:
        """Add 1 for a request that starts, or -1 for one that has ended."""
        with self._lock:
            self._active += change

    def refuse(self, refusal: Refusal) -> None:
        """Count and log that a client of this server was refused."""
        self.guard.refuse(refusal, self.bind_addr[1])

    def prepare(self) -> None:
        """Listen on the address and start the threads of the pool."""
        super().prepare()
        manager: ConnectionManager = self._connections  # type: ignore[has-type]
        manager.close()
        self._connections = _Connections(self)
        self.guard.servers.append(self)

    def stop_accepting(self) -> None:
        """Read nothing more; each request that was read whole is in :attr:`active` on return.

        Explanation
        -----------
        Requests that were handed to the threads are still answered.  A request whose body is
        still to come is dropped with its connection at the latest when the process ends.
        """
        self.ready = False
        # Wakes the accepting thread.
        self.socket.shutdown(socket.SHUT_RDWR)
        self._connections.stop()
        self.socket.close()

    def make_room(self) -> None:
        """End the longest wait at the address with most, since no connection can be accepted."""
        self.refuse(Refusal.CONNECTIONS)
        fullest = max(self.guard.servers, key=lambda server: server.waiting_count)
        fullest.end_longest_waiting()
        # Another thread may have to close the connection.
        time.sleep(_EXHAUSTION_PAUSE_S)

    def process_conn(self, conn: ServerConnection) -> None:
        """Read what has arrived on a connection; called by the thread that accepts them."""
        self._waiting.pop(conn, None)
        if conn not in self._open:
            self._admit(conn)
        try:
            is_ready = conn.receive()
        except OSError:
            conn.close()
            return
        self._pass_on(conn, is_ready=is_ready)

    def put_conn(self, conn: ServerConnection) -> None:
        """Take a connection back from a thread of the pool."""
        self._pass_on(conn, is_ready=conn.is_request_ready())

    def forget(self, conn: ServerConnection) -> None:
        """Note that a connection is closed."""
        self._waiting.pop(conn, None)
        self._open.discard(conn)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Discard a log line of cheroot."""

    def _pass_on(self, conn: ServerConnection, *, is_ready: bool) -> None:
        """Give a connection to a thread of the pool, or wait for its client."""
        if is_ready:
            conn.start_handling()
            self.requests.put(conn)
            return
        self._waiting[conn] = None
        super().put_conn(conn)

    def _admit(self, conn: ServerConnection) -> None:
        """Count a new connection; beyond the limit, end the one that has waited longest."""
        self._open.add(conn)
        if len(self._open) <= self.guard.limits.max_connections:
            return
        self.refuse(Refusal.CONNECTIONS)
        if not self.end_longest_waiting():
            conn.interrupt()

    @property
    def waiting_count(self) -> int:
        """Number of connections that wait for their client."""
        return len(self._waiting)

    def end_longest_waiting(self) -> bool:
        """End the connection that has waited longest; return False if none waits.

        Explanation
        -----------
        The end is seen like a close by the client, once the present events are dealt with.
        """
        try:
            longest_waiting, _ = self._waiting.popitem(last=False)
        except KeyError:
            return False
        longest_waiting.interrupt()
        return True


class BodyGateway(Gateway):
    """Reads the body of a request without waiting for it, then answers the request."""

    def respond(self) -> None:
        """Answer a request, unless its body is still to come."""
        body = self.req.conn.body
        if body is None:
            body = self.req.conn.start_body(self.req, self.max_body_bytes)
            if not body.is_settled and self.refuse_head():
                return
        if body.is_settled:
            self.answer(body)

    @property
    def max_body_bytes(self) -> int:
        """Longest body that is read, in bytes."""
        return 0

    def refuse_head(self) -> bool:
        """Answer a request whose body need not be read; return whether it was one."""
        return False

    def answer(self, body: RequestBody) -> None:
        """Answer a request whose body was read or refused."""
        raise NotImplementedError

    def send(self, status: bytes, headers: list[tuple[bytes, bytes]], content: bytes) -> None:
        """Send an answer; the connection is closed after it if the body was not read to its end."""
        request: Any = self.req
        request.status = status
        request.outheaders.extend(headers)
        request.outheaders.append((b"Content-Length", str(len(content)).encode()))
        if not request.conn.body.is_ended:
            request.close_connection = True
        request.ensure_headers_sent()
        request.write(content)
