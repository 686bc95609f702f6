"""Puts the parts of a keeper together."""

import threading

from almondstack.core import Metrics, PartLogger, SystemClock, new_incarnation
from almondstack.fold import Fold
from almondstack.keeper.settings import KeeperSettings
from almondstack.log import Follower, HttpLogClient

__all__ = ["KeeperDaemon"]

_log = PartLogger("keeper")


class KeeperDaemon:
    """One life of the keeper process.

    Parameters
    ----------
    settings : KeeperSettings
        All settings.
    """

    __slots__ = ("_fold", "_follower", "_incarnation", "_stopping")

    def __init__(self, settings: KeeperSettings) -> None:
        self._incarnation = new_incarnation(f"{settings.node.name}.keeper")
        client = HttpLogClient(settings.log, self._incarnation)
        self._fold = Fold()
        self._follower = Follower(client, self._fold, Metrics(settings.statsd), SystemClock())
        self._stopping = threading.Event()

    def run(self) -> None:
        """Keep the fleet until :meth:`stop`."""
        self._follower.start()
        _log.info("Following the log as %s.", self._incarnation)
        self._stopping.wait()
        self._follower.stop()

    def stop(self) -> None:
        """End the process."""
        self._stopping.set()
