"""Writes a new snapshot before the newest one grows old.

Explanation
-----------
Every process looks.  Live entries take turns by rendezvous hashing (Thaler and
Ravishankar 1998), so that normally one of them writes; each next one writes
only if the one before it did not.  Two writers at once do no harm.
"""

import threading

import xxhash

from almondstack.core import Clock, LocalMetrics, PartLogger
from almondstack.fold import Fold
from almondstack.log.client import LogClient
from almondstack.log.errors import LogError
from almondstack.log.settings import SnapshotSettings
from almondstack.log.snapshots import Snapshot, SnapshotStore

__all__ = ["SnapshotWriter", "turn_of"]

_log = PartLogger("snapshot")


def turn_of(incarnation: str, live: list[str], round_: int) -> int:
    """Return how many of the ``live`` incarnations go before ``incarnation``.

    Examples
    --------
    >>> from almondstack.log.snapshot_writer import turn_of
    >>> sorted(turn_of(name, ["a", "b", "c"], 7) for name in "abc")
    [0, 1, 2]
    >>> turn_of("not-live", ["a", "b", "c"], 7)
    3
    """
    order = sorted(live, key=lambda name: (_weight(name, round_), name))
    return order.index(incarnation) if incarnation in order else len(order)


def _weight(incarnation: str, round_: int) -> int:
    return xxhash.xxh64_intdigest(f"{round_}/{incarnation}".encode())


class SnapshotWriter:
    """One process's part in writing snapshots.

    Parameters
    ----------
    client : LogClient
        The log service.
    fold : Fold
        Whose state is written.
    incarnation : str
        Name of this process's life.
    settings : SnapshotSettings
        When one is due.
    metrics : LocalMetrics
        Counts snapshots and failures.
    clock : Clock
        Measures age and turns.
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
        """Start the thread that looks."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def check(self) -> bool:
        """Look once, and write if it is due and this process's turn; True if written.

        Raises
        ------
        LogError
            The service did not answer.
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
        turn = turn_of(self._incarnation, live, round_)
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
        _log.info("Wrote a snapshot of offset %d with %d bytes.", next_offset, size)

    def _run(self) -> None:
        while not self._stop.is_set():
            try:
                self.check()
            except LogError as error:
                self._metrics.count(f"snapshot.failed.{error.code}")
            self._clock.wait(self._stop, self._settings.check_s)
