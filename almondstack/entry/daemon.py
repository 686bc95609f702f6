"""Puts the parts of an entry together."""

import math
import threading

from cheroot import wsgi

from almondstack.core import Metrics, PartLogger, SystemClock, new_incarnation, parse_address
from almondstack.dispatch import FirstComeDispatcher, UpstreamClient
from almondstack.entry.app import EntryApp
from almondstack.entry.settings import EntrySettings
from almondstack.fold import Fold
from almondstack.log import FLEET, Follower, HttpLogClient, RecordWriter
from almondstack.model import EntryJoined, EntryLeft

__all__ = ["EntryDaemon"]

_log = PartLogger("entry")


class EntryDaemon:
    """One life of the entry process.

    Parameters
    ----------
    settings : EntrySettings
        All settings.
    """

    __slots__ = (
        "_app",
        "_fold",
        "_follower",
        "_incarnation",
        "_server",
        "_settings",
        "_stopping",
        "_writer",
    )

    def __init__(self, settings: EntrySettings) -> None:
        clock = SystemClock()
        metrics = Metrics(settings.statsd)
        self._settings = settings
        self._incarnation = new_incarnation(settings.node.name)
        client = HttpLogClient(settings.log, self._incarnation)
        self._fold = Fold()
        self._follower = Follower(client, self._fold, metrics, clock)
        self._writer = RecordWriter(
            client,
            FLEET,
            self._incarnation,
            settings.log,
            metrics,
            clock,
            position=lambda: self._fold.next_offset,
        )
        dispatching = FirstComeDispatcher(self._fold, UpstreamClient(), clock)
        self._app = EntryApp(self._fold, dispatching, clock, metrics)
        self._server = _make_server(settings, self._app)
        self._stopping = threading.Event()

    @property
    def incarnation(self) -> str:
        """Name of this life."""
        return self._incarnation

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        self._follower.start()
        self._writer.start()
        self._join()
        self._server.prepare()
        _log.info("Serving callers at %s as %s.", self._settings.callers.listen, self._incarnation)
        self._server.serve()

    def stop(self) -> None:
        """Shut down gracefully: nothing new, and what runs ends."""
        if self._stopping.is_set():
            return
        self._stopping.set()
        self._app.stop_taking()
        threading.Thread(target=self._finish, name="shutdown").start()

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

    def _finish(self) -> None:
        self._server.stop()
        sequence = self._writer.submit(EntryLeft(self._incarnation))
        self._fold.wait_for_verdict(self._writer.author, sequence, timeout_s=2.0)
        self._writer.stop()
        self._follower.stop()
        _log.info("Shut down.")


def _make_server(settings: EntrySettings, app: EntryApp) -> wsgi.Server:
    callers = settings.callers
    server = wsgi.Server(
        parse_address(callers.listen),
        app,
        numthreads=callers.threads,
        max=callers.threads,
        accepted_queue_size=callers.waiting_connections,
        accepted_queue_timeout=0,
        timeout=math.ceil(callers.body_timeout_s),
        shutdown_timeout=math.ceil(settings.shutdown_timeout_s),
    )
    server.request_queue_size = callers.waiting_connections
    return server
