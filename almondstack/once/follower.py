"""Follows the claims stream."""

import threading
from collections.abc import Callable

from almondstack.core import Clock, CodecError, LocalMetrics, PartLogger
from almondstack.log import CLAIMS, LogBounds, LogClient, LogEntry, LogError, LogTruncatedError
from almondstack.once.records import ClaimBatch, decode_batch
from almondstack.once.settings import OnceSettings
from almondstack.once.table import ClaimTable

__all__ = ["ClaimFollower"]

_POLL_WAIT_S = 1.0
_RETRY_S = 0.1

_log = PartLogger("claims")


class ClaimFollower:
    """Reads the claims stream in a thread of its own.

    Explanation
    -----------
    A newcomer need not read the whole stream: it starts early enough to know
    every claim within the window, found by bisection over the writing times,
    and refuses ids that are older than what it has read.

    Parameters
    ----------
    client : LogClient
        The log service.
    table : ClaimTable
        Takes the records.
    decide : callable
        Called with each record after the table took it.
    settings : OnceSettings
        Window and clock error.
    clock : Clock
        Finds where to start.
    metrics : LocalMetrics
        Counts records and failures.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_decide",
        "_is_ready",
        "_metrics",
        "_next_offset",
        "_settings",
        "_stop",
        "_table",
        "_thread",
    )

    def __init__(
        self,
        client: LogClient,
        table: ClaimTable,
        decide: Callable[[ClaimBatch], None],
        settings: OnceSettings,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        self._client = client
        self._table = table
        self._decide = decide
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._next_offset = 0
        self._is_ready = False
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="follow-claims", daemon=True)

    @property
    def is_ready(self) -> bool:
        """True once every claim of the window is known."""
        return self._is_ready

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def locate(self) -> None:
        """Find where to start reading.

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
            self._forget_unread(bounds, wanted_ms)

    def poll(self, wait_s: float = 0.0) -> int:
        """Read and fold once; return the number of records.

        Raises
        ------
        LogError
            The service did not answer, or no longer keeps the next offset.
        """
        entries = self._client.read(CLAIMS, self._next_offset, wait_s)
        for entry in entries:
            self._take(entry)
        return len(entries)

    def _forget_unread(self, bounds: LogBounds, wanted_ms: int) -> None:
        """Refuse ids that a record before the first one read may have claimed.

        Explanation
        -----------
        Such a record was written before the first one, but for the difference
        of two clocks, and its ids lie at most one more such difference ahead.
        """
        known_from_ms = wanted_ms
        if self._next_offset == bounds.oldest:
            is_empty = bounds.oldest == bounds.next_offset
            known_from_ms = self._now_ms() if is_empty else self._written_ms(bounds.oldest)
        self._table.forget_before(known_from_ms + 2 * self._clock_error_ms)

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

    def _take(self, entry: LogEntry) -> None:
        self._next_offset = entry.offset + 1
        try:
            batch = decode_batch(entry.data)
        except CodecError:
            self._metrics.count("claims.malformed")
            return
        self._table.apply(batch)
        self._decide(batch)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self._advance()
            except LogTruncatedError:
                self._skip_gap()
            except LogError as error:
                self._metrics.count(f"claims.read-failed.{error.code}")
                self._clock.wait(self._stop, _RETRY_S)

    def _advance(self) -> None:
        if not self._is_ready:
            self.locate()
            while self.poll() > 0:
                pass
            self._is_ready = True
        self.poll(_POLL_WAIT_S)

    def _skip_gap(self) -> None:
        """Go on behind a gap; every id made before now can no longer be checked."""
        _log.error("Claims from offset %d on are gone.", self._next_offset)
        self._metrics.count("claims.gaps")
        self._table.forget_before(self._now_ms() + 2 * self._clock_error_ms)
        self._is_ready = False
        self._clock.wait(self._stop, _RETRY_S)
