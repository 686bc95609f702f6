"""Detects that the owner uses a newer configuration than this process, and rereads it."""

import threading
import time
from collections.abc import Callable

from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex
from almondstack.ownership import StoreError
from almondstack.platform.configuration import ConfigurationHolder

__all__ = ["ConfigurationWatch"]

_MAX_BEHIND_S = 1.0
"""Time for which this process may lag behind the owner's version, in seconds.  The owner normally
reads a configuration a moment earlier; every bound on the roll-out time is longer than this."""


class ConfigurationWatch:
    """Rereads the configuration over a separate connection when the regular reads have stalled.

    Explanation
    -----------
    Job records and operators' records are read by separate connections.  The owner's
    notice among the job records names the version that the owner uses, so a stalled
    read of the operators' records shows as an older version in this process.

    Parameters
    ----------
    index : JobIndex
        Contains the owner's last notice with its configuration version.
    holder : ConfigurationHolder
        Holds the configuration of this process.
    reread : callable
        Reads the newest configuration over a new connection.
    events : EventLog
        Receives an event for each reread and for each one that fails.
    """

    __slots__ = ("_behind_since_s", "_events", "_holder", "_index", "_reread", "_thread")

    def __init__(
        self,
        index: JobIndex,
        holder: ConfigurationHolder,
        reread: Callable[[], None],
        events: EventLog,
    ) -> None:
        self._index = index
        self._holder = holder
        self._reread = reread
        self._events = events
        self._behind_since_s: float | None = None
        self._thread: threading.Thread | None = None

    def check(self, now_s: float | None = None) -> None:
        """Compare the versions; reread in a new thread if this process has lagged for too long."""
        now_s = time.monotonic() if now_s is None else now_s
        notice = self._index.notice
        version = self._holder.policies().version
        if notice is None or notice.configuration <= version:
            self._behind_since_s = None
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        if now_s - self._behind_since_s < _MAX_BEHIND_S or self._is_reading:
            return
        self._events.write(
            "configuration-overdue",
            in_force=version,
            asked=notice.configuration,
            behind_s=round(now_s - self._behind_since_s, 2),
        )
        self._thread = threading.Thread(target=self._read, name="overdue", daemon=True)
        self._thread.start()

    @property
    def _is_reading(self) -> bool:
        return self._thread is not None and self._thread.is_alive()

    def _read(self) -> None:
        try:
            self._reread()
        except StoreError as error:
            self._events.write("configuration-unread", error=str(error))
