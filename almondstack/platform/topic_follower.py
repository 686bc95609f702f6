"""Follows a keyed topic of the platform's store in a background thread."""

import random
import threading
import time
from collections.abc import Callable, Iterable

from almondstack.core.events import EventLog
from almondstack.core.supervision import report_error
from almondstack.ownership import HistoryLostError, Record, StoreError
from almondstack.platform.store import KeyedTopic

__all__ = ["TopicFollower"]

_RETRY_PAUSE_S = 0.2
_SNAPSHOT_AFTER_S = 1.0
"""Seconds of failed reads after which the follower reads only the newest record of each key.
Reading all records in between can take seconds over a slow link."""


class TopicFollower:
    """Reads the newest record of each key of a topic, then all later records, in a thread.

    Parameters
    ----------
    name : str
        Name of the thread, and of the topic in log events.
    topic : KeyedTopic
        The topic to read.
    apply : callable
        Called with each record, in the order of the log.
    apply_snapshot : callable
        Called with the newest record of each key: at the start, if records expired
        before they were read, and when the follower has fallen behind and skips ahead.
        It passes the records on to :meth:`apply_each`.
    events : EventLog
        Receives an event when reads start to fail and when they succeed again.
    wait_s, pause_s : float
        How long the store may hold a read that finds no new records, and the pause between
        two reads, in seconds.
    ignores_throttling : bool
        Whether pauses stay the same while the store rejects reads for its rate limit.
    """

    __slots__ = (
        "_apply",
        "_apply_snapshot",
        "_events",
        "_failing_since_s",
        "_ignores_throttling",
        "_is_lost",
        "_name",
        "_stop",
        "_thread",
        "_topic",
        "_pause_s",
        "_wait_s",
        "_wake",
    )

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        apply: Callable[[Record], None],
        apply_snapshot: Callable[[list[Record]], None],
        events: EventLog,
        wait_s: float,
        pause_s: float,
        *,
        ignores_throttling: bool = False,
    ) -> None:
        self._name = name
        self._topic = topic
        self._apply = apply
        self._apply_snapshot = apply_snapshot
        self._events = events
        self._wait_s = wait_s
        self._pause_s = pause_s
        self._wake = threading.Event()
        self._is_lost = False
        self._ignores_throttling = ignores_throttling
        self._failing_since_s: float | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current call; does not wait for the thread to end."""
        self._stop.set()
        self._wake.set()

    def change_pause(self, pause_s: float, *, ignores_throttling: bool = False) -> None:
        """Change the pause between two reads, in seconds; a longer one in progress ends now."""
        is_shorter = pause_s < self._pause_s
        self._pause_s = pause_s
        self._ignores_throttling = ignores_throttling
        if is_shorter:
            self._wake.set()

    def _run(self) -> None:
        offset: int | None = None
        while not self._stop.is_set():
            try:
                offset = self.read_once(None if self._needs_snapshot() else offset)
            except HistoryLostError:
                offset = None
            except StoreError as error:
                self._record_failure(error)
                self._stop.wait(_RETRY_PAUSE_S * random.uniform(0.8, 1.2) * self._pause_factor())
            except Exception as error:
                # A programming error must not end the thread: the process would keep using old
                # versions of the records.
                report_error()
                self._events.write("topic-failed", topic=self._name, error=repr(error))
                offset = None
                self._stop.wait(_RETRY_PAUSE_S)
            else:
                self._record_success()
                self._pause()

    def _pause(self) -> None:
        self._wake.wait(self._pause_s * self._pause_factor())
        if not self._stop.is_set():
            self._wake.clear()

    def _pause_factor(self) -> float:
        """Return the factor on pauses; above 1 while the store rejects reads for its rate limit."""
        return 1.0 if self._ignores_throttling else self._topic.read_backoff.factor()

    def apply_each(self, records: Iterable[Record]) -> None:
        """Apply records one by one; one that can't be applied is reported and passed over.

        Explanation
        -----------
        Operators and other programs write to these topics as well.  A record for which
        the code has an unforeseen error must not keep those after it from being applied.
        """
        for record in records:
            try:
                self._apply(record)
            except Exception as error:
                report_error()
                self._events.write(
                    "record-failed", topic=self._name, key=record.key, error=repr(error)
                )

    def read_once(self, offset: int | None) -> int | None:
        """Read from an offset, or the newest records if it is None; return the next offset.

        The result is None if one answer could not hold all new records, so that the next
        call skips to the newest ones.

        Raises
        ------
        StoreError
            The read failed.
        """
        if offset is None:
            snapshot = self._topic.snapshot()
            self._apply_snapshot(snapshot.records)
            return snapshot.next_offset
        batch = self._topic.read(offset, self._wait_s)
        self.apply_each(batch.records)
        # If the answer did not contain all new records, the next read skips to the newest ones.
        return batch.next_offset if batch.next_offset >= batch.end_offset else None

    def _needs_snapshot(self) -> bool:
        since_s = self._failing_since_s
        return since_s is not None and time.monotonic() - since_s > _SNAPSHOT_AFTER_S

    def _record_failure(self, error: StoreError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
        if not self._is_lost:
            self._is_lost = True
            self._events.write("topic-lost", topic=self._name, error=str(error))

    def _record_success(self) -> None:
        self._failing_since_s = None
        if self._is_lost:
            self._is_lost = False
            self._events.write("topic-regained", topic=self._name)
