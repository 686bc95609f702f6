"""Writes a new snapshot when the newest one is due for replacement.

Explanation
-----------
Every process checks whether a snapshot is due.  Rendezvous hashing (Thaler and
Ravishankar 1998) orders the live entries, so that normally the first of them
writes; each later one writes only if those before it did not.  Concurrent writes
are harmless, because the state at an offset is the same for every writer.
"""

import threading

import xxhash

from almondstack.core import Clock, LocalMetrics, PartLogger
from almondstack.fold import Fold
from almondstack.log.client import LogClient
from almondstack.log.errors import LogError
from almondstack.log.settings import SnapshotSettings
from almondstack.log.snapshots import Snapshot, SnapshotStore

__all__ = ["SnapshotWriter", "turn_index"]

_log = PartLogger("snapshot")


def turn_index(incarnation: str, live: list[str], round_: int) -> int:
    """Return the number of ``live`` incarnations ordered before ``incarnation``.

    Explanation
    -----------
    The order is a hash of name and ``round_``, so it changes from round to round.  An
    incarnation that is not live comes last.

    Examples
    --------
    >>> from almondstack.log.snapshot_writer import turn_index
    >>> sorted(turn_index(name, ["a", "b", "c"], 7) for name in "abc")
    [0, 1, 2]
    >>> turn_index("not-live", ["a", "b", "c"], 7)
    3
    """
    order = sorted(live, key=lambda name: (_rendezvous_hash(name, round_), name))
    return order.index(incarnation) if incarnation in order else len(order)


def _rendezvous_hash(incarnation: str, round_: int) -> int:
    return xxhash.xxh64_intdigest(f"{round_}/{incarnation}".encode())


class SnapshotWriter:
    """Writes snapshots when one is due and it is this process's turn.

    Parameters
    ----------
    client : LogClient
        The log service.
    fold : Fold
        The fold whose state is written.
    incarnation : str
        Incarnation of this process.
    settings : SnapshotSettings
        Intervals and chunk size.
    metrics : LocalMetrics
        Counts snapshots and failures.
    clock : Clock
        Measures the age of the newest snapshot and the delay of this process.
    """

    __slots__ = (
        "_clock",
        "_due_since_s",
        "_fold",
        "_incarnation",
        "_metrics",
        "_newest",
        "_settings",
        "_stop",
        "_store",
        "_thread",
    )

    def __init__(
        self,
        client: LogClient,
        fold: Fold,
        incarnation: str,
        settings: SnapshotSettings,
        metrics: LocalMetrics,
        clock: Clock,
    ) -> None:
        self._store = SnapshotStore(client)
        self._fold = fold
        self._incarnation = incarnation
        self._settings = settings
        self._metrics = metrics
        self._clock = clock
        self._newest: Snapshot | None = None
        self._due_since_s: float | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="snapshots", daemon=True)

    def start(self) -> None:
        """Start the thread that checks and writes."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def check(self) -> bool:
        """Write a snapshot if one is due and it is this process's turn; True if written.

        Raises
        ------
        LogError
            The log service failed.
        """
        if not self._is_due():
            return False
        newest = self._store.newest()
        if newest != self._newest:
            self._newest = newest
            self._due_since_s = None
        if not self._is_due() or not self._is_my_turn():
            return False
        self._write()
        return True

    def _is_due(self) -> bool:
        next_offset = self._fold.next_offset
        if self._newest is None:
            return next_offset > 0
        if next_offset < self._newest.next_offset:
            return False
        if next_offset - self._newest.next_offset >= self._settings.every_records:
            return True
        return self._clock.unix() - self._newest.written_unix_s >= self._settings.every_s

    def _is_my_turn(self) -> bool:
        now_s = self._clock.monotonic()
        if self._due_since_s is None:
            self._due_since_s = now_s
        round_ = self._newest.next_offset if self._newest else 0
        live = [entry.incarnation for entry in self._fold.state.live_entries()]
        turn = turn_index(self._incarnation, live, round_)
        return now_s - self._due_since_s >= turn * self._settings.turn_s

    def _write(self) -> None:
        with self._fold.lock:
            level = self._fold.state.level
            state, next_offset = self._fold.encode_state()
        size = self._store.write(
            state, level, next_offset, self._clock.unix(), self._settings.chunk_bytes
        )
        self._due_since_s = None
        self._metrics.count("snapshot.written")
        self._metrics.gauge("snapshot.bytes", size)
        _log.info("Wrote snapshot up to offset %d, %d bytes compressed.", next_offset, size)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.check()
            except LogError as error:
                self._metrics.count(f"snapshot.failed.{error.code}")
            self._clock.wait(self._stop, self._settings.check_s)
