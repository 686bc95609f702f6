"""Connections of the HTTP servers: a thread gets only requests that have arrived.

Explanation
-----------
The thread that accepts connections reads what they send, as it arrives.  A request is handed to
a thread of the pool when its head is complete.  A request whose body is still to come goes back,
and is handed over again when the body is complete or refused.  No thread of the pool waits for
a client to send.
"""

import contextlib
import select
import socket
import time
from enum import Enum, auto
from typing import TYPE_CHECKING, Any

from cheroot.server import HTTPConnection, HTTPRequest

from almondstack.core.client_guard import Refusal
from almondstack.core.request_bodies import (
    BodyFault,
    BodyLimits,
    ChunkedBody,
    KnownLengthBody,
    RequestBody,
)
from almondstack.core.socket_files import (
    ClientGoneError,
    ReceiveBuffer,
    SocketWriter,
    UnreadAnswerError,
)
from almondstack.core.supervision import report_error

if TYPE_CHECKING:
    from almondstack.core.http_server import PlatformHttpServer

__all__ = ["ServerConnection"]

_PIECE_BYTES = 16_384
"""Bytes that are read at a time, so that decoding them holds up other connections briefly."""

_HEAD_MARGIN_BYTES = 512
"""Bytes read beyond the longest head, by which the parser sees that a head is too long."""

_LINGER_S = 2.0
"""Time for a client to read an answer that refuses what it still sends, in seconds.  A connection
that is closed with unread bytes is reset, and the client may lose the answer."""

_MAX_DROPPED_BYTES = 1_048_576
"""Bytes that are read and dropped in that time."""

_REFUSALS_BY_FAULT = {
    BodyFault.TOO_LARGE: Refusal.BODY,
    BodyFault.MALFORMED: Refusal.BODY,
    BodyFault.NOT_HELD: Refusal.MEMORY,
}


class _Phase(Enum):
    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    HANDLING = auto()
    LINGERING = auto()


class _ServerRequest(HTTPRequest):
    """Parses a head; the gateway reads the body itself."""

    def respond(self) -> None:
        """Have the gateway go on with the request."""
        self.server.gateway(self).respond()


class ServerConnection(HTTPConnection):
    """A client's connection.

    Parameters
    ----------
    server : PlatformHttpServer
        Has accepted the connection.
    sock : socket.socket
        The connection.
    makefile : callable, optional
        Ignored; cheroot passes it.

    Attributes
    ----------
    body : RequestBody or None
        Body of the request that was read last, until it has its answer.
    """

    RequestHandlerClass = _ServerRequest

    def __init__(
        self, server: "PlatformHttpServer", sock: socket.socket, makefile: Any = None
    ) -> None:
        super().__init__(server, sock, _make_file)
        sock.settimeout(server.guard.limits.write_timeout_s)
        self.body: RequestBody | None = None
        self._phase = _Phase.IDLE
        self._deadline_s = time.monotonic() + server.timeout
        self._request: _ServerRequest | None = None
        self._is_counted = False
        self._dropped_bytes = 0

    @property
    def last_used(self) -> float:
        """Unix time from which cheroot counts the server's time-out, in seconds.

        Explanation
        -----------
        cheroot closes a connection that no thread has when this is longer ago than the
        time-out, so that it is derived from the deadline of the connection's present phase.  A
        step of the time of day changes no deadline.
        """
        return time.time() + self._deadline_s - time.monotonic() - self.server.timeout

    @last_used.setter
    def last_used(self, _now_s: float) -> None:
        if self._phase is _Phase.IDLE:
            self._deadline_s = time.monotonic() + self.server.timeout

    def receive(self) -> bool:
        """Read what has arrived; return whether a thread can go on with a request.

        Raises
        ------
        OSError
            The client has closed the connection, or has sent too much after a refusal.
        """
        self.rfile.receive(_PIECE_BYTES)
        if self._phase is _Phase.LINGERING:
            self._drop()
            return False
        return self.is_request_ready()

    def is_request_ready(self) -> bool:
        """Whether a thread can go on with a request, without waiting for the client."""
        if self._phase is _Phase.LINGERING:
            return False
        if self.body is not None:
            self.body.take(self.rfile)
            return self.body.is_settled
        if self.rfile and self._phase is _Phase.IDLE:
            self._enter(_Phase.HEAD, self.server.guard.limits.head_timeout_s)
        max_bytes = self.server.max_request_header_size + _HEAD_MARGIN_BYTES
        return self.rfile.has_head() or len(self.rfile) >= max_bytes

    def start_handling(self) -> None:
        """Note that a thread goes on with a request, or will: its time isn't the client's."""
        self._phase = _Phase.HANDLING
        if not self._is_counted:
            self._is_counted = True
            self.server.count_active(1)

    def start_body(self, request: HTTPRequest, max_bytes: int) -> RequestBody:
        """Begin to read the body of the present request; return it with what has arrived.

        Parameters
        ----------
        request : HTTPRequest
            The present request.
        max_bytes : int
            Longest body, in bytes.
        """
        max_line_bytes = self.server.max_request_header_size
        limits = BodyLimits(max_bytes, max_line_bytes, self.server.budget)
        length = int(request.inheaders.get(b"Content-Length", 0) or 0)
        body: RequestBody = (
            ChunkedBody(limits) if request.chunked_read else KnownLengthBody(length, limits)
        )
        body.take(self.rfile)
        self.body = body
        return body

    def communicate(self) -> bool:
        """Go on with the present request; return whether to keep the connection."""
        if not self._is_writable():
            self.server.refuse(Refusal.UNREAD_ANSWERS)
            return False
        try:
            return self._go_on()
        except UnreadAnswerError:
            self.server.refuse(Refusal.UNREAD_ANSWERS)
        except ClientGoneError:
            pass
        except Exception:
            report_error()
            self._report_failure()
        return False

    def close(self) -> None:
        """Close the connection and drop what was received of a request."""
        if self._phase is _Phase.HEAD and self._is_overdue:
            self.server.refuse(Refusal.HEAD_TIME)
        if self._phase is _Phase.BODY and self._is_overdue:
            self.server.refuse(Refusal.BODY_TIME)
        self._finish_request()
        self.server.forget(self)
        super().close()

    def interrupt(self) -> None:
        """Make the thread that accepts connections see this one as closed; any thread may."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)

    @property
    def _is_overdue(self) -> bool:
        return time.monotonic() >= self._deadline_s

    def _is_writable(self) -> bool:
        """Whether the client has read enough of earlier answers for one more to be sent."""
        poll = select.poll()
        poll.register(self.socket, select.POLLOUT)
        return bool(poll.poll(0))

    def _enter(self, phase: _Phase, timeout_s: float) -> None:
        self._phase = phase
        self._deadline_s = time.monotonic() + timeout_s

    def _report_failure(self) -> None:
        """Answer a request that the server has failed to handle."""
        request = self._request
        if request is not None and not request.sent_headers:
            with contextlib.suppress(OSError):
                request.simple_response("500 Internal Server Error")

    def _go_on(self) -> bool:
        request = self._request
        if request is None:
            request = self._request = self.RequestHandlerClass(self.server, self)
            request.parse_request()
            if not request.ready:
                self.server.refuse(Refusal.HEAD)
                return self._end(is_kept=False, is_unread=True)
        request.respond()
        body = self.body
        if body is None:
            return self._end(is_kept=not request.close_connection, is_unread=False)
        if not request.sent_headers:
            self._enter(_Phase.BODY, self.server.guard.limits.body_timeout_s)
            return True
        if body.fault is not None:
            self.server.refuse(_REFUSALS_BY_FAULT[body.fault])
        is_kept = body.is_ended and not request.close_connection
        return self._end(is_kept=is_kept, is_unread=not body.is_ended)

    def _end(self, *, is_kept: bool, is_unread: bool) -> bool:
        """End the present request; return whether to keep the connection."""
        self._finish_request()
        if is_kept:
            self._phase = _Phase.IDLE
            return True
        if not is_unread:
            return False
        self._end_answers()
        self._enter(_Phase.LINGERING, _LINGER_S)
        self._drop()
        return True

    def _end_answers(self) -> None:
        """End the server's side of the connection."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise ClientGoneError(*error.args) from error

    def _finish_request(self) -> None:
        body, self.body = self.body, None
        if body is not None:
            body.release()
        self._request = None
        if self._is_counted:
            self._is_counted = False
            self.server.count_active(-1)

    def _drop(self) -> None:
        self._dropped_bytes += self.rfile.drop()
        if self._dropped_bytes > _MAX_DROPPED_BYTES:
            raise ClientGoneError("the client goes on sending after a refusal")


def _make_file(sock: socket.socket, mode: str, _size: int) -> ReceiveBuffer | SocketWriter:
    return ReceiveBuffer(sock) if "r" in mode else SocketWriter(sock)
