"""Tracks upstreams that are leaving, so that they get no new calls.

Explanation
-----------
There are three sources: the phase in the log, the platform's instance list
(which lags behind), and the upstream's own responses.  The last two set a mark
with the version that the instance had in the log at that time.  A mark is
removed by a newer version in the log, or by the upstream's own response to a
probe once the mark has a minimum age; it is never removed because the list
shows the instance as live again.
"""

import threading
from typing import Protocol

from almondstack.core import Clock
from almondstack.model import InstanceState

__all__ = ["DepartureTracker", "LeavingList", "NoLeavingList"]

_MIN_MARK_AGE_S = 30.0


class LeavingList(Protocol):
    """The platform's instance list, as last read."""

    def leaving(self) -> frozenset[str]:
        """Return the names of the instances listed as leaving or gone."""
        ...


class NoLeavingList:
    """An instance list that shows no instance as leaving.

    Examples
    --------
    >>> from almondstack.dispatch import NoLeavingList
    >>> NoLeavingList().leaving()
    frozenset()
    """

    __slots__ = ()

    def leaving(self) -> frozenset[str]:
        """Return an empty set."""
        return frozenset()


class _Mark:
    """Evidence that an instance is leaving, at a version of the log."""

    __slots__ = ("is_self_reported", "since_s", "version")

    def __init__(self, version: int, since_s: float, is_self_reported: bool) -> None:
        self.version = version
        self.since_s = since_s
        self.is_self_reported = is_self_reported


class DepartureTracker:
    """Tracks which instances are leaving.

    Parameters
    ----------
    listing : LeavingList
        The platform's instance list.
    clock : Clock
        Time source for the age of marks.
    """

    __slots__ = ("_clock", "_listing", "_lock", "_marks")

    def __init__(self, listing: LeavingList, clock: Clock) -> None:
        self._listing = listing
        self._clock = clock
        self._marks: dict[str, _Mark] = {}
        self._lock = threading.Lock()

    def is_leaving(self, instance: InstanceState) -> bool:
        """Return True if ``instance`` must get no new calls."""
        if not instance.is_taking_work:
            return True
        with self._lock:
            mark = self._marks.get(instance.name)
            if mark is not None and instance.version > mark.version:
                del self._marks[instance.name]
                mark = None
            return mark is not None

    def note_drain_response(self, instance: InstanceState) -> None:
        """Mark an upstream whose own response says that it is draining."""
        self._mark(instance, is_self_reported=True)

    def note_listing(self, instances: list[InstanceState]) -> None:
        """Mark those of ``instances`` that the platform lists as leaving."""
        listed = self._listing.leaving()
        for instance in instances:
            if instance.name in listed:
                self._mark(instance, is_self_reported=False)

    def note_probe(self, instance: InstanceState, is_draining: bool) -> None:
        """Set a mark, or remove one of minimum age, according to the response to a probe."""
        if is_draining:
            self._mark(instance, is_self_reported=True)
            return
        is_listed = instance.name in self._listing.leaving()
        with self._lock:
            mark = self._marks.get(instance.name)
            if mark is None or is_listed:
                return
            if self._clock.monotonic() - mark.since_s >= _MIN_MARK_AGE_S:
                del self._marks[instance.name]

    def self_reported(self) -> frozenset[str]:
        """Return the instances whose own responses said that they are draining."""
        with self._lock:
            return frozenset(name for name, mark in self._marks.items() if mark.is_self_reported)

    def _mark(self, instance: InstanceState, is_self_reported: bool) -> None:
        with self._lock:
            known = self._marks.get(instance.name)
            is_self_reported = is_self_reported or (known is not None and known.is_self_reported)
            since_s = self._clock.monotonic()
            version = max(instance.version, known.version if known else 0)
            self._marks[instance.name] = _Mark(version, since_s, is_self_reported)
