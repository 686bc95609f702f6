"""Reads the claims stream from the log into the claim table."""

import threading
from collections.abc import Callable

from almondstack.at_most_once.records import ClaimBatch, decode_batch
from almondstack.at_most_once.settings import OnceSettings
from almondstack.at_most_once.table import ClaimTable
from almondstack.core import Clock, CodecError, LocalMetrics, PartLogger
from almondstack.log import CLAIMS, LogBounds, LogClient, LogEntry, LogError, LogTruncatedError

__all__ = ["ClaimFollower"]

_POLL_WAIT_S = 1.0
_RETRY_INTERVAL_S = 0.1

_log = PartLogger("claims")


class ClaimFollower:
    """Reads the claims stream in a background thread.

    Explanation
    -----------
    A new entry need not read the whole stream.  It starts at an offset, found by
    bisection over the write times, from which on all claims of the window are
    written, and rejects ids older than the claims it has read.

    Parameters
    ----------
    client : LogClient
        The log service.
    table : ClaimTable
        Table that each record is applied to.
    on_batch : callable
        Called with each record after the table applied it.
    settings : OnceSettings
        Window and clock error.
    clock : Clock
        Determines the window to read.
    metrics : LocalMetrics
        Counts records and failures.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_is_ready",
        "_metrics",
        "_next_offset",
        "_on_batch",
        "_settings",
        "_stop",
        "_table",
        "_thread",
    )

    def __init__(
        self,
        client: LogClient,
        table: ClaimTable,
        on_batch: Callable[[ClaimBatch], None],
        settings: OnceSettings,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        self._client = client
        self._table = table
        self._on_batch = on_batch
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._next_offset = 0
        self._is_ready = False
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="follow-claims", daemon=True)

    @property
    def is_ready(self) -> bool:
        """True once every claim of the window has been read."""
        return self._is_ready

    def start(self) -> None:
        """Start the thread that reads the stream."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def locate(self) -> None:
        """Set the offset at which to start reading.

        Raises
        ------
        LogError
            The service did not answer.
        """
        bounds = self._client.bounds(CLAIMS)
        margin_s = self._settings.window_s + 3 * self._settings.clock_error_s
        wanted_ms = int((self._clock.unix() - margin_s) * 1000)
        low, high = bounds.oldest, bounds.next_offset
        while low < high:
            middle = (low + high) // 2
            if self._written_ms(middle) < wanted_ms:
                low = middle + 1
            else:
                high = middle
        self._next_offset = low
        if low > 0:
            self._reject_unread_ids(bounds, wanted_ms)

    def poll(self, wait_s: float = 0.0) -> int:
        """Read and apply the next records once; return their number.

        Raises
        ------
        LogError
            The service did not answer, or has truncated the next offset.
        """
        entries = self._client.read(CLAIMS, self._next_offset, wait_s)
        for entry in entries:
            self._apply(entry)
        return len(entries)

    def _reject_unread_ids(self, bounds: LogBounds, wanted_ms: int) -> None:
        """Reject ids that may be claimed by a record before the first one read.

        Explanation
        -----------
        Such a record was written before the first one read, apart from one clock
        error, and its ids are at most one further clock error ahead of its write time.
        """
        known_from_ms = wanted_ms
        if self._next_offset == bounds.oldest:
            is_empty = bounds.oldest == bounds.next_offset
            known_from_ms = self._now_ms() if is_empty else self._written_ms(bounds.oldest)
        self._table.raise_horizon(known_from_ms + 2 * self._clock_error_ms)

    def _now_ms(self) -> int:
        return int(self._clock.unix() * 1000)

    @property
    def _clock_error_ms(self) -> int:
        return int(self._settings.clock_error_s * 1000)

    def _written_ms(self, offset: int) -> int:
        entries = self._client.read(CLAIMS, offset)
        try:
            return decode_batch(entries[0].data).written_ms
        except (CodecError, IndexError):
            return 0

    def _apply(self, entry: LogEntry) -> None:
        self._next_offset = entry.offset + 1
        try:
            batch = decode_batch(entry.data)
        except CodecError:
            self._metrics.count("claims.malformed")
            return
        self._table.apply(batch)
        self._on_batch(batch)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._advance()
            except LogTruncatedError:
                self._skip_gap()
            except LogError as error:
                self._metrics.count(f"claims.read-failed.{error.code}")
                self._clock.wait(self._stop, _RETRY_INTERVAL_S)

    def _advance(self) -> None:
        if not self._is_ready:
            self.locate()
            while self.poll() > 0:
                pass
            self._is_ready = True
        self.poll(_POLL_WAIT_S)

    def _skip_gap(self) -> None:
        """Restart after a gap; reject every id created before now, since it cannot be checked."""
        _log.error(
            "Claims from offset %d on were truncated; ids created before now are rejected.",
            self._next_offset,
        )
        self._metrics.count("claims.gaps")
        self._table.raise_horizon(self._now_ms() + 2 * self._clock_error_ms)
        self._is_ready = False
        self._clock.wait(self._stop, _RETRY_INTERVAL_S)
