"""HTTP request handler of the upstream stand-in, one instance per connection."""

import contextlib
import hashlib
import socket
import time
from http.server import BaseHTTPRequestHandler
from typing import TYPE_CHECKING, Any

import msgspec

from almondstack.core import encode_json
from almondstack.standin.journal import ConnectionClosed, ConnectionOpened
from almondstack.standin.upstream_faults import UpstreamFaults

if TYPE_CHECKING:
    from almondstack.standin.upstream import UpstreamStandin

__all__ = ["UpstreamHandler", "WorkAnswer"]

_GARBAGE = b"\x16\x03\x01garbage\x00\xff\r\n\r\n"
_LINE_BYTES = 65_536


class WorkAnswer(msgspec.Struct, frozen=True):
    """Response body, with which a caller checks that the response belongs to its request.

    Parameters
    ----------
    work_id : str
        Value of the request header ``Standin-Work-Id``.
    upstream : str
        Name of the instance that ran the request.
    length : int
        Length of the request body in bytes.
    digest : str
        SHA-256 of the request body, in hexadecimal.
    padding : str
        Filler of as many characters as the request header ``Standin-Answer-Bytes`` says.
    """

    work_id: str
    upstream: str
    length: int
    digest: str
    padding: str = ""


class UpstreamHandler(BaseHTTPRequestHandler):
    """Serves the requests of one connection one after another."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Record in the journal that the connection was opened."""
        super().setup()
        self._standin: UpstreamStandin = self.server.standin  # type: ignore[attr-defined]
        self._has_served = False
        self._standin.journal.add(ConnectionOpened(time.monotonic()))

    def finish(self) -> None:
        """Record in the journal that the connection was closed."""
        self._standin.mark_busy(self.connection)
        self._standin.journal.add(ConnectionClosed(time.monotonic()))
        with contextlib.suppress(OSError):
            super().finish()

    def handle_one_request(self) -> None:
        """Wait for a request and serve it."""
        if self._has_served:
            self._standin.mark_idle(self.connection)
        self._has_served = True
        try:
            super().handle_one_request()
        except OSError:
            self.close_connection = True

    def log_message(self, format: str, *args: Any) -> None:
        """Discard log messages of the base class."""

    def do_GET(self) -> None:  # noqa: N802
        """Serve a control call, a liveness probe or a request for work."""
        self._serve()

    def do_POST(self) -> None:  # noqa: N802
        """Serve a control call, a liveness probe or a request for work."""
        self._serve()

    def _serve(self) -> None:
        self._standin.mark_busy(self.connection)
        if self.path.startswith("/control/"):
            self._serve_control()
        elif self.path == "/livez":
            self._serve_liveness()
        elif self._standin.faults.refuses_work:
            self._refuse()
        else:
            self._serve_work()

    def _serve_control(self) -> None:
        body = self._read_body()
        if self.path == "/control/faults" and self.command == "POST":
            self._standin.faults = msgspec.json.decode(body, type=UpstreamFaults)
        reply: Any = {"name": self._standin.name}
        if self.path == "/control/runs":
            reply = {"runs": self._standin.runs()}
        self._send(200, encode_json(reply))

    def _serve_liveness(self) -> None:
        is_draining = self._standin.faults.is_draining
        self._send(200, b"", {"Almondstack-Draining": "yes"} if is_draining else {})

    def _refuse(self) -> None:
        self._read_body()
        is_draining = self._standin.faults.is_draining
        self._send(503, b"", {"Almondstack-Draining": "yes"} if is_draining else {})

    def _serve_work(self) -> None:
        faults = self._standin.faults
        headers = self.headers
        work_id = headers.get("Standin-Work-Id", "")
        is_idempotent = headers.get("Standin-Idempotent", "no") == "yes"
        team, key_id = headers.get("Standin-Team", ""), headers.get("Standin-Key", "")
        with self._standin.record_run(work_id, team, key_id, is_idempotent):
            body = self._read_body()
            self._simulate_work(faults)
        status = int(headers.get("Standin-Fail-Status", "200"))
        self._answer(faults.fails_status if faults.fails_fast else status, work_id, body)

    def _simulate_work(self, faults: UpstreamFaults) -> None:
        if faults.fails_fast:
            return
        self._standin.wait_while_hanging()
        work_ms = float(self.headers.get("Standin-Work-Ms", "0"))
        time.sleep(work_ms / 1000 * faults.slow_factor)

    def _answer(self, status: int, work_id: str, body: bytes) -> None:
        padding = "x" * int(self.headers.get("Standin-Answer-Bytes", "0"))
        digest = hashlib.sha256(body).hexdigest()
        answer = encode_json(WorkAnswer(work_id, self._standin.name, len(body), digest, padding))
        faults = self._standin.faults
        if faults.sends_garbage:
            self._send_and_close(_GARBAGE)
        elif faults.breaks_head:
            self._send_and_close(self._head(status, len(answer))[:40])
        elif faults.breaks_body:
            self._send_and_close(self._head(status, len(answer)) + answer[: len(answer) // 2])
        else:
            self._send(status, answer, times=1 + faults.answers_twice)
            if faults.closes_idle:
                self._send_and_close(b"")

    def _send_and_close(self, data: bytes) -> None:
        self.wfile.write(data)
        self.close_connection = True
        with contextlib.suppress(OSError):
            self.connection.shutdown(socket.SHUT_RDWR)

    def _head(self, status: int, length: int, extra: dict[str, str] | None = None) -> bytes:
        lines = [f"HTTP/1.1 {status} {self.responses.get(status, ('Status',))[0]}"]
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {length}")
        lines.extend(f"{name}: {value}" for name, value in (extra or {}).items())
        return "\r\n".join([*lines, "", ""]).encode()

    def _send(
        self, status: int, body: bytes, extra: dict[str, str] | None = None, times: int = 1
    ) -> None:
        self.wfile.write((self._head(status, len(body), extra) + body) * times)

    def _read_body(self) -> bytes:
        if "chunked" in self.headers.get("Transfer-Encoding", "").lower():
            return b"".join(iter(self._read_chunk, b""))
        return self._read_exactly(int(self.headers.get("Content-Length", "0")))

    def _read_chunk(self) -> bytes:
        """Return the data of one chunk (RFC 9112, section 7.1); empty for the last chunk."""
        size = int(self.rfile.readline(_LINE_BYTES).partition(b";")[0], 16)
        data = self._read_exactly(size)
        self.rfile.readline(_LINE_BYTES)
        return data

    def _read_exactly(self, size: int) -> bytes:
        data = self.rfile.read(size)
        if len(data) < size:
            raise ConnectionAbortedError(
                "connection closed before the whole request body was received"
            )
        return data
