"""Brings a fold to a state that the log continues, at start or after a gap.

Explanation
-----------
The sources are tried in this order: the newest valid snapshot whose following
records the log retains, the log from the fold's next offset, and a peer's
state.  The fold is never set back to a lower offset.
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
    """Access to the folded state of peers."""

    def fetch_state(self) -> tuple[bytes, int] | None:
        """Return a peer's encoded state and its next offset; None if no peer answers."""
        ...


class BootstrapOrigin(StrEnum):
    """Source of the state."""

    SNAPSHOT = "snapshot"
    LOG = "log"
    PEER = "peer"


class Bootstrap:
    """Brings a fold to a state that the records retained by the log continue.

    Parameters
    ----------
    client : LogClient
        The log service.
    fold : Fold
        The fold; its offset only increases.
    metrics : LocalMetrics
        Counts origins and malformed snapshots and peer states.
    peers : PeerStateSource, optional
        Used if the log service fails, or if neither a snapshot nor the fold reaches
        the oldest retained record.
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
        """Offset at which a fold counts as caught up; None until :meth:`run` succeeds.

        Explanation
        -----------
        The end of the log when :meth:`run` read its bounds, or the next offset of
        the peer's state if the log service failed.
        """
        return self._target_offset

    def run(self) -> BootstrapOrigin:
        """Bring the fold to a usable state; return the source of the state.

        Raises
        ------
        BootstrapError
            No source has a state that the retained records continue.
        FoldOutdatedError
            The format level in force is above the highest that this process supports.
        """
        origin = self._find()
        self._metrics.count(f"bootstrap.{origin.value}")
        _log.info(
            "Bootstrap complete: next offset %d, source %s.", self._fold.next_offset, origin.value
        )
        return origin

    def _find(self) -> BootstrapOrigin:
        try:
            bounds = self._client.bounds(FLEET)
            is_installed = self._install_snapshot(bounds)
        except LogError as error:
            if self._install_peer_state(self._fold.next_offset + 1):
                self._target_offset = self._fold.next_offset
                return BootstrapOrigin.PEER
            raise BootstrapError(
                f"the log service failed ({error.code}) and no peer state is usable"
            ) from error
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
        raise BootstrapError(
            f"no snapshot or peer state reaches offset {bounds.oldest}, the oldest in the log"
        )

    def _install_snapshot(self, bounds: LogBounds) -> bool:
        for snapshot in self._store.newest_first():
            if snapshot.next_offset < max(bounds.oldest, self._fold.next_offset + 1):
                return False
            try:
                return self._fold.install(snapshot.decode(), snapshot.next_offset)
            except CodecError:
                self._metrics.count("bootstrap.snapshot-malformed")
        return False

    def _install_peer_state(self, min_offset: int) -> bool:
        if self._peers is None:
            return False
        found = self._peers.fetch_state()
        if found is None or found[1] < min_offset:
            return False
        try:
            return self._fold.install(decode_state(found[0]), found[1])
        except CodecError:
            self._metrics.count("bootstrap.peer-state-malformed")
            return False
