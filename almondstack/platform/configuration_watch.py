"""Notices a configuration that the owner goes by and this process has not read."""

import threading
import time
from collections.abc import Callable

from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex
from almondstack.ownership import StoreError
from almondstack.platform.configuration import ConfigurationHolder

__all__ = ["ConfigurationWatch"]

_PATIENCE_S = 1.0
"""The owner may have read it a moment before this process does, in seconds; every bound on
changes is longer."""


class ConfigurationWatch:
    """Has the newest configuration read in another way when it does not come by the usual one.

    Explanation
    -----------
    The records of jobs and those of operators come over different reads, so one
    that stands still is noticed by the other.

    Parameters
    ----------
    book : JobIndex
        Has what the owner says of its configuration.
    holder : ConfigurationHolder
        Holds what this process goes by.
    read_again : callable
        Reads the newest configuration over a connection of its own.
    events : EventLog
        Takes a line each time.
    """

    __slots__ = ("_behind_s", "_book", "_events", "_holder", "_read_again", "_thread")

    def __init__(
        self,
        book: JobIndex,
        holder: ConfigurationHolder,
        read_again: Callable[[], None],
        events: EventLog,
    ) -> None:
        self._book = book
        self._holder = holder
        self._read_again = read_again
        self._events = events
        self._behind_s: float | None = None
        self._thread: threading.Thread | None = None

    def check(self, now_s: float | None = None) -> None:
        """Compare the versions; reads in a thread of its own where this process is behind."""
        now_s = time.monotonic() if now_s is None else now_s
        notice = self._book.notice
        version = self._holder.policies().version
        if notice is None or notice.configuration <= version:
            self._behind_s = None
            return
        if self._behind_s is None:
            self._behind_s = now_s
        if now_s - self._behind_s < _PATIENCE_S or self._is_reading:
            return
        self._events.write(
            "configuration-overdue",
            in_force=version,
            asked=notice.configuration,
            behind_s=round(now_s - self._behind_s, 2),
        )
        self._thread = threading.Thread(target=self._read, name="overdue", daemon=True)
        self._thread.start()

    @property
    def _is_reading(self) -> bool:
        return self._thread is not None and self._thread.is_alive()

    def _read(self) -> None:
        try:
            self._read_again()
        except StoreError as error:
            self._events.write("configuration-unread", error=str(error))
