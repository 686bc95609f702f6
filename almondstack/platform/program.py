"""The program that runs on each of the platform's machines."""

import argparse
import math
import os
import secrets
import signal
import sys
import threading
import time

from almondstack.control import Owner, OwnerServices
from almondstack.core import SettingsError, parse_address
from almondstack.core.events import EventLog
from almondstack.core.exposition import ExposedMetrics
from almondstack.intake import JobService, OwnerRequests, Peer
from almondstack.jobs import JobBook
from almondstack.ownership import Follower, OwnershipSettings
from almondstack.ownership.liveness import Liveness
from almondstack.platform.advice import HttpAdvice
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.configuration_watch import ConfigurationWatch
from almondstack.platform.directory import ConfigurationFollower, StoreDirectory
from almondstack.platform.instances import HttpInstances
from almondstack.platform.job_api import FrontServer, JobFront
from almondstack.platform.readiness import is_current
from almondstack.platform.settings import (
    PlatformSettings,
    SettingsFile,
    control_settings,
)
from almondstack.platform.shutdown import is_time_to_hand_over
from almondstack.platform.status import StatusServer
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.workers import HttpWorkerCallers
from almondstack.relay import OwnerClient, RelayServer

__all__ = ["Program", "main"]

_SETTINGS_VARIABLE = "ALMONDSTACK_CONFIG"
_WORK_TOPIC = "keyed.work"
_EXIT_SETTINGS = 2
_STACK_BYTES = 256 * 1024
"""Threads only wait and call; hundreds of them must fit into the machine's memory."""

_LEAVE_NOTICE_S = 2.3
"""The platform needs two missed looks, one a second, to send no new callers."""

_LEAVE_MARGIN_S = 1.2
"""Time kept of the grace for closing down."""

_ANSWERS_BETWEEN_SIGNS = 4.0
"""Answers of a slow store between two signs of the owner that a process reads, at most."""

_POLL_S = 0.05

_SETTINGS_POLL_S = 0.2
"""How often the settings file is looked at, since it may change without a signal."""


class Program:
    """One process: callers' front, follower, and owner when it is its turn.

    Parameters
    ----------
    file : SettingsFile
        What the platform says of this machine; looked at again while the process runs.
    """

    def __init__(self, file: SettingsFile) -> None:
        self._file = file
        settings = file.settings
        self._incarnation = f"{settings.node}/{secrets.token_hex(4)}"
        self._events = EventLog(settings.node)
        self._metrics = ExposedMetrics()
        self._connection = StoreConnection(settings.store.address)
        self._instances = HttpInstances(settings.instances.address, settings.node)
        self._advice = HttpAdvice(settings.advice) if settings.advice else None
        self._store = KeyedTopic(self._connection, _WORK_TOPIC, settings.limits.most_read_kb)
        self._holder = ConfigurationHolder()
        self._book = JobBook()
        self._directory = StoreDirectory(self._connection, self._holder, self._events)
        self._configuration = ConfigurationFollower(self._connection, self._holder, self._events)
        self._watch = ConfigurationWatch(
            self._book, self._holder, self._configuration.read_again, self._events
        )
        self._follower = Follower(
            self._store,
            self._book,
            OwnershipSettings(),
            self._incarnation,
            settings.listen.ready,
            self._events,
            self._take_over,
            settings.limits.cores,
        )
        self._requests = OwnerRequests(settings.zone)
        self._relay = RelayServer(settings.relay_address, self._requests, lambda: self._book.notice)
        service = JobService(
            self._store,
            self._book,
            self._follower,
            OwnerClient(self._book, self._requests, self._describe, self._spread, self._lag_s),
            self._events,
            self._metrics,
        )
        front = JobFront(self._holder, service, self._metrics)
        self._front = FrontServer(settings.listen.front, front)
        self._ready = StatusServer(
            parse_address(settings.listen.ready),
            self._render_ready,
            self._liveness,
        )
        self._exposed = StatusServer(settings.metrics_address, self._render_metrics, self._liveness)
        self._owner: Owner | None = None
        self._leaving = threading.Event()
        self._reload = threading.Event()

    def run(self) -> int:
        """Serve until SIGTERM; return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._leaving.set())
        signal.signal(signal.SIGHUP, lambda *_: self._reload.set())
        self._events.start()
        self._events.report_failed_threads()
        self._events.write("start", zone=self._file.settings.zone, incarnation=self._incarnation)
        for server in (self._front, self._ready, self._exposed, self._relay):
            server.prepare()
            threading.Thread(target=server.serve, name="accepts", daemon=True).start()
        self._configuration.start()
        self._directory.start()
        self._follower.start()
        while not self._leaving.wait(_SETTINGS_POLL_S):
            self._reload_settings()
            self._watch.check()
        self._leave()
        return 0

    def _take_over(self, token: int, sequence: int) -> None:
        """Start to own; called by the follower's thread."""
        threading.Thread(
            target=self._own, args=(token, sequence), name="owning", daemon=True
        ).start()

    def _own(self, token: int, sequence: int) -> None:
        """Own the jobs for as long as the store allows, and follow as one of many afterwards."""
        try:
            self._run_owner(token, sequence)
        finally:
            self._directory.hurry(is_owner=False)
            self._relay.expect_requests(is_owner=False)
            self._follower.yield_ownership()
            self._owner = None

    def _run_owner(self, token: int, sequence: int) -> None:
        owner = Owner(
            self._owner_services(),
            self._incarnation,
            token,
            sequence,
            self._follower.heard_owner_s,
        )
        self._owner = owner
        # The owner signs from now on, even while the workers can't be read yet.
        self._directory.hurry(is_owner=True)
        self._relay.expect_requests(is_owner=True)
        owner.start()
        if self._leaving.is_set():
            owner.release()
        while owner.is_alive:
            owner.join(1.0)

    def _owner_services(self) -> OwnerServices:
        settings = self._file.settings
        control = control_settings(settings)
        return OwnerServices(
            store=self._store,
            address=settings.listen.ready,
            book=self._book,
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

    def _render_ready(self) -> tuple[int, bytes]:
        is_ready = (
            self._holder.configuration is not None
            and self._follower.is_loaded
            and is_current(self._follower, self._connection.tempo.answer_s)
            and not self._leaving.is_set()
        )
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _describe(self) -> Peer:
        """Return what other processes are told of this one."""
        settings = self._file.settings
        # One that is about to end is no standby.
        age_s = math.inf if self._leaving.is_set() else self._follower.contact_age_s
        return Peer(self._incarnation, settings.limits.cores, age_s, settings.zone)

    def _lag_s(self) -> float:
        """Return how far this process is behind the store, in seconds."""
        return self._follower.lag_s

    def _spread(self) -> float:
        """Return by what factor answers of the store are further apart than usual."""
        answer_s = self._connection.tempo.answer_s
        return self._connection.read_pace.factor() + _ANSWERS_BETWEEN_SIGNS * answer_s

    def _liveness(self) -> Liveness:
        """Return what other processes may ask of this one."""
        owner = self._owner
        turned_away_s = owner.turned_away_s if owner is not None else 0.0
        return Liveness(self._incarnation, self._follower.contact_age_s, turned_away_s)

    def _render_metrics(self) -> tuple[int, bytes]:
        return 200, self._metrics.render()

    def _reload_settings(self) -> None:
        """Take over what may change while running; a faulty file leaves the old one in force."""
        is_signalled = self._reload.is_set()
        self._reload.clear()
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
        """Use new addresses at once; bounds hold from the next ownership on."""
        self._connection.use_address(settings.store.address)
        self._instances.use_address(settings.instances.address)
        if settings.advice and self._advice is not None:
            self._advice.use_address(settings.advice)
        elif settings.advice:
            self._advice = HttpAdvice(settings.advice)

    def _leave(self) -> None:
        """Give back what is owned, answer what has come, and end within the grace."""
        began_s = time.monotonic()
        self._events.write("stopping")
        self._front.is_leaving = True
        self._follower.retire()
        grace_s = self._file.settings.bounds.grace_s
        waited_s = 0.0
        while waited_s < grace_s - _LEAVE_MARGIN_S:
            is_over = self._hand_over(waited_s, grace_s)
            if is_over and waited_s >= _LEAVE_NOTICE_S and not self._front.active:
                break
            time.sleep(_POLL_S)
            waited_s = time.monotonic() - began_s
        self._follower.stop()
        self._configuration.stop()
        self._events.write("stopped", active=self._front.active)
        self._events.stop()

    def _hand_over(self, waited_s: float, grace_s: float) -> bool:
        """Have the owner, if there is one, give the jobs back in time; return whether it has."""
        owner = self._owner
        if owner is None:
            return True
        if is_time_to_hand_over(waited_s, grace_s, is_slow=self._connection.tempo.is_slow):
            owner.release()
        return not owner.is_alive


def main(arguments: list[str] | None = None) -> int:
    """Run the program; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="almondstack.platform", description="almondstack on the platform's machines"
    )
    parser.add_argument(
        "--settings",
        default=os.environ.get(_SETTINGS_VARIABLE, ""),
        help=f"settings file; by default the one that {_SETTINGS_VARIABLE} names",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings file and end; 2 if it is faulty"
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
    # The threads left are daemons in calls of the platform; nothing of theirs is unsaved.
    code = Program(file).run()
    sys.stdout.flush()
    os._exit(code)
