"""Polls the platform's list of instances for upstreams that leave."""

import threading

from almondstack.core import Clock, LocalMetrics
from almondstack.provider import HttpInstanceList, InstanceListError, ListedInstance

__all__ = ["InstanceListPoller"]

_INTERVAL_S = 1.0
_TIMEOUT_S = 1.0
_UPSTREAM_ROLE = "upstream"


class InstanceListPoller:
    """Polls the list in a thread; implements the dispatcher's :class:`LeavingList`.

    Explanation
    -----------
    An upstream that is no longer in the list counts as gone.  A list that cannot be
    read or that contains no upstream is ignored, and the last valid list is kept.

    Parameters
    ----------
    address : str or None
        Numeric address of the list service; None disables polling.
    clock : Clock
        Times the polls.
    metrics : LocalMetrics
        Counts failed reads.
    """

    __slots__ = ("_clock", "_leaving", "_list", "_metrics", "_seen_names", "_stop", "_thread")

    def __init__(self, address: str | None, clock: Clock, metrics: LocalMetrics) -> None:
        self._list = None if address is None else HttpInstanceList(address, _TIMEOUT_S)
        self._clock = clock
        self._metrics = metrics
        self._seen_names: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="list", daemon=True)

    def start(self) -> None:
        """Start the polling thread if an address is set."""
        if self._list is not None:
            self._thread.start()

    def stop(self) -> None:
        """Stop the polling thread."""
        self._stop.set()

    def leaving(self) -> frozenset[str]:
        """Return the names of the upstreams that are leaving or gone."""
        return self._leaving

    def update(self, listed: tuple[ListedInstance, ...]) -> None:
        """Compute the leaving upstreams from a list; ignore it if it contains no upstream."""
        upstreams = [item for item in listed if item.role == _UPSTREAM_ROLE]
        if not upstreams:
            return
        staying = frozenset(item.name for item in upstreams if not item.is_leaving)
        listed_names = frozenset(item.name for item in upstreams)
        self._seen_names |= listed_names
        self._leaving = self._seen_names - staying

    def _run(self) -> None:
        assert self._list is not None
        while not self._clock.wait(self._stop, _INTERVAL_S):
            try:
                self.update(self._list.read())
            except InstanceListError as error:
                self._metrics.count(f"list.read-failed.{error.code}")
