"""A small WSGI application base for the stand-ins."""

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
    """A whole answer of a stand-in.

    Parameters
    ----------
    status : int
        HTTP status.
    body : bytes
        The body.
    content_type : str
        Its media type.
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
        """Return an answer that holds ``value`` as JSON."""
        return cls(200, encode_json(value), "application/json")


class StandinApp:
    """Dispatches requests to the method that a subclass names for a path."""

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the answer to one request."""
        raise NotImplementedError

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request by WSGI (PEP 3333)."""
        pairs = (pair.partition("=") for pair in environ.get("QUERY_STRING", "").split("&"))
        query = {name: value for name, _, value in pairs if name}
        reply = self.handle(environ["REQUEST_METHOD"], environ["PATH_INFO"], query, environ)
        headers = [("Content-Type", reply.content_type), ("Content-Length", str(len(reply.body)))]
        start_response(_STATUS_LINES[reply.status], headers)
        return [reply.body]


def drop_connection() -> NoReturn:
    """End the connection without an answer; cheroot is silent after this error."""
    raise ConnectionResetError(errno.ECONNRESET, "reply dropped on purpose")


def read_body(environ: dict[str, Any]) -> bytes:
    """Return the whole request body; a request whose caller broke off is not carried out."""
    body: bytes = environ["wsgi.input"].read()
    if len(body) < int(environ.get("CONTENT_LENGTH") or 0):
        drop_connection()
    return body


def serve(app: Any, address: str, threads: int = 32) -> wsgi.Server:
    """Return a server that listens at ``address``; the caller runs it."""
    server = wsgi.Server(parse_address(address), app, numthreads=threads, max=threads)
    server.request_queue_size = 512
    server.prepare()
    return server
