"""Finds a state to start from, or to go on from after a gap.

Explanation
-----------
The newest good snapshot whose following records are still kept comes first,
then the log from where this process stands, then a peer.  The fold only ever
goes forward.
"""

from enum import StrEnum
from typing import Protocol

from almondstack.core import CodecError, LocalMetrics, PartLogger
from almondstack.fold import Fold
from almondstack.log.client import FLEET, LogBounds, LogClient
from almondstack.log.errors import BootstrapError, LogError
from almondstack.log.snapshots import SnapshotStore, decode_state

__all__ = ["Bootstrap", "BootstrapOrigin", "PeerStateSource"]

_log = PartLogger("bootstrap")


class PeerStateSource(Protocol):
    """Peers that hand over their folded state."""

    def fetch_state(self) -> tuple[bytes, int] | None:
        """Return a peer's encoded state and its next offset; None if no peer answers."""
        ...


class BootstrapOrigin(StrEnum):
    """Where the state came from."""

    SNAPSHOT = "snapshot"
    LOG = "log"
    PEER = "peer"


class Bootstrap:
    """Brings a fold to a state from which the log can be followed.

    Parameters
    ----------
    client : LogClient
        The log service.
    fold : Fold
        Goes forward; never back.
    metrics : LocalMetrics
        Counts origins and snapshots that were no good.
    peers : PeerStateSource, optional
        Asked while the log is out, or when it keeps too little.
    """

    __slots__ = ("_client", "_fold", "_metrics", "_peers", "_store", "_target_offset")

    def __init__(
        self,
        client: LogClient,
        fold: Fold,
        metrics: LocalMetrics,
        peers: PeerStateSource | None = None,
    ) -> None:
        self._client = client
        self._fold = fold
        self._metrics = metrics
        self._peers = peers
        self._store = SnapshotStore(client)
        self._target_offset: int | None = None

    @property
    def target_offset(self) -> int | None:
        """Where a newcomer has caught up: the end of the log, or of a peer's state.

        Explanation
        -----------
        None until :meth:`run` has found a state.
        """
        return self._target_offset

    def run(self) -> BootstrapOrigin:
        """Find a state; return where it came from.

        Raises
        ------
        BootstrapError
            There is none, or the log keeps too little to go on from it.
        FoldOutdatedError
            The format level in force is above what this process can judge.
        """
        origin = self._find()
        self._metrics.count(f"bootstrap.{origin.value}")
        _log.info("Starting at offset %d from %s.", self._fold.next_offset, origin.value)
        return origin

    def _find(self) -> BootstrapOrigin:
        try:
            bounds = self._client.bounds(FLEET)
            is_installed = self._install_snapshot(bounds)
        except LogError as error:
            if self._install_peer_state(self._fold.next_offset + 1):
                self._target_offset = self._fold.next_offset
                return BootstrapOrigin.PEER
            raise BootstrapError(f"no peer has a state and the log fails: {error.code}") from error
        origin = self._origin_with_log(is_installed, bounds)
        self._target_offset = bounds.next_offset
        return origin

    def _origin_with_log(self, is_installed: bool, bounds: LogBounds) -> BootstrapOrigin:
        if is_installed:
            return BootstrapOrigin.SNAPSHOT
        if self._fold.next_offset >= bounds.oldest:
            return BootstrapOrigin.LOG
        if self._install_peer_state(bounds.oldest):
            return BootstrapOrigin.PEER
        raise BootstrapError(f"nothing leads to offset {bounds.oldest}, the oldest kept")

    def _install_snapshot(self, bounds: LogBounds) -> bool:
        for snapshot in self._store.newest_first():
            if snapshot.next_offset < max(bounds.oldest, self._fold.next_offset + 1):
                return False
            try:
                return self._fold.install(snapshot.decode(), snapshot.next_offset)
            except CodecError:
                self._metrics.count("bootstrap.snapshot-malformed")
        return False

    def _install_peer_state(self, least_offset: int) -> bool:
        if self._peers is None:
            return False
        found = self._peers.fetch_state()
        if found is None or found[1] < least_offset:
            return False
        try:
            return self._fold.install(decode_state(found[0]), found[1])
        except CodecError:
            self._metrics.count("bootstrap.peer-state-malformed")
            return False
