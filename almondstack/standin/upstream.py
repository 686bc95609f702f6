"""Stand-in for an upstream instance, which simulates requests and records each run.

Explanation
-----------
``Standin-*`` headers of a request set its duration and the size and status of the
response.  The stand-in records the start and end of each run in a
:class:`~almondstack.standin.journal.Journal`, which the bench compares with the
responses that callers received, independently of the entries.  Limits on slots and
connections are not enforced; the journal shows how many were in use.  Every
connection has a thread (``http.server``), so that faults can be injected directly
on its socket.
"""

import contextlib
import socket
import threading
import time
from collections.abc import Iterator
from http.server import ThreadingHTTPServer
from pathlib import Path

import msgspec

from almondstack.core import parse_address
from almondstack.standin.journal import Journal, RunEnded, RunStarted
from almondstack.standin.upstream_faults import UpstreamFaults
from almondstack.standin.upstream_handler import UpstreamHandler

__all__ = ["Run", "UpstreamFaults", "UpstreamStandin"]

_BACKLOG = 512


class Run(msgspec.Struct):
    """One run of a request on an upstream.

    Parameters
    ----------
    work_id, team : str
        Values of the caller's ``Standin-*`` headers.
    started_s, ended_s : float
        Monotonic times in seconds; ``ended_s`` is None while the request runs.
    """

    work_id: str
    team: str
    started_s: float
    ended_s: float | None = None


class _Server(ThreadingHTTPServer):
    """HTTP server whose handlers reach the stand-in as ``server.standin``."""

    daemon_threads = True
    block_on_close = False
    allow_reuse_address = True
    request_queue_size = _BACKLOG

    def __init__(self, address: tuple[str, int], standin: "UpstreamStandin") -> None:
        self.standin = standin
        super().__init__(address, UpstreamHandler)

    def handle_error(self, request: object, client_address: object) -> None:
        """Log nothing: callers that close their connection are expected."""


class UpstreamStandin:
    """Simulates requests of the duration that their headers give.

    Parameters
    ----------
    name : str
        Name of the instance, part of each response.
    address : str
        Numeric address to listen on.
    journal_path : pathlib.Path, optional
        File to which the events of the journal are appended.

    Examples
    --------
    >>> from almondstack.standin.upstream import UpstreamStandin
    >>> from almondstack.testing.addresses import free_address
    >>> with UpstreamStandin("u1", free_address()) as upstream:
    ...     upstream.faults = UpstreamFaults(hangs=True)
    ...     len(upstream.runs())
    0
    """

    def __init__(self, name: str, address: str, journal_path: Path | None = None) -> None:
        self.name = name
        self.address = address
        self.journal = Journal(journal_path)
        self._faults = UpstreamFaults()
        self._changed = threading.Condition()
        self._idle: set[socket.socket] = set()
        self._run_count = 0
        self._is_stopped = threading.Event()
        self._server = _Server(parse_address(address), self)

    def __enter__(self) -> "UpstreamStandin":
        threading.Thread(target=self.serve, name=f"upstream-{self.name}", daemon=True).start()
        return self

    def __exit__(self, *_exc: object) -> None:
        self.stop()

    @property
    def faults(self) -> UpstreamFaults:
        """Injected faults."""
        return self._faults

    @faults.setter
    def faults(self, faults: UpstreamFaults) -> None:
        with self._changed:
            self._faults = faults
            self._changed.notify_all()
        if faults.closes_idle:
            self.close_idle()
        if faults.refuses_for_s > 0:
            threading.Thread(target=self._server.shutdown, name="refuse").start()

    def serve(self) -> None:
        """Serve until :meth:`stop`."""
        while not self._is_stopped.is_set():
            self._server.serve_forever(poll_interval=0.05)
            self._server.server_close()
            if self._is_stopped.wait(self._faults.refuses_for_s):
                return
            self._faults = msgspec.structs.replace(self._faults, refuses_for_s=0.0)
            self._server = _Server(parse_address(self.address), self)

    def stop(self) -> None:
        """Stop listening and close idle connections; requests in progress are not interrupted."""
        self._is_stopped.set()
        self.faults = UpstreamFaults()
        self._server.shutdown()
        self._server.server_close()
        self.close_idle()

    def runs(self) -> list[Run]:
        """Return all runs since the start of the stand-in, oldest first."""
        by_number: dict[int, Run] = {}
        for event in self.journal.events():
            if isinstance(event, RunStarted):
                by_number[event.run] = Run(event.work_id, event.team, event.at_s)
            elif isinstance(event, RunEnded):
                by_number[event.run].ended_s = event.at_s
        return list(by_number.values())

    @contextlib.contextmanager
    def record_run(
        self, work_id: str, team: str, key_id: str, is_idempotent: bool
    ) -> Iterator[None]:
        """Record the start and the end of a run in the journal."""
        with self._changed:
            self._run_count += 1
            number = self._run_count
        now_s = time.monotonic()
        self.journal.add(RunStarted(number, work_id, team, key_id, is_idempotent, now_s))
        try:
            yield
        finally:
            self.journal.add(RunEnded(number, time.monotonic()))

    def wait_while_hanging(self) -> None:
        """Wait until the fault ``hangs`` is cleared."""
        with self._changed:
            self._changed.wait_for(lambda: not self._faults.hangs)

    def mark_idle(self, connection: socket.socket) -> None:
        """Mark a connection as waiting for a request, and close it under ``closes_idle``."""
        with self._changed:
            self._idle.add(connection)
            is_closed = self._faults.closes_idle
        if is_closed:
            self.close_idle()

    def mark_busy(self, connection: socket.socket) -> None:
        """Mark a connection as serving a request."""
        with self._changed:
            self._idle.discard(connection)

    def close_idle(self) -> None:
        """Close every connection that waits for a request."""
        with self._changed:
            idle = list(self._idle)
            self._idle.clear()
        for connection in idle:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
