"""HTTP server for callers, based on cheroot.

Explanation
-----------
cheroot serves each request in a thread of a bounded pool.  This module adds
four things: a new connection occupies no thread until its first byte arrives;
heads are parsed strictly and within a time limit; requests that the server
itself refuses get problem details; and a response that is aborted ends with a
connection reset.
"""

import math
import queue
import time
from collections.abc import Callable
from email.utils import formatdate
from typing import Any

from cheroot.server import Gateway, HTTPConnection, HTTPRequest, HTTPServer
from cheroot.workers.threadpool import ThreadPool

from almondstack.core import LocalMetrics, PartLogger, Reason, parse_address
from almondstack.entry.bodies import ChunkedBody, KnownLengthBody
from almondstack.entry.connections import Reaper, reset_on_close
from almondstack.entry.header_reader import StrictHeaderReader
from almondstack.entry.http import HttpReply, HttpRequest
from almondstack.entry.overflow import OverflowRefuser, raw_refusal
from almondstack.entry.problems import status_line
from almondstack.entry.settings import EntrySettings
from almondstack.entry.sockets import make_socket_file
from almondstack.entry.tls import ReloadingTlsAdapter

__all__ = ["EntryServer", "Handler"]

Handler = Callable[[HttpRequest], HttpReply]

_MAX_HEAD_BYTES = 32_768
_MAX_DISCARDED_BYTES = 65_536
_EXPIRATION_INTERVAL_S = 0.1

_REASONS_BY_STATUS = {
    "400": Reason.BAD_REQUEST,
    "405": Reason.PATH_UNKNOWN,
    "408": Reason.BODY_INCOMPLETE,
    "413": Reason.BAD_REQUEST,
    "414": Reason.BAD_REQUEST,
    "500": Reason.INTERNAL,
    "505": Reason.BAD_REQUEST,
}

_log = PartLogger("entry")


class _EntryRequest(HTTPRequest):
    """Parses one request head strictly, and refuses requests with problem details."""

    header_reader = StrictHeaderReader()

    def __init__(self, server: "EntryServer", conn: HTTPConnection) -> None:
        super().__init__(server, conn, proxy_mode=False, strict_mode=True)

    def parse_request(self) -> None:
        """Read the head within the time limit."""
        limit_s = self.server.head_timeout_s
        with self.server.reaper.time_limit(self.conn.socket, limit_s):
            super().parse_request()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuse the request and close; cheroot calls this for heads that it rejects."""
        reason = _REASONS_BY_STATUS.get(str(status)[:3], Reason.BAD_REQUEST)
        self.server.metrics.count(f"refused.{reason.value}")
        self.close_connection = True
        self.sent_headers = True
        try:
            self.conn.wfile.write(raw_refusal(reason, msg))
        except OSError:
            _log.debug("Caller closed the connection before the refusal was sent.")


class _EntryConnection(HTTPConnection):
    """A caller's connection."""

    RequestHandlerClass = _EntryRequest
    is_aborted = False

    def __init__(self, server: "EntryServer", sock: Any, makefile: Any = None) -> None:
        super().__init__(server, sock, make_socket_file)

    def close(self) -> None:
        """Close the connection, with a TCP reset if a response on it was aborted."""
        if not self.is_aborted:
            super().close()
            return
        reset_on_close(self.socket)
        self.rfile.close()
        self.socket.close()


class _EntryGateway(Gateway):
    """Passes a request to the handler and writes the response."""

    def respond(self) -> None:
        """Handle one request and write its response."""
        body = self._incoming_body()
        reply = self.req.server.handler(self._request(body))
        try:
            self._send(reply, body)
        finally:
            close = getattr(reply.chunks, "close", None)
            if close is not None:
                close()

    def _send(self, reply: HttpReply, body: ChunkedBody | KnownLengthBody) -> None:
        self._write_head(reply, body)
        try:
            for chunk in reply.chunks:
                if chunk:
                    self.req.write(chunk)
        except Exception as error:
            _log.info("Response aborted; resetting the connection: %s.", error)
            self.req.conn.is_aborted = True
            raise ConnectionAbortedError("the response was aborted") from error

    def _incoming_body(self) -> ChunkedBody | KnownLengthBody:
        if self.req.chunked_read:
            return ChunkedBody(self.req.conn.rfile)
        length = int(self.req.inheaders.get(b"Content-Length", 0))
        return KnownLengthBody(self.req.conn.rfile, length)

    def _request(self, body: ChunkedBody | KnownLengthBody) -> HttpRequest:
        request = self.req
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.inheaders.items()
        ]
        return HttpRequest(
            method=request.method.decode("latin-1"),
            path=request.path.decode("latin-1"),
            query=(request.qs or b"").decode("latin-1"),
            headers=headers,
            body=body,
            socket_=request.conn.socket,
        )

    def _write_head(self, reply: HttpReply, body: ChunkedBody | KnownLengthBody) -> None:
        request = self.req
        request.status = status_line(reply.status).encode("latin-1")
        request.outheaders.append((b"Date", self.req.server.date()))
        request.outheaders.extend(
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in reply.headers
        )
        is_discardable = (
            isinstance(body, KnownLengthBody) and body.remaining <= _MAX_DISCARDED_BYTES
        )
        if body.remaining and not is_discardable:
            request.close_connection = True
        request.rfile = body if isinstance(body, KnownLengthBody) else request.rfile
        request.ensure_headers_sent()


class EntryServer(HTTPServer):
    """Listens for callers and serves their requests.

    Parameters
    ----------
    settings : EntrySettings
        Address, thread count and bounds.
    handler : callable
        Returns the response to one request; must not raise.
    reaper : Reaper
        Shuts down connections that exceed a time limit.
    metrics : LocalMetrics
        Counts the requests that the server itself refuses.
    """

    ConnectionClass = _EntryConnection
    expiration_interval = _EXPIRATION_INTERVAL_S

    def __init__(
        self, settings: EntrySettings, handler: Handler, reaper: Reaper, metrics: LocalMetrics
    ) -> None:
        callers = settings.callers
        super().__init__(parse_address(callers.listen), _EntryGateway, server_name="almondstack")
        self.handler = handler
        self.reaper = reaper
        self.metrics = metrics
        self.head_timeout_s = callers.head_timeout_s
        self.timeout = math.ceil(callers.body_timeout_s)
        self.shutdown_timeout = math.ceil(settings.shutdown_timeout_s)
        self.request_queue_size = callers.waiting_connections
        self.max_request_header_size = _MAX_HEAD_BYTES
        self.keep_alive_conn_limit = callers.idle_connections
        self.requests = ThreadPool(
            self,
            min=callers.threads,
            max=callers.threads,
            accepted_queue_size=callers.waiting_connections,
            accepted_queue_timeout=0,
        )
        self._refuser = OverflowRefuser(metrics)
        self._date = (0, b"")
        if callers.tls is not None:
            self.ssl_adapter = ReloadingTlsAdapter(callers.tls)

    def prepare(self) -> None:
        """Bind the address and start the threads."""
        super().prepare()
        self._refuser.start()

    def date(self) -> bytes:
        """Return the value of the Date header (RFC 9110, section 6.6.1), cached for a second."""
        now_s = int(time.time())
        made_s, value = self._date
        if made_s != now_s:
            value = formatdate(now_s, usegmt=True).encode("ascii")
            self._date = (now_s, value)
        return value

    def process_conn(self, conn: Any) -> None:
        """Assign a thread to a connection once its first byte can be read."""
        if conn.last_used is None:
            self.put_conn(conn)
            return
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuser.refuse(conn)

    def error_log(self, msg: str = "", level: int = 20, traceback: bool = False) -> None:
        """Write cheroot's messages to the debug log, except those on aborted responses."""
        if "the response was aborted" not in msg:
            _log.debug("%s", msg)
