"""Sends raw bytes to an HTTP server, for requests that no HTTP library would send."""

import socket
import time
from collections.abc import Callable

from almondstack.core import parse_address

__all__ = ["RawResponse", "connect", "exchange", "read_to_end", "submission", "wait_until"]

_TIMEOUT_S = 10.0
KEY = "k1.secret"


class RawResponse:
    """The bytes received on one connection until it was closed.

    Parameters
    ----------
    data : bytes
        All received bytes.
    is_reset : bool
        True if the server reset the connection.
    """

    def __init__(self, data: bytes, is_reset: bool) -> None:
        self.data = data
        self.is_reset = is_reset
        self.head, _, self.body = data.partition(b"\r\n\r\n")

    @property
    def status(self) -> int:
        """Status of the first response; 0 if there is none."""
        words = self.head.split(b" ", 2)
        return int(words[1]) if len(words) > 1 else 0

    def header(self, name: str) -> str:
        """Return a header of the first response, an empty string if it has none."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.decode("latin-1").lower() == name:
                return value.decode("latin-1").strip()
        return ""

    @property
    def response_count(self) -> int:
        """Number of response heads in the received bytes."""
        return self.data.count(b"HTTP/1.1 ")


def connect(address: str) -> socket.socket:
    """Return a connection to ``address``."""
    return socket.create_connection(parse_address(address), timeout=_TIMEOUT_S)


def read_to_end(connection: socket.socket) -> RawResponse:
    """Read until the server closes or resets the connection."""
    pieces = []
    try:
        while piece := connection.recv(65_536):
            pieces.append(piece)
    except ConnectionResetError:
        return RawResponse(b"".join(pieces), True)
    return RawResponse(b"".join(pieces), False)


def exchange(address: str, data: bytes) -> RawResponse:
    """Send ``data`` on a new connection and read until the server closes it."""
    with connect(address) as connection:
        connection.sendall(data)
        return read_to_end(connection)


def submission(
    *headers: str, body: bytes = b"", queue: str = "invoices", version: str = "1.1", key: str = KEY
) -> bytes:
    """Return the bytes of a submission with ``Connection: close``."""
    lines = [
        f"POST /v1/queues/{queue}/requests HTTP/{version}",
        "Host: test",
        "Connection: close",
        f"Authorization: Bearer {key}",
        *headers,
    ]
    if not any(line.lower().startswith(("content-length", "transfer-")) for line in headers):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def wait_until(condition: Callable[[], bool], timeout_s: float = _TIMEOUT_S) -> bool:
    """Poll ``condition`` until it is true; return False after ``timeout_s`` seconds."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(0.005)
    return False
