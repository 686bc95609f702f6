"""Reads HTTP responses from a socket with limits on time and memory."""

import http.client
import io
import socket

from almondstack.core import Clock

__all__ = ["ResponseReader", "ResponseSocket", "StrictResponse"]

_MAX_LINE_BYTES = 65_536
_MAX_INFORMATIONAL_RESPONSES = 16
_SWITCHING_PROTOCOLS = 101


class _TimedSocketReader(io.RawIOBase):
    """Reads from a socket until a deadline that holds for all reads together."""

    def __init__(self, sock: socket.socket, deadline_s: float, clock: Clock) -> None:
        super().__init__()
        self._sock = sock
        self._io = sock.makefile("rb", buffering=0)
        self._deadline_s = deadline_s
        self._clock = clock
        self.read_timeout_s: float | None = None
        self.is_closing = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:  # type: ignore[override]
        if self.is_closing:
            return None
        left_s = self._deadline_s - self._clock.monotonic()
        if self.read_timeout_s is not None:
            left_s = self.read_timeout_s
        if left_s <= 0:
            raise TimeoutError("no complete response before the deadline")
        self._sock.settimeout(left_s)
        return self._io.readinto(buffer)

    def close(self) -> None:
        self._io.close()
        super().close()


class ResponseReader(io.BufferedReader):
    """A buffered reader with limited line length that detects bytes after a response."""

    def __init__(self, raw: _TimedSocketReader) -> None:
        super().__init__(raw)
        self._timed = raw
        self.has_extra_bytes = False

    def set_read_timeout(self, timeout_s: float) -> None:
        """From now on limit each read to ``timeout_s`` instead of the whole response."""
        self._timed.read_timeout_s = timeout_s

    def readline(self, size: int | None = -1, /) -> bytes:
        """Read one line of limited length; raise HTTPException if it is cut off."""
        limit = _MAX_LINE_BYTES + 1 if size is None or size < 0 else size
        line = super().readline(limit)
        if line.endswith(b"\n"):
            return line
        if len(line) >= limit:
            raise http.client.LineTooLong("response line")
        raise http.client.RemoteDisconnected("connection closed within a response line")

    def close(self) -> None:
        """Record whether bytes follow the response; the socket stays open."""
        if not self.closed:
            self._timed.is_closing = True
            self.has_extra_bytes = bool(self.peek(1))
        super().close()


class ResponseSocket:
    """Replaces the socket that :mod:`http.client` reads a response from.

    Parameters
    ----------
    sock : socket.socket
        Socket of the connection.
    deadline_s : float
        Monotonic time by which the head must have arrived, in seconds.
    clock : Clock
        Time source for the deadline.
    """

    __slots__ = ("reader",)

    def __init__(self, sock: socket.socket, deadline_s: float, clock: Clock) -> None:
        self.reader = ResponseReader(_TimedSocketReader(sock, deadline_s, clock))

    def makefile(self, _mode: str) -> ResponseReader:
        """Return the reader."""
        return self.reader


class StrictResponse(http.client.HTTPResponse):
    """Skips informational responses and rejects ambiguous framing (RFC 9112, section 6)."""

    def begin(self) -> None:
        """Read the head of the final response; raise BadStatusLine if it is invalid."""
        for _ in range(_MAX_INFORMATIONAL_RESPONSES):
            self.headers = None  # type: ignore[assignment]
            super().begin()
            if not 100 <= self.status < 200:
                break
            if self.status == _SWITCHING_PROTOCOLS or self.fp is None:
                raise http.client.BadStatusLine(str(self.status))
        else:
            raise http.client.BadStatusLine(
                f"more than {_MAX_INFORMATIONAL_RESPONSES} informational responses"
            )
        self._check_framing()

    def _check_framing(self) -> None:
        if self.headers.defects:
            raise http.client.BadStatusLine("malformed response header")
        codings = self.headers.get_all("transfer-encoding", [])
        lengths = set(self.headers.get_all("content-length", []))
        if codings and (len(codings) != 1 or codings[0].strip().lower() != "chunked"):
            raise http.client.BadStatusLine(f"transfer coding other than chunked: {codings}")
        if codings and lengths:
            raise http.client.BadStatusLine("both Transfer-Encoding and Content-Length")
        if len(lengths) > 1 or any(not _is_number(text) for text in lengths):
            raise http.client.BadStatusLine(f"invalid or contradictory Content-Length: {lengths}")


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit()
