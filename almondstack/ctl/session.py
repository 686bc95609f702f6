"""Connection of one ``almondctl`` run to the log: client, folded state and record writer."""

from typing import Any

from almondstack.core import LocalMetrics, LogServiceSettings, SystemClock, new_incarnation
from almondstack.fold import Fold, Verdict
from almondstack.log import FLEET, Follower, HttpLogClient, LogClient, RecordWriter

__all__ = ["OperatorSession"]


class OperatorSession:
    """Folds the fleet stream up to its end and appends records to it.

    Parameters
    ----------
    settings : LogServiceSettings
        Address of the log service, and time limits.
    client : LogClient, optional
        Used instead of an HTTP client.
    """

    __slots__ = ("_client", "_fold", "_follower", "_is_started", "_writer")

    def __init__(self, settings: LogServiceSettings, client: LogClient | None = None) -> None:
        author = new_incarnation("almondctl")
        metrics = LocalMetrics()
        clock = SystemClock()
        self._client = client or HttpLogClient(settings, author)
        self._fold = Fold()
        self._follower = Follower(self._client, self._fold, metrics, clock)
        self._writer = RecordWriter(
            self._client,
            FLEET,
            author,
            settings,
            metrics,
            clock,
            position=self._follower.position,
        )
        self._is_started = False

    @property
    def client(self) -> LogClient:
        """Client of the log service."""
        return self._client

    @property
    def fold(self) -> Fold:
        """Fold that holds the state up to the last record read."""
        return self._fold

    def catch_up(self, is_full_replay: bool = False) -> None:
        """Fold all records that the log holds at the time of the call.

        Parameters
        ----------
        is_full_replay : bool
            True to fold every record instead of starting from a snapshot.  If the
            first records have been truncated, folding starts from a snapshot anyway.

        Raises
        ------
        LogError
            The log service did not answer.
        """
        bounds = self._client.bounds(FLEET)
        if not is_full_replay or bounds.oldest > 0:
            self._follower.bootstrap()
        while self._fold.next_offset < bounds.next_offset:
            self._follower.poll()

    def start(self) -> None:
        """Start the threads that follow the log and write records; later calls do nothing."""
        if not self._is_started:
            self._is_started = True
            self._follower.start()
            self._writer.start()

    def stop(self) -> None:
        """Stop the writer and the follower."""
        self._writer.stop()
        self._follower.stop()

    def append(self, body: Any, timeout_s: float) -> Verdict | None:
        """Append one record and return its verdict; None after ``timeout_s`` seconds."""
        self.start()
        sequence = self._writer.submit(body)
        return self._fold.wait_for_verdict(self._writer.author, sequence, timeout_s)
