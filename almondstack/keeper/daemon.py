"""Assembles and runs a keeper process."""

import threading

from cheroot import wsgi

from almondstack.core import PartLogger, StatsdMetrics, SystemClock, new_incarnation, parse_address
from almondstack.fleet import FleetView
from almondstack.fold import Fold
from almondstack.keeper.rounds import KeeperRounds, copy_state
from almondstack.keeper.settings import KeeperSettings
from almondstack.keeper.status import KeeperStatus, StatusApp, wave_progress
from almondstack.log import FLEET, Follower, HttpLogClient, RecordWriter, SnapshotWriter
from almondstack.provider import HttpInstanceList, HttpPlatform

__all__ = ["KeeperDaemon"]

_STATUS_THREADS = 2
_STATUS_TIMEOUT_S = 2
_MAX_REQUEST_BYTES = 16_384
_READY_MAX_LOG_SILENCE_S = 30.0
_FLUSH_TIMEOUT_S = 2.0
_FLUSH_POLL_S = 0.05

_log = PartLogger("keeper")


class KeeperDaemon:
    """One incarnation of the keeper process.

    Parameters
    ----------
    settings : KeeperSettings
        All settings.
    """

    __slots__ = (
        "_clock",
        "_fold",
        "_follower",
        "_incarnation",
        "_metrics",
        "_rounds",
        "_server",
        "_settings",
        "_snapshots",
        "_stopping",
        "_writer",
    )

    def __init__(self, settings: KeeperSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()
        self._metrics = StatsdMetrics(settings.statsd)
        self._incarnation = new_incarnation(f"{settings.node.name}.keeper")
        client = HttpLogClient(settings.log, self._incarnation)
        self._fold = Fold()
        self._follower = Follower(client, self._fold, self._metrics, self._clock)
        self._writer = RecordWriter(
            client,
            FLEET,
            self._incarnation,
            settings.log,
            self._metrics,
            self._clock,
            position=self._follower.position,
        )
        self._snapshots = SnapshotWriter(
            client, self._fold, self._incarnation, settings.snapshots, self._metrics, self._clock
        )
        platform = settings.platform
        self._rounds = KeeperRounds(
            settings.node.name,
            self._fold,
            client,
            self._follower,
            self._writer,
            HttpPlatform(platform, self._metrics),
            HttpInstanceList(platform.list_address, platform.timeout_s),
            settings.fleet,
            self._metrics,
            self._clock,
        )
        self._server = wsgi.Server(
            parse_address(settings.status_listen),
            StatusApp(self.status, self._metrics),
            numthreads=_STATUS_THREADS,
            max=_STATUS_THREADS,
            timeout=_STATUS_TIMEOUT_S,
        )
        self._server.max_request_header_size = _MAX_REQUEST_BYTES
        self._server.max_request_body_size = _MAX_REQUEST_BYTES
        self._stopping = threading.Event()

    def run(self) -> None:
        """Run planning rounds until :meth:`stop`."""
        self._metrics.start()
        self._follower.start()
        self._writer.start()
        self._snapshots.start()
        self._server.prepare()
        threading.Thread(target=self._server.serve, name="status", daemon=True).start()
        _log.info("Keeper %s started.", self._incarnation)
        while not self._stopping.is_set():
            self._rounds.run_once()
            self._clock.wait(self._stopping, self._settings.round_s)
        self._finish()

    def stop(self) -> None:
        """Begin a graceful shutdown: :meth:`run` returns after the round in progress."""
        self._stopping.set()

    def status(self) -> KeeperStatus:
        """Return the status for ``/statusz``."""
        state = copy_state(self._fold)
        silence_s = self._follower.contact_age_s
        fleet = self._settings.fleet
        observations = self._rounds.tracker.current_observations(silence_s)
        view = FleetView(state, observations, fleet)
        return KeeperStatus(
            incarnation=self._incarnation,
            next_offset=self._fold.next_offset,
            log_silence_s=min(silence_s, 1e9),
            is_ready=bool(state.pools) and silence_s < _READY_MAX_LOG_SILENCE_S,
            waves=wave_progress(view, self._rounds.planner.estimates),
            counters=self._metrics.totals(),
        )

    def _finish(self) -> None:
        deadline_s = self._clock.monotonic() + _FLUSH_TIMEOUT_S
        unset_event = threading.Event()
        while self._writer.pending_count and self._clock.monotonic() < deadline_s:
            self._clock.wait(unset_event, _FLUSH_POLL_S)
        self._server.stop()
        self._snapshots.stop()
        self._writer.stop()
        self._follower.stop()
        self._metrics.stop()
        _log.info("Keeper shut down.")
