"""HTTP client of the platform program, with persistent connections and typed errors."""

import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from almondstack.core import AlmondError, parse_address

__all__ = ["HttpClient", "HttpReply", "NoAnswerError", "NotSentError"]

_CONNECT_TIMEOUT_S = 0.5
"""Bound on opening a connection; the round trip to every peer takes milliseconds."""


class NotSentError(AlmondError):
    """The request was not sent, since no connection could be used; it was not received."""

    code = "not-sent"


class NoAnswerError(AlmondError):
    """The request may have been received, but no complete response arrived."""

    code = "no-answer"


class HttpReply:
    """Status and body of an HTTP response."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


class _Connection(HTTPConnection):
    """A connection that refuses to open if the current request must reuse an open one."""

    may_open = True

    def connect(self) -> None:
        """Open the connection."""
        if not self.may_open:
            raise NewConnectionError(
                self, "the previous connection is closed and this call may not open a new one"
            )
        super().connect()


class HttpClient:
    """Sends HTTP requests to one address; never retries a request by itself.

    Parameters
    ----------
    address : str
        Numeric address.
    connections : int
        Number of connections that are kept open.
    connect_timeout_s : float
        Bound on opening a connection, in seconds.
    """

    __slots__ = ("_connect_timeout_s", "_connections", "_pool", "address")

    def __init__(
        self,
        address: str,
        connections: int = 1,
        connect_timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> None:
        self._connections = connections
        self._connect_timeout_s = connect_timeout_s
        self._make_pool(address)

    def use_address(self, address: str) -> None:
        """Send later calls to ``address``; calls in progress finish at the previous one."""
        if address != self.address:
            self._make_pool(address)

    @property
    def is_connected(self) -> bool:
        """Whether the connection of the last call is open; meaningful with one connection.

        Explanation
        -----------
        The connection may break after this check: only a call with ``may_open=False``
        is certain to use the connection that was checked.
        """
        connection = self._last_connection
        return connection is not None and connection.is_connected

    @property
    def _last_connection(self) -> _Connection | None:
        """The connection that the next call uses; None if it opens a new one."""
        idle = self._pool.pool.queue if self._pool.pool is not None else None
        return idle[-1] if idle else None

    def _make_pool(self, address: str) -> None:
        host, port = parse_address(address)
        self.address = address
        self._pool = urllib3.HTTPConnectionPool(
            host, port, maxsize=self._connections, retries=False
        )
        self._pool.ConnectionCls = _Connection

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

        Raises
        ------
        NotSentError
            The request was not received.
        NoAnswerError
            The request may have been received, but no complete response arrived.
        """
        connection = self._last_connection
        if connection is not None:
            connection.may_open = may_open
        elif not may_open:
            raise NotSentError(
                f"no open connection to {self.address}, and this call may not open one"
            )
        timeout = urllib3.Timeout(connect=min(self._connect_timeout_s, timeout_s), read=timeout_s)
        try:
            response = self._pool.urlopen(
                method, path, body=body, headers=headers, timeout=timeout, redirect=False
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NotSentError(f"{self.address} {type(error).__name__}") from error
        except (HTTPError, OSError) as error:
            raise NoAnswerError(f"{self.address} {type(error).__name__}") from error
        return HttpReply(response.status, response.data)

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
