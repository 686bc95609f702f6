"""The program ``almondstack.platform``, which runs on each of the platform's machines."""

import argparse
import functools
import math
import os
import secrets
import signal
import sys
import threading
import time

from almondstack.control import Owner, OwnerServices
from almondstack.core import SettingsError, parse_address
from almondstack.core.client_guard import ClientGuard
from almondstack.core.events import EventLog
from almondstack.core.prometheus_metrics import PrometheusMetrics
from almondstack.core.supervision import SupervisedThread
from almondstack.intake import JobService, OwnerRequests, Peer
from almondstack.jobs import JobIndex
from almondstack.ownership import Follower, OwnershipSettings
from almondstack.ownership.liveness import Liveness
from almondstack.platform.advice import HttpAdvice
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.configuration_watch import ConfigurationWatch
from almondstack.platform.directory import ConfigurationFollower, StoreDirectory
from almondstack.platform.instances import HttpInstances
from almondstack.platform.job_api import JobApi, JobApiServer
from almondstack.platform.readiness import is_current
from almondstack.platform.settings import (
    PlatformSettings,
    SettingsFile,
    control_settings,
)
from almondstack.platform.shutdown import is_handover_due
from almondstack.platform.status import StatusServer
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.workers import HttpWorkerCallers
from almondstack.relay import OwnerClient, RelayServer

__all__ = ["Program", "main"]

_SETTINGS_VARIABLE = "ALMONDSTACK_CONFIG"
_WORK_TOPIC = "keyed.work"
_EXIT_FAILURE = 1
_EXIT_SETTINGS = 2
_STACK_BYTES = 256 * 1024
"""Stack size of threads.  Hundreds of threads, which mostly wait for I/O, must fit into the
machine's memory."""

_DRAIN_NOTICE_S = 2.3
"""Minimum time to keep serving callers after SIGTERM, in seconds.  The load balancer stops sending
new requests after two failed readiness checks, one second apart."""

_SHUTDOWN_MARGIN_S = 1.2
"""Part of the grace period reserved for the final shutdown, in seconds."""

_ANSWERS_S = 1.5
"""Part of the grace period reserved before that for answers to requests that were read, in
seconds: callers that never pause must not be read until the end."""

_ANSWERS_PER_HEARTBEAT = 4.0
"""Between reading two heartbeats of the owner, a process gets at most this many answers of a slow
store."""

_SHUTDOWN_POLL_S = 0.05

_SETTINGS_POLL_S = 0.2
"""Interval at which the settings file is checked, in seconds; it may change without a signal."""


class Program:
    """One process: the job API, the follower of the store and, while it owns the jobs, the owner.

    Parameters
    ----------
    file : SettingsFile
        Settings of this machine; checked for changes while the process runs.
    """

    def __init__(self, file: SettingsFile) -> None:
        self._file = file
        settings = file.settings
        self._incarnation = f"{settings.node}/{secrets.token_hex(4)}"
        self._events = EventLog(settings.node)
        self._metrics = PrometheusMetrics()
        self._connection = StoreConnection(settings.store.address)
        self._instances = HttpInstances(settings.instances.address, settings.node)
        self._advice = HttpAdvice(settings.advice) if settings.advice else None
        self._store = KeyedTopic(self._connection, _WORK_TOPIC, settings.limits.max_read_kb)
        self._holder = ConfigurationHolder()
        self._index = JobIndex()
        self._directory = StoreDirectory(self._connection, self._holder, self._events)
        self._configuration_follower = ConfigurationFollower(
            self._connection, self._holder, self._events
        )
        self._configuration_watch = ConfigurationWatch(
            self._index, self._holder, self._configuration_follower.reread, self._events
        )
        self._follower = Follower(
            self._store,
            self._index,
            OwnershipSettings(),
            self._incarnation,
            settings.listen.ready,
            self._events,
            self._start_ownership,
            settings.limits.cores,
        )
        self._requests = OwnerRequests(settings.zone)
        guard = ClientGuard(settings.http_limits, self._metrics, self._events.write)
        service = JobService(
            self._store,
            self._index,
            self._follower,
            OwnerClient(
                self._index,
                self._requests,
                self._describe_process,
                self._store_delay_factor,
                self._lag_s,
            ),
            self._events,
            self._metrics,
        )
        api = JobApi(self._holder, service, self._metrics)
        self._relay_server = RelayServer(
            settings.relay_address,
            self._requests,
            lambda: self._index.notice,
            guard,
            lambda: api.max_body_bytes,
        )
        self._job_api_server = JobApiServer(settings.listen.front, api, guard=guard)
        self._readiness_server = StatusServer(
            parse_address(settings.listen.ready),
            self._render_readiness,
            self._liveness,
            guard,
        )
        self._metrics_server = StatusServer(
            settings.metrics_address, self._render_metrics, self._liveness, guard
        )
        self._owner: Owner | None = None
        self._exit_code = 0
        self._shutting_down = threading.Event()
        self._reload_requested = threading.Event()

    def run(self) -> int:
        """Serve until SIGTERM; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._shutting_down.set())
        signal.signal(signal.SIGHUP, lambda *_: self._reload_requested.set())
        self._events.start()
        self._events.report_failed_threads(self._metrics.count)
        self._events.write("start", zone=self._file.settings.zone, incarnation=self._incarnation)
        for server in (
            self._job_api_server,
            self._readiness_server,
            self._metrics_server,
            self._relay_server,
        ):
            server.prepare()
            SupervisedThread("accepts", server.serve, self._fail).start()
        self._configuration_follower.start()
        self._directory.start()
        self._follower.start()
        while not self._shutting_down.wait(_SETTINGS_POLL_S):
            self._reload_settings()
            self._configuration_watch.check()
        self._shut_down()
        return self._exit_code

    def _start_ownership(self, token: int, sequence: int) -> None:
        """Start a thread that runs the owner; called by the follower's thread."""
        run = functools.partial(self._run_ownership, token, sequence)
        SupervisedThread("owning", run, self._fail).start()

    def _fail(self) -> None:
        """Shut down and exit with an error, so that the machine starts the program again.

        Explanation
        -----------
        Called in a thread that an unforeseen error has ended and without which the process
        would look well and not do its work.
        """
        self._exit_code = _EXIT_FAILURE
        self._shutting_down.set()

    def _run_ownership(self, token: int, sequence: int) -> None:
        """Run the owner until its ownership ends, then return to following the store."""
        try:
            self._run_owner(token, sequence)
        finally:
            self._directory.adjust_pause(is_owner=False)
            self._relay_server.resize_thread_pool(is_owner=False)
            self._follower.step_down()
            self._owner = None

    def _run_owner(self, token: int, sequence: int) -> None:
        owner = Owner(
            self._owner_services(),
            self._incarnation,
            token,
            sequence,
            self._follower.last_owner_record_s,
        )
        self._owner = owner
        # The owner writes heartbeats from now on, even if the workers cannot be read yet.
        self._directory.adjust_pause(is_owner=True)
        self._relay_server.resize_thread_pool(is_owner=True)
        owner.start()
        if self._shutting_down.is_set():
            owner.release()
        while owner.is_alive:
            owner.join(1.0)
        if owner.has_failed:
            self._fail()

    def _owner_services(self) -> OwnerServices:
        settings = self._file.settings
        control = control_settings(settings)
        return OwnerServices(
            store=self._store,
            address=settings.listen.ready,
            index=self._index,
            callers=HttpWorkerCallers(control.call_timeout_s),
            instances=self._instances,
            directory=self._directory,
            advice=self._advice,
            policies=self._holder.policies,
            control=control,
            ownership=OwnershipSettings(),
            requests=self._requests,
            read_offset=lambda: self._follower.next_offset,
            events=self._events,
            metrics=self._metrics,
            cores=settings.limits.cores,
            requests_address=settings.relay_address,
        )

    def _render_readiness(self) -> tuple[int, bytes]:
        is_ready = (
            self._holder.configuration is not None
            and self._follower.is_loaded
            and is_current(self._follower, self._connection.latency.answer_s)
            and not self._shutting_down.is_set()
        )
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _describe_process(self) -> Peer:
        """Return the description of this process that it sends to the owner with each request."""
        settings = self._file.settings
        # An infinite age keeps a process that is shutting down from becoming the standby.
        age_s = math.inf if self._shutting_down.is_set() else self._follower.contact_age_s
        return Peer(self._incarnation, settings.limits.cores, age_s, settings.zone)

    def _lag_s(self) -> float:
        """Return the lag of this process behind the store, in seconds."""
        return self._follower.lag_s

    def _store_delay_factor(self) -> float:
        """Return the factor by which the store's answers are further apart than usual."""
        answer_s = self._connection.latency.answer_s
        return self._connection.read_backoff.factor() + _ANSWERS_PER_HEARTBEAT * answer_s

    def _liveness(self) -> Liveness:
        """Return the liveness that other processes can query."""
        owner = self._owner
        turned_away_s = owner.turned_away_s if owner is not None else 0.0
        return Liveness(self._incarnation, self._follower.contact_age_s, turned_away_s)

    def _render_metrics(self) -> tuple[int, bytes]:
        return 200, self._metrics.render()

    def _reload_settings(self) -> None:
        """Apply changes of the settings file; the previous settings stay if the file is invalid."""
        is_signalled = self._reload_requested.is_set()
        self._reload_requested.clear()
        try:
            is_changed = self._file.refresh()
        except SettingsError as error:
            self._events.write("reload-refused", error=str(error), is_signalled=is_signalled)
            return
        if is_changed:
            self._apply(self._file.settings)
        if is_changed or is_signalled:
            self._events.write("reloaded", is_signalled=is_signalled, is_changed=is_changed)

    def _apply(self, settings: PlatformSettings) -> None:
        """Use new addresses at once; new time limits apply when this process next becomes owner."""
        self._connection.use_address(settings.store.address)
        self._instances.use_address(settings.instances.address)
        if settings.advice and self._advice is not None:
            self._advice.use_address(settings.advice)
        elif settings.advice:
            self._advice = HttpAdvice(settings.advice)

    def _shut_down(self) -> None:
        """Release ownership, finish the active requests and stop within the grace period."""
        started_s = time.monotonic()
        self._events.write("stopping")
        self._job_api_server.is_shutting_down = True
        self._follower.stop_claiming()
        grace_s = self._file.settings.bounds.grace_s
        waited_s = 0.0
        accepting_s = max(_DRAIN_NOTICE_S, grace_s - _SHUTDOWN_MARGIN_S - _ANSWERS_S)
        while waited_s < min(accepting_s, grace_s - _SHUTDOWN_MARGIN_S):
            is_handed_over = self._hand_over(waited_s, grace_s)
            if is_handed_over and waited_s >= _DRAIN_NOTICE_S and not self._job_api_server.active:
                break
            time.sleep(_SHUTDOWN_POLL_S)
            waited_s = time.monotonic() - started_s
        self._finish_requests(started_s, grace_s)
        self._follower.stop()
        self._configuration_follower.stop()
        self._events.write("stopped", active=self._job_api_server.active)
        self._events.stop()

    def _finish_requests(self, started_s: float, grace_s: float) -> None:
        """Stop reading requests, then wait until those that were read have their answers.

        Parameters
        ----------
        started_s : float
            Monotonic time of SIGTERM, in seconds.
        grace_s : float
            Seconds from SIGTERM to SIGKILL.
        """
        servers = (self._job_api_server, self._relay_server)
        for server in servers:
            server.stop_accepting()
        waited_s = time.monotonic() - started_s
        while waited_s < grace_s - _SHUTDOWN_MARGIN_S:
            is_handed_over = self._hand_over(waited_s, grace_s)
            if is_handed_over and not any(server.active for server in servers):
                break
            time.sleep(_SHUTDOWN_POLL_S)
            waited_s = time.monotonic() - started_s

    def _hand_over(self, waited_s: float, grace_s: float) -> bool:
        """Have the owner release the jobs when due; return whether no owner runs here."""
        owner = self._owner
        if owner is None:
            return True
        if is_handover_due(waited_s, grace_s, is_slow=self._connection.latency.is_slow):
            owner.release()
        return not owner.is_alive


def main(arguments: list[str] | None = None) -> int:
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="almondstack.platform", description="Run almondstack on one of the platform's machines"
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(_SETTINGS_VARIABLE, ""),
        help=f"path of the settings file; by default the value of {_SETTINGS_VARIABLE}",
    )
    parser.add_argument(
        "--check",
        action="store_true",
        help="validate the settings file and exit, with exit code 2 if it is invalid",
    )
    options = parser.parse_args(arguments)
    try:
        file = SettingsFile(options.settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return _EXIT_SETTINGS
    if options.check:
        return 0
    threading.stack_size(_STACK_BYTES)
    # The remaining threads are daemons that wait for calls to the platform and hold no unsaved
    # state.
    code = Program(file).run()
    sys.stdout.flush()
    os._exit(code)
