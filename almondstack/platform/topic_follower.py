"""Reads a keyed topic of the platform's store for as long as the process lives."""

import random
import threading
import time
from collections.abc import Callable

from almondstack.core.events import EventLog
from almondstack.ownership import HistoryLostError, Record, StoreError
from almondstack.platform.store import KeyedTopic

__all__ = ["TopicFollower"]

_RETRY_PAUSE_S = 0.2
_REREAD_AFTER_S = 1.0
"""After so long without an answer the newest records are read instead of all in between, which
take seconds over a slow link, in seconds."""


class TopicFollower:
    """Reads a keyed topic from its newest records on, in a thread.

    Parameters
    ----------
    name : str
        Names the thread and its log lines.
    topic : KeyedTopic
        What is read.
    take : callable
        Called with each record in its order.
    reset : callable
        Called with the newest records before anything else, and again after
        history was lost.
    events : EventLog
        Takes a line when the topic is lost and regained.
    wait_s, pause_s : float
        How long a read waits, and the pause between two, in seconds.
    is_urgent : bool
        Whether to read on as often while the store turns reads away for its rate.
    """

    __slots__ = (
        "_events",
        "_failing_since_s",
        "_is_lost",
        "_is_urgent",
        "_name",
        "_reset",
        "_stop",
        "_take",
        "_thread",
        "_topic",
        "_wait_s",
        "pause_s",
    )

    def __init__(
        self,
        name: str,
        topic: KeyedTopic,
        take: Callable[[Record], None],
        reset: Callable[[list[Record]], None],
        events: EventLog,
        wait_s: float,
        pause_s: float,
        *,
        is_urgent: bool = False,
    ) -> None:
        self._name = name
        self._topic = topic
        self._take = take
        self._reset = reset
        self._events = events
        self._wait_s = wait_s
        self.pause_s = pause_s
        self._is_lost = False
        self._is_urgent = is_urgent
        self._failing_since_s: float | None = None
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start to read."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to read after the present call."""
        self._stop.set()

    def _run(self) -> None:
        offset: int | None = None
        while not self._stop.is_set():
            try:
                offset = self.step(None if self._is_behind() else offset)
            except HistoryLostError:
                offset = None
            except StoreError as error:
                self._note_lost(error)
                self._stop.wait(_RETRY_PAUSE_S * random.uniform(0.8, 1.2) * self._spread())
            except Exception as error:
                # A fault of ours: a process that no longer follows would go by old versions.
                self._events.write("topic-failed", topic=self._name, error=repr(error))
                offset = None
                self._stop.wait(_RETRY_PAUSE_S)
            else:
                self._note_regained()
                self._stop.wait(self.pause_s * self._spread())

    def _spread(self) -> float:
        """Return by what pauses are longer while all processes together read too much."""
        return 1.0 if self._is_urgent else self._topic.read_backoff.factor()

    def step(self, offset: int | None) -> int | None:
        """Read once from an offset, or the newest records; return where to go on.

        Raises
        ------
        StoreError
            The store did not answer as it should.
        """
        if offset is None:
            snapshot = self._topic.snapshot()
            self._reset(snapshot.records)
            return snapshot.next_offset
        batch = self._topic.read(offset, self._wait_s)
        for record in batch.records:
            self._take(record)
        # Where one answer could not hold what is new, only the newest matters.
        return batch.next_offset if batch.next_offset >= batch.end_offset else None

    def _is_behind(self) -> bool:
        since_s = self._failing_since_s
        return since_s is not None and time.monotonic() - since_s > _REREAD_AFTER_S

    def _note_lost(self, error: StoreError) -> None:
        if self._failing_since_s is None:
            self._failing_since_s = time.monotonic()
        if not self._is_lost:
            self._is_lost = True
            self._events.write("topic-lost", topic=self._name, error=str(error))

    def _note_regained(self) -> None:
        self._failing_since_s = None
        if self._is_lost:
            self._is_lost = False
            self._events.write("topic-regained", topic=self._name)
