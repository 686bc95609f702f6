"""WSGI application base class and server for the stand-ins."""

import errno
from collections.abc import Callable, Iterable
from typing import Any, NoReturn

from cheroot import wsgi

from almondstack.core import encode_json, parse_address

__all__ = ["Reply", "StandinApp", "drop_connection", "read_body", "serve"]

StartResponse = Callable[..., Any]

_STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    409: "409 Conflict",
    410: "410 Gone",
    412: "412 Precondition Failed",
    421: "421 Misdirected Request",
    429: "429 Too Many Requests",
    503: "503 Service Unavailable",
}


class Reply:
    """HTTP response of a stand-in.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        Response body.
    content_type : str
        Media type of the body.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(
        self, status: int = 200, body: bytes = b"", content_type: str = "application/msgpack"
    ) -> None:
        self.status = status
        self.body = body
        self.content_type = content_type

    @classmethod
    def of_json(cls, value: Any) -> "Reply":
        """Return a response with status 200 and ``value`` as JSON."""
        return cls(200, encode_json(value), "application/json")


class StandinApp:
    """WSGI application that passes each request to :meth:`handle` of its subclass."""

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        raise NotImplementedError

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request according to WSGI (PEP 3333)."""
        pairs = (pair.partition("=") for pair in environ.get("QUERY_STRING", "").split("&"))
        query = {name: value for name, _, value in pairs if name}
        reply = self.handle(environ["REQUEST_METHOD"], environ["PATH_INFO"], query, environ)
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body)))]
        start_response(_STATUS_LINES[reply.status], headers)
        return [reply.body]


def drop_connection() -> NoReturn:
    """Close the connection without a response.

    Raises
    ------
    ConnectionResetError
        Always; cheroot closes the connection on it and logs nothing.
    """
    raise ConnectionResetError(errno.ECONNRESET, "reply dropped on purpose")


def read_body(environ: dict[str, Any]) -> bytes:
    """Return the whole request body; drop the connection if the caller sent only a part of it."""
    body: bytes = environ["wsgi.input"].read()
    if len(body) < int(environ.get("CONTENT_LENGTH") or 0):
        drop_connection()
    return body


def serve(app: Any, address: str, threads: int = 32) -> wsgi.Server:
    """Return a server that listens on ``address``; the caller of this function runs it."""
    server = wsgi.Server(parse_address(address), app, numthreads=threads, max=threads)
    server.request_queue_size = 512
    server.prepare()
    return server
