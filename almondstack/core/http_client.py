"""HTTP client of the platform program, with persistent connections and typed errors."""

from almondstack.core.addresses import parse_address
from almondstack.core.http_connection import (
    HttpConnection,
    HttpReply,
    NoAnswerError,
    NotSentError,
)

__all__ = ["HttpClient", "HttpReply", "NoAnswerError", "NotSentError"]

_CONNECT_TIMEOUT_S = 0.5
"""Bound on opening a connection; the round trip to every peer takes milliseconds."""


class HttpClient:
    """Sends HTTP requests to one address; never retries a request by itself.

    Parameters
    ----------
    address : str
        Numeric address.
    connections : int
        Number of idle connections that are kept open.
    connect_timeout_s : float
        Bound on opening a connection, in seconds.
    """

    __slots__ = ("_connect_timeout_s", "_idle", "address")

    def __init__(
        self,
        address: str,
        connections: int = 1,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> None:
        self.address = address
        self._idle = _IdleConnections(address, connections)
        self._connect_timeout_s = connect_timeout_s

    def use_address(self, address: str) -> None:
        """Send later calls to ``address``; calls in progress finish at the previous one."""
        if address != self.address:
            previous, self._idle = self._idle, _IdleConnections(address, self._idle.limit)
            self.address = address
            previous.close()

    @property
    def is_connected(self) -> bool:
        """Whether the connection of the last call is open; meaningful with one connection.

        Explanation
        -----------
        The connection may break after this check: only a call with ``may_open=False``
        is certain to use the connection that was checked.
        """
        connection = self._idle.last
        return connection is not None and connection.is_connected

    def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        may_open: bool = True,
    ) -> HttpReply:
        """Send one request, over a new connection only if ``may_open`` is true.

        Parameters
        ----------
        method, path : str
            Method, and path with query.
        timeout_s : float
            Bound on sending the request, and on each wait for a part of the response, in
            seconds.
        body : bytes, optional
            Body of the request.
        headers : dict of str to str, optional
            Headers of the request.
        may_open : bool
            Whether a new connection may be opened.

        Raises
        ------
        NotSentError
            The request was not received.
        NoAnswerError
            The request may have been received, but no complete response arrived.
        """
        idle = self._idle
        connection = idle.take()
        if connection is None:
            connection = self._open(idle, timeout_s, may_open)
        try:
            reply = connection.exchange(method, path, timeout_s, body or b"", headers or {})
        except NoAnswerError as error:
            connection.close()
            raise NoAnswerError(f"{idle.address} {error}") from error
        idle.put(connection)
        return reply

    def close(self) -> None:
        """Close all connections; later calls are not sent."""
        self._idle.close()

    def _open(self, idle: "_IdleConnections", timeout_s: float, may_open: bool) -> HttpConnection:
        if idle.is_closed:
            raise NotSentError(f"the client of {idle.address} is closed")
        if not may_open:
            raise NotSentError(
                f"no open connection to {idle.address}, and this call may not open one"
            )
        host, port = parse_address(idle.address)
        return HttpConnection(host, port, min(self._connect_timeout_s, timeout_s))


class _IdleConnections:
    """Idle connections to one address, the last used one on top.

    Parameters
    ----------
    address : str
        Numeric address.
    limit : int
        Number of connections that are kept.
    """

    __slots__ = ("_connections", "address", "is_closed", "limit")

    def __init__(self, address: str, limit: int) -> None:
        self.address = address
        self.limit = limit
        self.is_closed = False
        self._connections: list[HttpConnection] = []

    @property
    def last(self) -> HttpConnection | None:
        """The connection that the next call uses; None if it opens a new one."""
        connections = self._connections
        return connections[-1] if connections else None

    def take(self) -> HttpConnection | None:
        """Remove and return an open connection; None if there is none."""
        while (connection := self._pop()) is not None:
            if connection.is_connected:
                return connection
            connection.close()
        return None

    def put(self, connection: HttpConnection) -> None:
        """Keep a connection for the next call, or close it."""
        is_kept = connection.is_reusable and len(self._connections) < self.limit
        if is_kept and not self.is_closed:
            self._connections.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Close the idle connections, and each other one once its call has ended."""
        self.is_closed = True
        while (connection := self._pop()) is not None:
            connection.close()

    def _pop(self) -> HttpConnection | None:
        # Several threads may take connections: the check and the removal have to be one step.
        try:
            return self._connections.pop()
        except IndexError:
            return None
