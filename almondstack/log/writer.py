"""Appends the records of one author so that each is folded at most once.

Explanation
-----------
One thread appends, so an author's sequence numbers reach the log in order.
Pending records are sent in batches.  An append whose reply was lost is repeated
with the same sequence numbers until the log confirms it; the fold applies each
record once.  A record is encoded at its first append, with the offset that the
process had folded by then as its ``base``; the fold refuses records whose base is
too old.  While the log is unavailable, records are buffered up to a maximum, and
further ones are rejected.
"""

import random
import threading
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Any

from almondstack.core import Clock, LocalMetrics, LogServiceSettings
from almondstack.log.client import LogClient
from almondstack.log.errors import LogError, LogReplyLostError, WriterFullError
from almondstack.log.rate import RateMeter
from almondstack.model import encode_record

__all__ = ["RecordWriter"]

_RETRY_INITIAL_S = 0.05
_RETRY_MAX_S = 1.0
_MAX_PENDING_RECORDS = 10_000
_MAX_BATCH_RECORDS = 500


class _PendingRecord:
    """A record not yet confirmed by the log; it is encoded at its first append."""

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
        Time for which records are collected into one batch.
    metrics : LocalMetrics
        Counts appends, confirmed records, retries and rejected records, and shows
        the rate of appends.
    clock : Clock
        Times batches and retries.
    position : callable
        Returns the next offset that this process will fold, which becomes the
        ``base`` of each record at its first append.  While it returns None, only
        records that were sent before are appended again.  See
        :meth:`almondstack.log.Follower.position`.
    max_pending : int
        Maximum number of records not confirmed by the log.
    """

    __slots__ = (
        "_author",
        "_client",
        "_clock",
        "_metrics",
        "_max_pending",
        "_pending",
        "_pending_changed",
        "_position",
        "_rate",
        "_sequence",
        "_settings",
        "_stop",
        "_stream",
        "_thread",
    )

    def __init__(
        self,
        client: LogClient,
        stream: str,
        author: str,
        settings: LogServiceSettings,
        metrics: LocalMetrics,
        clock: Clock,
        *,
        position: Callable[[], int | None],
        max_pending: int = _MAX_PENDING_RECORDS,
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
        self._pending: deque[_PendingRecord] = deque()
        self._rate = RateMeter(clock)
        self._pending_changed = threading.Condition()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"append-{stream}", daemon=True)

    @property
    def author(self) -> str:
        """Name of the author."""
        return self._author

    @property
    def pending_count(self) -> int:
        """Number of records not confirmed by the log."""
        with self._pending_changed:
            return len(self._pending)

    @property
    def appends_per_s(self) -> float:
        """Appends per second over the last ten seconds, retries included."""
        return self._rate.per_s

    def start(self) -> None:
        """Start the thread that appends."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; records not yet confirmed are no longer retried."""
        self._stop.set()
        with self._pending_changed:
            self._pending_changed.notify_all()

    def submit(self, body: Any) -> int:
        """Queue a record and return its sequence number without waiting for the log.

        Raises
        ------
        WriterFullError
            ``max_pending`` records are pending; this one was rejected.
        """
        with self._pending_changed:
            if len(self._pending) >= self._max_pending:
                self._metrics.count(f"log.{self._stream}.refused.writer-full")
                raise WriterFullError(
                    f"{len(self._pending)} records are pending, of at most {self._max_pending}"
                )
            self._sequence += 1
            self._pending.append(_PendingRecord(self._sequence, body))
            self._pending_changed.notify_all()
            return self._sequence

    def wait_until_confirmed(self, timeout_s: float) -> bool:
        """Wait until the log has confirmed every record; False if ``timeout_s`` seconds pass."""
        with self._pending_changed:
            return self._pending_changed.wait_for(lambda: not self._pending, timeout_s)

    def append_once(self) -> bool:
        """Append the oldest pending records; True if confirmed or if none is pending.

        Explanation
        -----------
        Called by the thread, and by tests that control each attempt.
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
        with self._pending_changed:
            chosen = list(islice(self._pending, _MAX_BATCH_RECORDS))
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
            with self._pending_changed:
                self._pending_changed.wait_for(lambda: self._pending or self._stop.is_set())
            self._clock.wait(self._stop, self._settings.batch_window_s)
            self._append_until_confirmed()

    def _append_until_confirmed(self) -> None:
        delay_s = _RETRY_INITIAL_S
        while not self._stop.is_set() and not self.append_once():
            self._clock.wait(self._stop, delay_s * random.uniform(0.5, 1.5))
            delay_s = min(delay_s * 2, _RETRY_MAX_S)

    def _remove_confirmed(self, count: int) -> None:
        with self._pending_changed:
            for _ in range(count):
                self._pending.popleft()
            self._pending_changed.notify_all()

    def _count_failure(self, error: LogError) -> None:
        is_lost = isinstance(error, LogReplyLostError)
        name = "reply-lost" if is_lost else "unavailable"
        self._metrics.count(f"log.{self._stream}.retried.{name}")
