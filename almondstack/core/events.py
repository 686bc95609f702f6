"""Writes structured log events to standard output, one JSON object a line.

Explanation
-----------
Lines are queued and written by a background thread, so that a slow reader of
standard output never blocks the caller.  The queue and the number of lines a
second are bounded.  Dropped lines are counted, and the next line that is
written carries the count in ``left_out_before``.
"""

import json
import sys
import threading
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import TextIO

from almondstack.core.supervision import frames_of

__all__ = ["EventLog"]

_MAX_QUEUED_LINES = 2_000
"""Bound on lines queued for the writer thread; a busy process fills it within seconds."""

_MAX_LINES_PER_S = 400
"""Bound on the volume, so that logging can't starve other work of processor time."""

_MAX_FREQUENT_LINES_PER_S = 300
"""Frequent events are limited to this total, so that a burst of run events leaves room for the
events of the jobs that the runs belong to."""

_FREQUENT_LINES_PER_S = 100
"""An event is frequent once it has written this many lines within a second."""

_EXTRA_RARE_LINES_PER_S = 60
"""Lines beyond ``_MAX_LINES_PER_S`` that are reserved for rare events, so that thousands of run
events don't displace the one line that explains them."""

_RARE_LINES_PER_S = 4
"""An event is rare while it has written fewer lines than this within a second."""

_FLUSH_INTERVAL_S = 0.2

_MAX_ERROR_CHARACTERS = 500
"""Length of the description of an error in one line."""

_MAX_WRITE_BYTES = 4_096
"""Bound on the bytes of one write: a pipe accepts up to PIPE_BUF bytes atomically (POSIX), so that
lines are neither cut nor interleaved with those of other processes."""


class EventLog:
    """Writes events as JSON lines without ever blocking the caller.

    Parameters
    ----------
    node : str
        Name of the instance, written in each line.
    stream : file, optional
        Destination of the lines; standard output by default.
    """

    __slots__ = (
        "_dropped",
        "_lines",
        "_lines_by_event",
        "_node",
        "_current_second",
        "_stop",
        "_stream",
        "_thread",
    )

    def __init__(self, node: str, stream: TextIO | None = None) -> None:
        self._node = node
        self._stream = stream or sys.stdout
        self._lines: deque[dict[str, object]] = deque()
        self._dropped = 0
        self._current_second = 0
        self._lines_by_event: Counter[str] = Counter()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="events", daemon=True)

    def start(self) -> None:
        """Start the writer thread."""
        self._thread.start()

    def stop(self) -> None:
        """Write the queued lines and stop the writer thread."""
        self._stop.set()
        self._thread.join(timeout=1.0)

    def report_failed_threads(self, count: Callable[[str], None] = lambda _: None) -> None:
        """Write a ``thread-failed`` line for each later uncaught exception in a thread.

        Explanation
        -----------
        The line has the innermost frames; the whole traceback still goes to standard error.

        Parameters
        ----------
        count : callable, optional
            Counts ``thread.failed``.
        """
        write_trace = threading.excepthook

        def report(failure: threading.ExceptHookArgs) -> None:
            name = failure.thread.name if failure.thread is not None else ""
            self.write(
                "thread-failed",
                thread=name,
                error=repr(failure.exc_value)[:_MAX_ERROR_CHARACTERS],
                frames=frames_of(failure.exc_traceback),
            )
            count("thread.failed")
            write_trace(failure)

        threading.excepthook = report

    def write(self, event: str, **fields: object) -> None:
        """Queue one line; a line over the bounds is counted and dropped."""
        now = time.time()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_by_event.clear()
        if not self._is_within_limits(event):
            self._dropped += 1
            return
        self._lines_by_event[event] += 1
        line = {"time": round(now, 3), "node": self._node, "event": event, **fields}
        if self._dropped:
            line["left_out_before"] = self._dropped
            self._dropped = 0
        self._lines.append(line)

    def _is_within_limits(self, event: str) -> bool:
        if len(self._lines) >= _MAX_QUEUED_LINES:
            return False
        written = self._lines_by_event.total()
        event_lines = self._lines_by_event[event]
        if event_lines < _RARE_LINES_PER_S:
            return written < _MAX_LINES_PER_S + _EXTRA_RARE_LINES_PER_S
        return written < (
            _MAX_LINES_PER_S if event_lines < _FREQUENT_LINES_PER_S else _MAX_FREQUENT_LINES_PER_S
        )

    def _run(self) -> None:
        while not self._stop.wait(_FLUSH_INTERVAL_S):
            try:
                self._flush()
            except Exception:
                # Nobody reads standard output, or a line can't be encoded: the lines of one
                # write are lost, and the program goes on.
                self._dropped += 1
        self._flush()

    def _flush(self) -> None:
        batch: list[str] = []
        size = 0
        while self._lines:
            line = json.dumps(self._lines.popleft(), separators=(",", ":"), default=str) + "\n"
            if batch and size + len(line) > _MAX_WRITE_BYTES:
                self._write_batch(batch)
                batch, size = [], 0
            batch.append(line)
            size += len(line)
        if batch:
            self._write_batch(batch)

    def _write_batch(self, lines: list[str]) -> None:
        self._stream.write("".join(lines))
        self._stream.flush()
