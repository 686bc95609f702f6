"""Refuses connections with a 503 response while no thread is free."""

import contextlib
import queue
import socket
import threading
import time
from collections import deque
from typing import Any

from almondstack.core import LocalMetrics, Reason, RequestError
from almondstack.entry.problems import problem_body, problem_headers, status_line

__all__ = ["OverflowRefuser", "raw_refusal"]

_LINGER_S = 1.0
_MAX_LINGERING = 512
_SEND_TIMEOUT_S = 0.2
_POLL_S = 0.2


def raw_refusal(reason: Reason, detail: str = "") -> bytes:
    """Return a complete HTTP/1.1 response that closes the connection."""
    error = RequestError(reason, detail)
    body = problem_body(error)
    headers = [*problem_headers(error, body), ("Connection", "close")]
    lines = [f"HTTP/1.1 {status_line(error.status)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class OverflowRefuser:
    """Refuses connections in a single thread with a lingering close.

    Explanation
    -----------
    A connection is half-closed after the response and closed only a second later:
    closing at once could reset it before the caller has read the response.

    Parameters
    ----------
    metrics : LocalMetrics
        Counts refusals.
    """

    __slots__ = ("_lingering", "_metrics", "_queue", "_response", "_stop", "_thread")

    def __init__(self, metrics: LocalMetrics) -> None:
        self._metrics = metrics
        self._response = raw_refusal(Reason.TOO_MANY_CONNECTIONS)
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._lingering: deque[tuple[float, Any]] = deque()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="overflow", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def refuse(self, connection: Any) -> None:
        """Queue a cheroot connection for refusal; it is closed soon after."""
        self._metrics.count(f"refused.{Reason.TOO_MANY_CONNECTIONS.value}")
        self._queue.put(connection)

    def _run(self) -> None:
        while not self._stop.is_set():
            with contextlib.suppress(queue.Empty):
                self._send(self._queue.get(timeout=_POLL_S))
            self._close_lingering()

    def _send(self, connection: Any) -> None:
        with contextlib.suppress(OSError):
            connection.socket.settimeout(_SEND_TIMEOUT_S)
            connection.socket.sendall(self._response)
            connection.socket.shutdown(socket.SHUT_WR)
        self._lingering.append((time.monotonic() + _LINGER_S, connection))

    def _close_lingering(self) -> None:
        now_s = time.monotonic()
        while self._lingering and (
            self._lingering[0][0] <= now_s or len(self._lingering) > _MAX_LINGERING
        ):
            _, connection = self._lingering.popleft()
            with contextlib.suppress(OSError):
                connection.close()
