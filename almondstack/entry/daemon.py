"""Builds an entry process from its components, and starts and stops them."""

import sys
import threading

from almondstack.at_most_once import OnceService
from almondstack.core import PartLogger, StatsdMetrics, SystemClock, new_incarnation
from almondstack.dispatch import FairDispatcher
from almondstack.entry.app import EntryApp
from almondstack.entry.gossip import connect_gossip
from almondstack.entry.instance_list import InstanceListPoller
from almondstack.entry.parts import EntryParts
from almondstack.entry.peer_status import peer_status_of
from almondstack.entry.server import EntryServer
from almondstack.entry.settings import EntrySettings
from almondstack.fold import Fold
from almondstack.log import (
    FLEET,
    Bootstrap,
    Follower,
    HttpLogClient,
    RecordWriter,
    SnapshotWriter,
)
from almondstack.model import EntryJoined, EntryLeft
from almondstack.peers import PeerNode

__all__ = ["EntryDaemon"]

_LEAVE_TIMEOUT_S = 2.0
_FENCE_CHECK_INTERVAL_S = 0.5

_log = PartLogger("entry")


class EntryDaemon:
    """The entry process, from joining the fleet to its shutdown.

    Parameters
    ----------
    settings : EntrySettings
        All settings.
    """

    __slots__ = (
        "_dispatcher",
        "_ended",
        "_fold",
        "_follower",
        "_incarnation",
        "_instance_list",
        "_metrics",
        "_once",
        "_parts",
        "_peers",
        "_server",
        "_settings",
        "_snapshots",
        "_stopping",
        "_writer",
    )

    def __init__(self, settings: EntrySettings) -> None:
        clock = SystemClock()
        metrics = self._metrics = StatsdMetrics(settings.statsd)
        incarnation = self._incarnation = new_incarnation(settings.node.name)
        client = HttpLogClient(settings.log, incarnation)
        fold = self._fold = Fold()
        self._settings = settings
        self._stopping = threading.Event()
        self._ended = threading.Event()
        self._peers = PeerNode(
            settings.peer_settings,
            settings.peer_listen,
            settings.node,
            incarnation,
            fold,
            clock,
            metrics,
        )
        bootstrap = Bootstrap(client, fold, metrics, self._peers)
        self._follower = Follower(client, fold, metrics, clock, bootstrap)
        position = self._follower.position
        self._writer = RecordWriter(
            client, FLEET, incarnation, settings.log, metrics, clock, position=position
        )
        self._snapshots = SnapshotWriter(
            client, fold, incarnation, settings.snapshots, metrics, clock
        )
        self._peers.attach(self._follower, self._writer, client)
        self._once = OnceService(client, incarnation, settings.once, clock, metrics)
        self._instance_list = InstanceListPoller(settings.instance_list, clock, metrics)
        self._dispatcher = FairDispatcher(
            settings.dispatch,
            settings.node,
            fold,
            self._peers.permits,
            clock,
            metrics,
            usage=self._peers.usage,
            listing=self._instance_list,
        )
        connect_gossip(self._dispatcher, self._peers)
        self._parts = EntryParts(
            settings=settings,
            incarnation=incarnation,
            fold=fold,
            dispatcher=self._dispatcher,
            once=self._once.guard,
            revocations=self._peers.revocations,
            connectivity=self._peers.connectivity,
            clock=clock,
            metrics=metrics,
            peer_status=lambda: peer_status_of(self._peers, fold),
        )
        app = EntryApp(self._parts)
        self._server = EntryServer(settings, app, self._parts.reaper, metrics)

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        sys.setswitchinterval(self._settings.switch_interval_ms / 1000)
        self._start_threads()
        self._join()
        self._server.prepare()
        _log.info("Serving callers at %s as %s.", self._settings.callers.listen, self._incarnation)
        self._server.serve()
        self._ended.wait()

    def stop(self) -> None:
        """Begin a graceful shutdown: reject new requests and finish the admitted ones."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._parts.stop_admitting()
        threading.Thread(target=self._shut_down, name="shutdown").start()

    def _start_threads(self) -> None:
        self._metrics.start()
        self._peers.start()
        self._follower.start()
        self._writer.start()
        self._snapshots.start()
        self._once.start()
        self._instance_list.start()
        self._dispatcher.start()
        self._parts.hangups.start()
        self._parts.reaper.start()
        threading.Thread(target=self._watch_fence, name="fence", daemon=True).start()

    def _join(self) -> None:
        node = self._settings.node
        self._writer.submit(
            EntryJoined(
                incarnation=self._incarnation,
                name=node.name,
                zone=node.zone,
                region=node.region,
                address=self._settings.callers.listen,
                peer_address=self._settings.peer_listen,
            )
        )

    def _watch_fence(self) -> None:
        """Shut down once the log has fenced this incarnation; the platform restarts the process."""
        while not self._stopping.wait(_FENCE_CHECK_INTERVAL_S):
            if self._parts.is_fenced:
                _log.error("The log has fenced %s; shutting down.", self._incarnation)
                self.stop()

    def _shut_down(self) -> None:
        is_empty = self._parts.calls.wait_until_empty(self._settings.shutdown_timeout_s)
        if not is_empty:
            _log.warning(
                "Shutdown timeout expired with %d requests in progress; stopping anyway.",
                self._parts.calls.count,
            )
        self._server.stop()
        self._dispatcher.stop()
        self._leave(is_empty)
        self._stop_threads()
        _log.info("Shut down.")
        self._ended.set()

    def _leave(self, is_empty: bool) -> None:
        """Return the permits and record the departure in the log.

        With requests in progress, no departure is recorded and the incarnation is fenced later.
        """
        self._peers.leave()
        if not is_empty:
            return
        sequence = self._writer.submit(EntryLeft(self._incarnation))
        self._fold.wait_for_verdict(self._writer.author, sequence, _LEAVE_TIMEOUT_S)

    def _stop_threads(self) -> None:
        for component in (
            self._snapshots,
            self._once,
            self._writer,
            self._follower,
            self._peers,
            self._instance_list,
            self._parts.hangups,
            self._parts.reaper,
            self._metrics,
        ):
            component.stop()
