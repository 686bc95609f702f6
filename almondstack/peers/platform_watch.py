"""Polls the platform's list of instances, and the head of the log after a pause."""

import threading

from almondstack.core import Clock, LocalMetrics
from almondstack.fold import Fold
from almondstack.log import FLEET, LogClient, LogError
from almondstack.peers.roster import Roster
from almondstack.permits import RecoveryProposer, StartGuard, gone_incarnations
from almondstack.provider import HttpInstanceList, InstanceListError, ListedInstance

__all__ = ["PlatformWatch"]

_POLL_INTERVAL_S = 0.1
_LIST_INTERVAL_S = 1.0
_LIST_TIMEOUT_S = 1.0
_ENTRY_ROLE = "entry"


class PlatformWatch:
    """A thread that polls the platform, so that slow responses block no other thread.

    Parameters
    ----------
    list_address : str or None
        Address of the platform's list of instances; with None, only a later
        incarnation shows that an earlier one has ended.
    client : LogClient
        Returns the head of the log.
    fold : Fold
        Lists the incarnations.
    roster : Roster
        Receives the listed peer addresses.
    guard : StartGuard
        Receives the head of the log after a pause of this process.
    recovery : RecoveryProposer
        Proposes to fence ended incarnations.
    clock : Clock
        Times the polls.
    metrics : LocalMetrics
        Counts failed requests.
    """

    __slots__ = (
        "_client",
        "_clock",
        "_fold",
        "_guard",
        "_list",
        "_listed_s",
        "_metrics",
        "_recovery",
        "_roster",
        "_stop",
        "_thread",
    )

    def __init__(
        self,
        list_address: str | None,
        client: LogClient,
        fold: Fold,
        roster: Roster,
        guard: StartGuard,
        recovery: RecoveryProposer,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        self._list = HttpInstanceList(list_address, _LIST_TIMEOUT_S) if list_address else None
        self._client = client
        self._fold = fold
        self._roster = roster
        self._guard = guard
        self._recovery = recovery
        self._clock = clock
        self._metrics = metrics
        self._listed_s = float("-inf")
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="platform-watch", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stop.set()

    def _run(self) -> None:
        while not self._stop.is_set():
            if self._guard.is_suspended:
                self._read_head()
            now_s = self._clock.monotonic()
            if now_s - self._listed_s >= _LIST_INTERVAL_S:
                self._listed_s = now_s
                self._propose_recovery()
            self._clock.wait(self._stop, _POLL_INTERVAL_S)

    def _read_head(self) -> None:
        epoch = self._guard.epoch
        try:
            self._guard.record_head(epoch, self._client.bounds(FLEET).next_offset)
        except LogError as error:
            self._metrics.count(f"permits.head-unknown.{error.code}")

    def _propose_recovery(self) -> None:
        listed = self._read_list()
        names = [item.name for item in listed] or None
        with self._fold.lock:
            ended = gone_incarnations(self._fold.state, names)
        try:
            self._recovery.tick(ended)
        except LogError as error:
            self._metrics.count(f"permits.recovery-failed.{error.code}")

    def _read_list(self) -> list[ListedInstance]:
        """Return the entries that the platform lists; empty if the list cannot be read.

        Explanation
        -----------
        The caller treats an empty list as unknown, not as an empty fleet.
        """
        if self._list is None:
            return []
        try:
            listed = [item for item in self._list.read() if item.role == _ENTRY_ROLE]
        except InstanceListError as error:
            self._metrics.count(f"peers.list-failed.{error.code}")
            return []
        self._roster.set_listed_addresses(
            tuple(item.peer_address for item in listed if item.peer_address)
        )
        return listed
