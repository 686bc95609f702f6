"""Upstreams that leave get nothing new.

Explanation
-----------
Three signs: the phase in the log, the platform's lagging list, and the
upstream's own answer.  The last two leave a mark at the version of the instance
that the log had then.  Only a newer version in the log takes a mark away, or,
after a while, the upstream's own answer to a probe; that a list shows the
instance as live again never does.
"""

import threading
from typing import Protocol

from almondstack.core import Clock
from almondstack.model import InstanceState

__all__ = ["DepartureTracker", "LeavingList", "NoLeavingList"]

_MIN_MARK_AGE_S = 30.0


class LeavingList(Protocol):
    """The platform's list of instances, as last read."""

    def leaving(self) -> frozenset[str]:
        """Return the names of the instances that it shows as leaving or gone."""
        ...


class NoLeavingList:
    """Shows nothing as leaving.

    Examples
    --------
    >>> from almondstack.dispatch import NoLeavingList
    >>> NoLeavingList().leaving()
    frozenset()
    """

    __slots__ = ()

    def leaving(self) -> frozenset[str]:
        """Return nothing."""
        return frozenset()


class _Mark:
    """A sign that an instance leaves."""

    __slots__ = ("is_self_reported", "since_s", "version")

    def __init__(self, version: int, since_s: float, is_self_reported: bool) -> None:
        self.version = version
        self.since_s = since_s
        self.is_self_reported = is_self_reported


class DepartureTracker:
    """Remembers which instances are leaving.

    Parameters
    ----------
    listing : LeavingList
        The platform's list.
    clock : Clock
        Measures how old a mark is.
    """

    __slots__ = ("_clock", "_listing", "_lock", "_marks")

    def __init__(self, listing: LeavingList, clock: Clock) -> None:
        self._listing = listing
        self._clock = clock
        self._marks: dict[str, _Mark] = {}
        self._lock = threading.Lock()

    def is_leaving(self, instance: InstanceState) -> bool:
        """Return True if ``instance`` must get nothing new."""
        if not instance.is_taking_work:
            return True
        with self._lock:
            mark = self._marks.get(instance.name)
            if mark is not None and instance.version > mark.version:
                del self._marks[instance.name]
                mark = None
            return mark is not None

    def note_drain_response(self, instance: InstanceState) -> None:
        """Take note that the upstream itself said that it drains."""
        self._mark(instance, is_self_reported=True)

    def note_listing(self, instances: list[InstanceState]) -> None:
        """Mark those of ``instances`` that the list shows as leaving."""
        listed = self._listing.leaving()
        for instance in instances:
            if instance.name in listed:
                self._mark(instance, is_self_reported=False)

    def note_probe(self, instance: InstanceState, is_draining: bool) -> None:
        """Take in the upstream's own answer to a probe."""
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
        """Return the instances that said themselves that they drain."""
        with self._lock:
            return frozenset(name for name, mark in self._marks.items() if mark.is_self_reported)

    def _mark(self, instance: InstanceState, is_self_reported: bool) -> None:
        with self._lock:
            known = self._marks.get(instance.name)
            is_self_reported = is_self_reported or (known is not None and known.is_self_reported)
            since_s = self._clock.monotonic()
            version = max(instance.version, known.version if known else 0)
            self._marks[instance.name] = _Mark(version, since_s, is_self_reported)
