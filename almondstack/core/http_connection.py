"""One persistent HTTP/1.1 connection: sends a request and reads its response."""

import select
import socket

import httptools

from almondstack.core.errors import AlmondError

__all__ = ["HttpConnection", "HttpReply", "NoAnswerError", "NotSentError"]

_READ_BYTES = 65_536

_MAX_HEAD_BYTES = 65_536
"""Bound on the bytes of a status line and headers; a longer head is not a valid answer."""

_FIRST_FINAL_STATUS = 200
"""Responses with a lower status are interim: the final one follows on the connection."""


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


class HttpConnection:
    """An open connection to one address, used by one thread at a time.

    Parameters
    ----------
    host : str
        Numeric address of the server.
    port : int
        Port of the server.
    timeout_s : float
        Bound on opening the connection, in seconds.

    Raises
    ------
    NotSentError
        The connection could not be opened.
    """

    __slots__ = ("_head", "_socket", "_timeout_s", "is_reusable")

    def __init__(self, host: str, port: int, timeout_s: float) -> None:
        try:
            self._socket = socket.create_connection((host, port), timeout_s)
        except OSError as error:
            raise NotSentError(f"{host}:{port} {type(error).__name__}") from error
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._timeout_s = timeout_s
        self._head = f"Host: {_host_header(host, port)}\r\n"
        self.is_reusable = True

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open and idle.

        Explanation
        -----------
        An idle connection is readable only if the server has closed it, or has sent
        something that no request asked for.
        """
        if not self.is_reusable:
            return False
        poll = select.poll()
        poll.register(self._socket, select.POLLIN)
        return not poll.poll(0)

    def exchange(
        self, method: str, path: str, timeout_s: float, body: bytes, headers: dict[str, str]
    ) -> HttpReply:
        """Send one request and return its response; ``is_reusable`` tells if another may follow.

        Parameters
        ----------
        method, path : str
            Method, and path with query.
        timeout_s : float
            Bound on sending the request, and on each wait for a part of the response, in
            seconds.
        body : bytes
            Body of the request.
        headers : dict of str to str
            Headers in addition to ``Host`` and ``Content-Length``.

        Raises
        ------
        NoAnswerError
            The request may have been received, but no complete response arrived.
        """
        self.is_reusable = False
        try:
            self._set_timeout(timeout_s)
            self._socket.sendall(self._request(method, path, body, headers))
            return self._read_reply()
        except (OSError, httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise NoAnswerError(type(error).__name__) from error

    def close(self) -> None:
        """Close the connection."""
        self.is_reusable = False
        self._socket.close()

    def _set_timeout(self, timeout_s: float) -> None:
        """Set the timeout of the socket; a system call, so only if it has changed."""
        if timeout_s != self._timeout_s:
            self._socket.settimeout(timeout_s)
            self._timeout_s = timeout_s

    def _request(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> bytes:
        fields = "".join([f"{name}: {value}\r\n" for name, value in headers.items()])
        length = f"Content-Length: {len(body)}\r\n"
        head = f"{method} {path} HTTP/1.1\r\n{self._head}{length}{fields}\r\n"
        return head.encode("latin-1") + body

    def _read_reply(self) -> HttpReply:
        response = _Response()
        while not response.is_complete:
            received = self._socket.recv(_READ_BYTES)
            if not received:
                return response.end_of_stream()
            response.feed(received)
        self.is_reusable = response.keeps_alive
        return response.reply


class _Response:
    """Callbacks of the parser for one response, and what they have collected."""

    __slots__ = (
        "_body",
        "_has_extra_bytes",
        "_head_bytes",
        "_is_head_read",
        "_is_sized",
        "_keeps_alive",
        "_parser",
        "_status",
        "is_complete",
    )

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._has_extra_bytes = False
        self._head_bytes = 0
        self._is_head_read = False
        self._is_sized = False
        self._keeps_alive = False
        self._status = 0
        self.is_complete = False

    @property
    def reply(self) -> HttpReply:
        """The response as read so far."""
        return HttpReply(self._status, b"".join(self._body))

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open, and nothing followed the response on it."""
        return self._keeps_alive and not self._has_extra_bytes

    def feed(self, received: bytes) -> None:
        """Parse the next bytes of the response.

        Raises
        ------
        NoAnswerError
            The head is longer than its bound.
        """
        self._parser.feed_data(received)
        if not self._is_head_read:
            self._head_bytes += len(received)
            if self._head_bytes > _MAX_HEAD_BYTES:
                raise NoAnswerError("the head of the response is too long")

    def end_of_stream(self) -> HttpReply:
        """Return the response that the end of the connection completes.

        Raises
        ------
        NoAnswerError
            The connection has ended within the response.
        """
        if not self._is_head_read or self._is_sized:
            raise NoAnswerError("the connection was closed before the response was complete")
        return self.reply

    def on_message_begin(self) -> None:
        """Note that another message follows the complete response."""
        self._has_extra_bytes = self.is_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Note whether the head tells where the body ends."""
        if name.lower() in (b"content-length", b"transfer-encoding"):
            self._is_sized = True

    def on_headers_complete(self) -> None:
        """Keep the status, unless the response is an interim one."""
        status = self._parser.get_status_code()
        if self.is_complete or status < _FIRST_FINAL_STATUS:
            return
        self._status = status
        self._is_head_read = True

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body."""
        if not self.is_complete:
            self._body.append(part)

    def on_message_complete(self) -> None:
        """Note the end of the response, unless it is an interim one."""
        if self._is_head_read and not self.is_complete:
            self._keeps_alive = bool(self._parser.should_keep_alive())
            self.is_complete = True


def _host_header(host: str, port: int) -> str:
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
