"""Follows the fleet stream and folds it."""

import threading

from almondstack.core import Clock, NullMetrics, PartLogger
from almondstack.fold import Fold, FoldGapError
from almondstack.log.client import FLEET, LogClient, LogEntry
from almondstack.log.errors import LogError, LogTruncatedError

__all__ = ["Follower"]

_POLL_WAIT_S = 1.0
_RETRY_S = 0.1

_log = PartLogger("log")


class Follower:
    """Reads the fleet stream in a thread of its own.

    Parameters
    ----------
    client : LogClient
        The log service.
    fold : Fold
        Takes the records.
    metrics : NullMetrics
        Counts records, refusals and failures.
    clock : Clock
        Waits and measures silence.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_fold",
        "_has_gap",
        "_last_contact_s",
        "_metrics",
        "_stop",
        "_thread",
    )

    def __init__(self, client: LogClient, fold: Fold, metrics: NullMetrics, clock: Clock) -> None:
        self._client = client
        self._fold = fold
        self._metrics = metrics
        self._clock = clock
        self._stop = threading.Event()
        self._last_contact_s: float | None = None
        self._has_gap = False
        self._thread = threading.Thread(target=self._run, name="follow-fleet", daemon=True)

    @property
    def has_gap(self) -> bool:
        """True if records were truncated before they were folded."""
        return self._has_gap

    @property
    def silence_s(self) -> float:
        """Seconds since the log service last answered; infinite before the first time."""
        if self._last_contact_s is None:
            return float("inf")
        return self._clock.monotonic() - self._last_contact_s

    def start(self) -> None:
        """Start the thread that reads."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def poll(self, wait_s: float = 0.0) -> int:
        """Read and fold once; return how many records were new.

        Raises
        ------
        LogError
            The service did not answer, or no longer keeps the next offset.
        """
        entries = self._client.read(FLEET, self._fold.next_offset, wait_s)
        self._last_contact_s = self._clock.monotonic()
        return self.take(entries)

    def take(self, entries: list[LogEntry]) -> int:
        """Fold records from the service or from a peer; return how many were new."""
        count = 0
        for entry in entries:
            try:
                verdict = self._fold.apply(entry.offset, entry.data)
            except FoldGapError:
                self._metrics.count("fold.gaps")
                break
            if verdict is not None:
                count += 1
                name = verdict.refusal or "accepted"
                self._metrics.count(f"fold.{name}")
        return count

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.poll(_POLL_WAIT_S)
                self._has_gap = False
            except LogTruncatedError:
                self._note_gap()
            except LogError as error:
                self._metrics.count(f"log.read-failed.{error.code}")
                self._clock.wait(self._stop, _RETRY_S)

    def _note_gap(self) -> None:
        if not self._has_gap:
            _log.error("Records before offset %d are gone.", self._fold.next_offset)
        self._has_gap = True
        self._clock.wait(self._stop, _RETRY_S)
