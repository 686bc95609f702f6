"""Appends records of one author, each folded at most once.

Explanation
-----------
One thread appends, so an author's sequence numbers reach the log in order.
Records that wait are sent in one call.  An append whose reply was lost is
repeated with the same sequence numbers until it is answered; the fold takes it
once.
"""

import random
import threading
from typing import Any

from almondstack.core import Clock, LogServiceSettings, NullMetrics
from almondstack.log.client import LogClient
from almondstack.log.errors import LogError, LogReplyLostError
from almondstack.model import encode_record

__all__ = ["RecordWriter"]

_RETRY_FIRST_S = 0.05
_RETRY_MOST_S = 1.0


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
    """

    __slots__ = (
        "_author",
        "_client",
        "_clock",
        "_metrics",
        "_pending",
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
    ) -> None:
        self._client = client
        self._stream = stream
        self._author = author
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._sequence = 0
        self._pending: list[bytes] = []
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

    def start(self) -> None:
        """Start the thread that appends."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread; records that were not confirmed are given up."""
        self._stop.set()
        with self._wake:
            self._wake.notify_all()

    def submit(self, body: Any) -> int:
        """Hand over a record and return its sequence number at once."""
        with self._wake:
            self._sequence += 1
            self._pending.append(encode_record(self._author, self._sequence, body))
            self._wake.notify_all()
            return self._sequence

    def _run(self) -> None:
        while not self._stop.is_set():
            with self._wake:
                self._wake.wait_for(lambda: self._pending or self._stop.is_set())
            self._clock.wait(self._stop, self._settings.batch_window_s)
            with self._wake:
                batch = list(self._pending)
            if batch and self._append(batch):
                with self._wake:
                    del self._pending[: len(batch)]

    def _append(self, batch: list[bytes]) -> bool:
        delay_s = _RETRY_FIRST_S
        while not self._stop.is_set():
            try:
                self._client.append(self._stream, batch)
            except LogError as error:
                self._count_failure(error)
                self._clock.wait(self._stop, delay_s * random.uniform(0.5, 1.5))
                delay_s = min(delay_s * 2, _RETRY_MOST_S)
                continue
            self._metrics.count(f"log.{self._stream}.appends")
            self._metrics.count(f"log.{self._stream}.records", len(batch))
            return True
        return False

    def _count_failure(self, error: LogError) -> None:
        is_lost = isinstance(error, LogReplyLostError)
        name = "reply-lost" if is_lost else "unavailable"
        self._metrics.count(f"log.{self._stream}.retried.{name}")
