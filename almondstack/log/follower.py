"""Folds the records of the fleet stream as they are read from the log or relayed by peers."""

import random
import threading

from almondstack.core import Clock, LocalMetrics, PartLogger
from almondstack.fold import Fold, FoldGapError, FoldOutdatedError
from almondstack.log.bootstrap import Bootstrap
from almondstack.log.client import FLEET, LogClient
from almondstack.log.errors import LogError, LogTruncatedError
from almondstack.log.reorder import ReorderBuffer
from almondstack.model import LogEntry

__all__ = ["Follower"]

_POLL_WAIT_S = 1.0
_RETRY_INITIAL_S = 0.1
_RETRY_MAX_S = 1.0

_log = PartLogger("log")


class Follower:
    """Reads and folds the fleet stream in its own thread.

    Explanation
    -----------
    The thread runs :class:`Bootstrap` at start, and again when records were
    truncated before they were folded.  From the detection of such a gap until it
    is closed, :attr:`has_gap` is True and the process must not make decisions.
    Records that peers relay are folded by :meth:`fold_entries`.

    Parameters
    ----------
    client : LogClient
        The log service.
    fold : Fold
        Applies the records.
    metrics : LocalMetrics
        Counts accepted and refused records, gaps and failures.
    clock : Clock
        Times retries and measures the age of the last contact.
    bootstrap : Bootstrap, optional
        Brings the fold to a usable state; by default one that uses no peers.
    """

    __slots__ = (
        "_bootstrap",
        "_client",
        "_clock",
        "_fold",
        "_fold_lock",
        "_has_gap",
        "_is_caught_up",
        "_last_contact_s",
        "_metrics",
        "_reorder_buffer",
        "_stop",
        "_thread",
    )

    def __init__(
        self,
        client: LogClient,
        fold: Fold,
        metrics: LocalMetrics,
        clock: Clock,
        bootstrap: Bootstrap | None = None,
    ) -> None:
        self._client = client
        self._fold = fold
        self._metrics = metrics
        self._clock = clock
        self._bootstrap = bootstrap or Bootstrap(client, fold, metrics)
        self._reorder_buffer = ReorderBuffer()
        self._fold_lock = threading.Lock()
        self._stop = threading.Event()
        self._last_contact_s: float | None = None
        self._has_gap = False
        self._is_caught_up = False
        self._thread = threading.Thread(target=self._run, name="follow-fleet", daemon=True)

    @property
    def has_gap(self) -> bool:
        """True while there is a gap, and after a stop at an unsupported format level."""
        return self._has_gap

    @property
    def may_decide(self) -> bool:
        """True if the folded state has no gap and its format level is supported."""
        return not self._has_gap and not self._fold.is_outdated

    @property
    def is_caught_up(self) -> bool:
        """True from the first time that the fold reached the target offset of a bootstrap."""
        return self._is_caught_up

    def position(self) -> int | None:
        """Return the next offset to fold, as ``base`` of new records.

        Explanation
        -----------
        None before the process has caught up, while it has a gap, and if the format
        level in force is not supported.
        """
        is_known = self._is_caught_up and self.may_decide
        return self._fold.next_offset if is_known else None

    @property
    def contact_age_s(self) -> float:
        """Seconds since the log service last answered a read; infinite before the first."""
        if self._last_contact_s is None:
            return float("inf")
        return self._clock.monotonic() - self._last_contact_s

    def start(self) -> None:
        """Start the thread that reads and folds."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def bootstrap(self) -> None:
        """Bring the fold to a usable state and clear the gap.

        Raises
        ------
        BootstrapError
            No source has a usable state.
        FoldOutdatedError
            The format level in force is above the highest that this process supports.
        """
        self._bootstrap.run()
        self._has_gap = False
        self._update_caught_up()

    def poll(self, wait_s: float = 0.0) -> int:
        """Read and fold once; return the number of newly folded records.

        Raises
        ------
        LogError
            The service did not answer, or no longer retains the next offset.
        FoldOutdatedError
            The format level in force is above the highest that this process supports.
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
            raise LogTruncatedError(
                f"read from offset {offset} returned offset {entries[0].offset} first"
            )
        self._has_gap = False
        return self.fold_entries(entries)

    def fold_entries(self, entries: list[LogEntry]) -> int:
        """Fold records from the service or a peer; return the number of newly folded ones.

        Explanation
        -----------
        Records that arrive before their predecessors are buffered, up to a maximum,
        until the predecessors arrive.

        Raises
        ------
        FoldOutdatedError
            The format level in force is above the highest that this process supports.
        """
        with self._fold_lock:
            self._reorder_buffer.add(entries, self._fold.next_offset)
            count = 0
            while (entry := self._reorder_buffer.pop(self._fold.next_offset)) is not None:
                count += self._apply(entry)
            self._update_caught_up()
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
        delay_s = _RETRY_INITIAL_S
        while not self._stop.is_set():
            try:
                self.poll(_POLL_WAIT_S)
                delay_s = _RETRY_INITIAL_S
            except LogTruncatedError:
                self._run_bootstrap()
            except LogError as error:
                self._metrics.count(f"log.read-failed.{error.code}")
                delay_s = self._back_off(delay_s)
            except FoldOutdatedError as error:
                self._stop_outdated(error)

    def _run_bootstrap(self) -> None:
        delay_s = _RETRY_INITIAL_S
        while not self._stop.is_set():
            try:
                self.bootstrap()
                return
            except LogError as error:
                self._metrics.count(f"log.bootstrap-failed.{error.code}")
                delay_s = self._back_off(delay_s)
            except FoldOutdatedError as error:
                self._stop_outdated(error)

    def _back_off(self, delay_s: float) -> float:
        """Wait about ``delay_s`` seconds and return the next delay."""
        self._clock.wait(self._stop, delay_s * random.uniform(0.5, 1.5))
        return min(delay_s * 2, _RETRY_MAX_S)

    def _stop_outdated(self, error: FoldOutdatedError) -> None:
        _log.error(
            "Reading stopped, this version does not support the format level in force: %s.",
            error.detail,
        )
        self._metrics.count("fold.outdated")
        self._has_gap = True
        self._stop.set()

    def _update_caught_up(self) -> None:
        target_offset = self._bootstrap.target_offset
        if target_offset is not None and self._fold.next_offset >= target_offset:
            self._is_caught_up = True

    def _mark_gap(self) -> None:
        if not self._has_gap:
            _log.error(
                "Gap in the log: records from offset %d on were truncated before they were folded.",
                self._fold.next_offset,
            )
            self._metrics.count("log.gaps")
        self._has_gap = True
