"""Appends records of one author, each folded at most once.

Explanation
-----------
One thread appends, so an author's sequence numbers reach the log in order.
Records that wait are sent in one call.  An append whose reply was lost is
repeated with the same sequence numbers until it is answered; the fold takes it
once.  While the log is out, records wait up to a bound, and a further one is
refused.
"""

import random
import threading
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Any

from almondstack.core import Clock, LogServiceSettings, NullMetrics
from almondstack.log.client import LogClient
from almondstack.log.errors import LogError, LogReplyLostError, WriterFullError
from almondstack.log.rate import RateMeter
from almondstack.model import encode_record

__all__ = ["RecordWriter"]

_RETRY_FIRST_S = 0.05
_RETRY_MOST_S = 1.0
_PENDING_RECORDS = 10_000
_BATCH_RECORDS = 500


class _Pending:
    """A record that waits; its bytes are fixed at the first append."""

    __slots__ = ("body", "data", "sequence")

    def __init__(self, sequence: int, body: Any) -> None:
        self.sequence = sequence
        self.body = body
        self.data: bytes | None = None


class RecordWriter:
    """Appends the records of one author to one stream.

    Parameters
    ----------
    client : LogClient
        The log service.
    stream : str
        The stream.
    author : str
        Name of the author; no other writer may use it.
    settings : LogServiceSettings
        How long to wait for records that can share a call.
    metrics : NullMetrics
        Counts appends, records and retries.
    clock : Clock
        Waits.
    position : callable
        Returns the offset that the author has folded up to, which becomes the
        ``base`` of each record at its first append; while it returns None,
        records wait.  See :meth:`almondstack.log.Follower.position`.
    max_pending : int
        Most records that wait for the log.
    """

    __slots__ = (
        "_author",
        "_client",
        "_clock",
        "_metrics",
        "_max_pending",
        "_pending",
        "_position",
        "_rate",
        "_sequence",
        "_settings",
        "_stop",
        "_stream",
        "_thread",
        "_wake",
    )

    def __init__(
        self,
        client: LogClient,
        stream: str,
        author: str,
        settings: LogServiceSettings,
        metrics: NullMetrics,
        clock: Clock,
        *,
        position: Callable[[], int | None],
        max_pending: int = _PENDING_RECORDS,
    ) -> None:
        self._client = client
        self._stream = stream
        self._author = author
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._position = position
        self._max_pending = max_pending
        self._sequence = 0
        self._pending: deque[_Pending] = deque()
        self._rate = RateMeter(clock)
        self._wake = threading.Condition()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"append-{stream}", daemon=True)

    @property
    def author(self) -> str:
        """Name of the author."""
        return self._author

    @property
    def pending_count(self) -> int:
        """Number of records that the log has not confirmed."""
        with self._wake:
            return len(self._pending)

    @property
    def appends_per_s(self) -> float:
        """Appends a second of late, repeats included."""
        return self._rate.per_s

    def start(self) -> None:
        """Start the thread that appends."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; records that were not confirmed are given up."""
        self._stop.set()
        with self._wake:
            self._wake.notify_all()

    def submit(self, body: Any) -> int:
        """Hand over a record and return its sequence number at once.

        Raises
        ------
        WriterFullError
            Too many records wait; this one was not taken.
        """
        with self._wake:
            if len(self._pending) >= self._max_pending:
                self._metrics.count(f"log.{self._stream}.refused.writer-full")
                raise WriterFullError(f"{len(self._pending)} records wait for the log")
            self._sequence += 1
            self._pending.append(_Pending(self._sequence, body))
            self._wake.notify_all()
            return self._sequence

    def wait_until_confirmed(self, timeout_s: float) -> bool:
        """Wait until the log has confirmed every record; False after ``timeout_s`` seconds."""
        with self._wake:
            return self._wake.wait_for(lambda: not self._pending, timeout_s)

    def append_once(self) -> bool:
        """Try once to append what waits; True if the log confirmed it.

        Explanation
        -----------
        Called by the thread; tests call it to go step by step.
        """
        if not self.pending_count:
            return True
        batch = self._next_batch()
        if not batch:
            self._metrics.count(f"log.{self._stream}.retried.no-position")
            return False
        self._rate.add()
        try:
            self._client.append(self._stream, batch)
        except LogError as error:
            self._count_failure(error)
            return False
        self._metrics.count(f"log.{self._stream}.appends")
        self._metrics.count(f"log.{self._stream}.records", len(batch))
        self._metrics.gauge(f"log.{self._stream}.appends-per-s", self._rate.per_s)
        self._remove_confirmed(len(batch))
        return True

    def _next_batch(self) -> list[bytes]:
        base = self._position()
        with self._wake:
            chosen = list(islice(self._pending, _BATCH_RECORDS))
        batch: list[bytes] = []
        for pending in chosen:
            if pending.data is None and base is None:
                break
            if pending.data is None:
                pending.data = encode_record(
                    self._author, pending.sequence, pending.body, base or 0
                )
            batch.append(pending.data)
        return batch

    def _run(self) -> None:
        while not self._stop.is_set():
            with self._wake:
                self._wake.wait_for(lambda: self._pending or self._stop.is_set())
            self._clock.wait(self._stop, self._settings.batch_window_s)
            self._append_until_confirmed()

    def _append_until_confirmed(self) -> None:
        delay_s = _RETRY_FIRST_S
        while not self._stop.is_set() and not self.append_once():
            self._clock.wait(self._stop, delay_s * random.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, _RETRY_MOST_S)

    def _remove_confirmed(self, count: int) -> None:
        with self._wake:
            for _ in range(count):
                self._pending.popleft()
            self._wake.notify_all()

    def _count_failure(self, error: LogError) -> None:
        is_lost = isinstance(error, LogReplyLostError)
        name = "reply-lost" if is_lost else "unavailable"
        self._metrics.count(f"log.{self._stream}.retried.{name}")
