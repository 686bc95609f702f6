"""HTTP requests and responses of the callers' interface."""

import socket
from collections.abc import Iterable, Iterator

from almondstack.core import Outcome, encode_json
from almondstack.dispatch import Body

__all__ = ["HttpReply", "HttpRequest", "json_reply"]

Headers = list[tuple[str, str]]


class HttpRequest:
    """An HTTP request whose head has been read.

    Parameters
    ----------
    method, path, query : str
        Parts of the request line; the path is decoded.
    headers : list of (str, str)
        Field names as sent, values decoded as Latin-1.
    body : IncomingBody
        The body, not read yet.
    socket_ : socket.socket
        The caller's connection.
    """

    __slots__ = ("_by_name", "body", "headers", "method", "path", "query", "socket")

    def __init__(
        self,
        *,
        method: str,
        path: str,
        headers: Headers,
        body: "IncomingBody",
        socket_: socket.socket | None = None,
        query: str = "",
    ) -> None:
        self.method = method
        self.path = path
        self.query = query
        self.headers = headers
        self.body = body
        self.socket = socket_
        self._by_name = {name.lower(): value for name, value in headers}

    @property
    def path_parts(self) -> tuple[str, ...]:
        """Segments of the path, without leading and trailing slashes."""
        return tuple(self.path.strip("/").split("/"))

    def header(self, name: str, default: str = "") -> str:
        """Return the value of a header; ``name`` is in lower case."""
        return self._by_name.get(name, default)


class IncomingBody:
    """Body of a request that is read from the connection; sizes are in bytes."""

    __slots__ = ()

    @property
    def declared_length(self) -> int | None:
        """Length that the caller declared; None for chunked coding."""
        raise NotImplementedError

    def read(self, size: int) -> bytes:
        """Return at most ``size`` bytes; empty only at the end."""
        raise NotImplementedError

    def load(self, max_bytes: int) -> Body:
        """Return the body, buffered in memory if small, else streamed."""
        raise NotImplementedError


class HttpReply:
    """An HTTP response to a caller.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : list of (str, str)
        Header fields.
    chunks : iterable of bytes
        The body; if iteration raises, the connection to the caller is reset.
    """

    __slots__ = ("chunks", "headers", "status")

    def __init__(self, status: int, headers: Headers, chunks: Iterable[bytes] = ()) -> None:
        self.status = status
        self.headers = headers
        self.chunks: Iterable[bytes] | Iterator[bytes] = chunks


def json_reply(value: object, outcome: Outcome | None = None, status: int = 200) -> HttpReply:
    """Return a response with ``value`` as JSON body and, if given, an outcome header."""
    body = encode_json(value)
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    if outcome is not None:
        headers.append(("Almondstack-Outcome", outcome.value))
    return HttpReply(status, headers, [body])
