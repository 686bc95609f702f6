"""Follows the fleet stream and folds it."""

import random
import threading

from almondstack.core import Clock, NullMetrics, PartLogger
from almondstack.fold import Fold, FoldGapError, FoldOutdatedError
from almondstack.log.bootstrap import Bootstrap
from almondstack.log.client import FLEET, LogClient
from almondstack.log.errors import LogError, LogTruncatedError
from almondstack.log.reorder import ReorderBuffer
from almondstack.model import LogEntry

__all__ = ["Follower"]

_POLL_WAIT_S = 1.0
_RETRY_FIRST_S = 0.1
_RETRY_MOST_S = 1.0

_log = PartLogger("log")


class Follower:
    """Reads the fleet stream in a thread of its own.

    Explanation
    -----------
    The thread starts from :class:`Bootstrap` and goes back to it when records
    were truncated before they were folded.  Until then :attr:`has_gap` is True
    and the process must not decide anything.

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
    bootstrap : Bootstrap, optional
        Finds a state to start from; without it, one that asks no peers.
    """

    __slots__ = (
        "_bootstrap",
        "_client",
        "_clock",
        "_early",
        "_fold",
        "_has_gap",
        "_is_caught_up",
        "_last_contact_s",
        "_metrics",
        "_stop",
        "_taking",
        "_thread",
    )

    def __init__(
        self,
        client: LogClient,
        fold: Fold,
        metrics: NullMetrics,
        clock: Clock,
        bootstrap: Bootstrap | None = None,
    ) -> None:
        self._client = client
        self._fold = fold
        self._metrics = metrics
        self._clock = clock
        self._bootstrap = bootstrap or Bootstrap(client, fold, metrics)
        self._early = ReorderBuffer()
        self._taking = threading.Lock()
        self._stop = threading.Event()
        self._last_contact_s: float | None = None
        self._has_gap = False
        self._is_caught_up = False
        self._thread = threading.Thread(target=self._run, name="follow-fleet", daemon=True)

    @property
    def has_gap(self) -> bool:
        """True if records were truncated before they were folded."""
        return self._has_gap

    @property
    def may_decide(self) -> bool:
        """True if the folded state may be acted upon: no gap, and a known format level."""
        return not self._has_gap and not self._fold.is_outdated

    @property
    def is_caught_up(self) -> bool:
        """True once the end that the log had at the start has been reached."""
        return self._is_caught_up

    def position(self) -> int | None:
        """Return the offset folded up to, as ``base`` of new records; None if unknown.

        Explanation
        -----------
        Unknown before the process has caught up, and while it has a gap.
        """
        is_known = self._is_caught_up and self.may_decide
        return self._fold.next_offset if is_known else None

    @property
    def contact_age_s(self) -> float:
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

    def bootstrap(self) -> None:
        """Find a state to start from, or to go on from after a gap.

        Raises
        ------
        BootstrapError
            There is none.
        """
        self._bootstrap.run()
        self._has_gap = False
        self._note_progress()

    def poll(self, wait_s: float = 0.0) -> int:
        """Read and fold once; return how many records were new.

        Raises
        ------
        LogError
            The service did not answer, or no longer keeps the next offset.
        FoldOutdatedError
            The format level in force is above what this process can judge.
        """
        offset = self._fold.next_offset
        try:
            entries = self._client.read(FLEET, offset, wait_s)
        except LogTruncatedError:
            self._mark_gap()
            raise
        self._last_contact_s = self._clock.monotonic()
        if entries and entries[0].offset > offset:
            self._mark_gap()
            raise LogTruncatedError(f"the service skipped from offset {offset}")
        self._has_gap = False
        return self.fold_entries(entries)

    def fold_entries(self, entries: list[LogEntry]) -> int:
        """Fold records from the service or from a peer; return how many were new.

        Explanation
        -----------
        Records that come early are kept, up to a bound, until those before
        them have come.

        Raises
        ------
        FoldOutdatedError
            The format level in force is above what this process can judge.
        """
        with self._taking:
            self._early.add(entries, self._fold.next_offset)
            count = 0
            while (entry := self._early.pop(self._fold.next_offset)) is not None:
                count += self._apply(entry)
            self._note_progress()
            return count

    def _apply(self, entry: LogEntry) -> int:
        try:
            verdict = self._fold.apply(entry.offset, entry.data)
        except FoldGapError:
            self._metrics.count("fold.gaps")
            return 0
        if verdict is None:
            return 0
        self._metrics.count(f"fold.{verdict.refusal or 'accepted'}")
        return 1

    def _run(self) -> None:
        self._run_bootstrap()
        delay_s = _RETRY_FIRST_S
        while not self._stop.is_set():
            try:
                self.poll(_POLL_WAIT_S)
                delay_s = _RETRY_FIRST_S
            except LogTruncatedError:
                self._run_bootstrap()
            except LogError as error:
                self._metrics.count(f"log.read-failed.{error.code}")
                delay_s = self._back_off(delay_s)
            except FoldOutdatedError as error:
                self._give_up(error)

    def _run_bootstrap(self) -> None:
        delay_s = _RETRY_FIRST_S
        while not self._stop.is_set():
            try:
                self.bootstrap()
                return
            except LogError as error:
                self._metrics.count(f"log.bootstrap-failed.{error.code}")
                delay_s = self._back_off(delay_s)
            except FoldOutdatedError as error:
                self._give_up(error)

    def _back_off(self, delay_s: float) -> float:
        """Wait about ``delay_s`` seconds and return the next delay."""
        self._clock.wait(self._stop, delay_s * random.uniform(0.5, 1.5))
        return min(delay_s * 2, _RETRY_MOST_S)

    def _give_up(self, error: FoldOutdatedError) -> None:
        _log.error("This version is too old: %s.", error.detail)
        self._metrics.count("fold.outdated")
        self._has_gap = True
        self._stop.set()

    def _note_progress(self) -> None:
        target_offset = self._bootstrap.target_offset
        if target_offset is not None and self._fold.next_offset >= target_offset:
            self._is_caught_up = True

    def _mark_gap(self) -> None:
        if not self._has_gap:
            _log.error("Records from offset %d on are gone.", self._fold.next_offset)
            self._metrics.count("log.gaps")
        self._has_gap = True
