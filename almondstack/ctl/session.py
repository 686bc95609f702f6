"""What one run of ``almondctl`` needs: the log, the fold and a writer."""

from typing import Any

from almondstack.core import LogServiceSettings, NullMetrics, SystemClock, new_incarnation
from almondstack.fold import Fold, Verdict
from almondstack.log import FLEET, Follower, HttpLogClient, RecordWriter

__all__ = ["OperatorSession"]


class OperatorSession:
    """Folds the fleet stream up to its end and appends records.

    Parameters
    ----------
    settings : LogServiceSettings
        Where the log is.
    """

    __slots__ = ("_client", "_fold", "_follower", "_writer")

    def __init__(self, settings: LogServiceSettings) -> None:
        author = new_incarnation("almondctl")
        metrics = NullMetrics()
        clock = SystemClock()
        self._client = HttpLogClient(settings, author)
        self._fold = Fold()
        self._follower = Follower(self._client, self._fold, metrics, clock)
        self._writer = RecordWriter(self._client, FLEET, author, settings, metrics, clock)

    @property
    def fold(self) -> Fold:
        """The folded state."""
        return self._fold

    def catch_up(self) -> None:
        """Fold everything that the log holds now.

        Raises
        ------
        LogError
            The log did not answer.
        """
        end = self._client.bounds(FLEET).next_offset
        while self._fold.next_offset < end:
            self._follower.poll()

    def append(self, body: Any, timeout_s: float) -> Verdict | None:
        """Append one record and return its verdict; None after ``timeout_s`` seconds."""
        self._follower.start()
        self._writer.start()
        sequence = self._writer.submit(body)
        verdict = self._fold.wait_for_verdict(self._writer.author, sequence, timeout_s)
        self._writer.stop()
        self._follower.stop()
        return verdict
