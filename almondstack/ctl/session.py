"""What one run of ``almondctl`` needs: the log, the fold and a writer."""

from typing import Any

from almondstack.core import LocalMetrics, LogServiceSettings, SystemClock, new_incarnation
from almondstack.fold import Fold, Verdict
from almondstack.log import FLEET, Follower, HttpLogClient, LogClient, RecordWriter

__all__ = ["OperatorSession"]


class OperatorSession:
    """Folds the fleet stream up to its end and appends records.

    Parameters
    ----------
    settings : LogServiceSettings
        Where the log is.
    client : LogClient, optional
        Takes the place of the HTTP client.
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
        """The log service."""
        return self._client

    @property
    def fold(self) -> Fold:
        """The folded state."""
        return self._fold

    def catch_up(self, is_whole: bool = False) -> None:
        """Fold everything that the log holds now.

        Parameters
        ----------
        is_whole : bool
            True to fold every record that is kept rather than to start from a
            snapshot, as far as the log goes back to its beginning.

        Raises
        ------
        LogError
            The log did not answer.
        """
        bounds = self._client.bounds(FLEET)
        if not is_whole or bounds.oldest > 0:
            self._follower.bootstrap()
        while self._fold.next_offset < bounds.next_offset:
            self._follower.poll()

    def start(self) -> None:
        """Go on following the log in a thread."""
        if not self._is_started:
            self._is_started = True
            self._follower.start()
            self._writer.start()

    def stop(self) -> None:
        """Stop following."""
        self._writer.stop()
        self._follower.stop()

    def append(self, body: Any, timeout_s: float) -> Verdict | None:
        """Append one record and return its verdict; None after ``timeout_s`` seconds."""
        self.start()
        sequence = self._writer.submit(body)
        return self._fold.wait_for_verdict(self._writer.author, sequence, timeout_s)
