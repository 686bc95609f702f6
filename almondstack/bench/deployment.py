"""Runs a deployment on loopback: stand-ins, entries and keepers as processes."""

import json
import time
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from almondstack.bench.layout import DeploymentPlan, Layout
from almondstack.bench.outcome_check import (
    CallerRecord,
    OutcomeCounts,
    OutcomeRules,
    check_outcomes,
)
from almondstack.bench.processes import ProcessGroup, wait_until_ready
from almondstack.bench.usage import ProcessUsage, run_and_measure
from almondstack.core import AlmondError, LogServiceSettings
from almondstack.ctl.session import OperatorSession
from almondstack.model import FleetState, KeyRevoked, ReleaseNote
from almondstack.standin.journal import Event, read_journal, record_process_end
from almondstack.standin.log_service import LogFaults
from almondstack.standin.platform_recount import Violation

__all__ = ["Deployment", "ExperimentError"]

_APPLY_TIMEOUT_S = 30.0
_CONTROL_TIMEOUT_S = 5.0


class ExperimentError(AlmondError):
    """A step of an experiment failed."""

    code = "experiment"


class Deployment:
    """Runs the processes of a plan, injects faults into them and checks their outcomes.

    Parameters
    ----------
    plan : DeploymentPlan
        Entries, keepers and upstreams to start.
    folder : pathlib.Path
        Folder for settings files and journals.
    group : ProcessGroup
        Starts and ends the processes.
    """

    def __init__(self, plan: DeploymentPlan, folder: Path, group: ProcessGroup) -> None:
        self._plan = plan
        self._layout = Layout(plan)
        self._folder = folder
        self._group = group
        self._revoked_s: dict[str, float] = {}
        (folder / "journals").mkdir()

    @property
    def layout(self) -> Layout:
        """Names, addresses and settings of the processes."""
        return self._layout

    @property
    def note(self) -> ReleaseNote:
        """The release note with this run's addresses."""
        return self._layout.note

    @property
    def rules(self) -> OutcomeRules:
        """Limits for the outcome check of this deployment."""
        ceilings = {team.name: team.ceiling for team in self.note.added.teams}
        return OutcomeRules(ceilings=ceilings, revoked_s=dict(self._revoked_s))

    def start(self) -> None:
        """Start all processes, apply the note and wait until entries and keepers are ready."""
        self._start_standins()
        for name in self._layout.entry_names:
            self.start_entry(name)
        self._apply_note()
        for name in self._layout.entry_names:
            self.wait_until_serving(name)
        for name in self._layout.keeper_names:
            self.start_keeper(name)
        for name in self._layout.keeper_names:
            wait_until_ready(f"http://{self._layout.keeper_address(name)}/readyz")

    def start_entry(self, name: str) -> None:
        """Start a new incarnation of an entry."""
        path = self._write_settings(name, self._layout.entry_settings(name))
        self._group.start(name, "almondstack.entry.main", "--settings", path)

    def start_keeper(self, entry: str) -> None:
        """Start the keeper beside an entry."""
        name = f"keeper-{entry}"
        path = self._write_settings(name, self._layout.keeper_settings(entry))
        self._group.start(name, "almondstack.keeper.main", "--settings", path)

    def wait_until_serving(self, entry: str) -> None:
        """Wait until an entry is ready to serve callers."""
        wait_until_ready(f"http://{self._layout.callers_address(entry)}/readyz")

    def replace_entry(self, name: str) -> None:
        """Shut an entry down gracefully and start its next incarnation."""
        self._group.terminate(name)
        self.start_entry(name)

    def kill_upstream(self, name: str) -> None:
        """Kill an upstream stand-in in its own process, and write the end into its journal."""
        self._group.kill(f"upstream-{name}")
        record_process_end(self._folder / "journals" / f"{name}.journal")

    def start_upstream(self, *names: str) -> None:
        """Start one process that runs the stand-ins of the named upstreams."""
        process = f"upstream-{names[0]}" if len(names) == 1 else f"upstreams-{names[0]}"
        self._group.start(
            process,
            "almondstack.standin.main",
            "upstream",
            "--listen",
            *(self._layout.upstream_address(name) for name in names),
            "--name",
            *names,
            "--journals",
            str(self._folder / "journals"),
        )

    def set_log_faults(self, faults: LogFaults) -> None:
        """Set the injected faults of the log stand-in."""
        _post_json(f"http://{self._layout.log_address}/control/faults", faults)

    def set_upstream_faults(self, name: str, faults: msgspec.Struct) -> None:
        """Set the injected faults of an upstream stand-in."""
        _post_json(f"http://{self._layout.upstream_address(name)}/control/faults", faults)

    def set_platform_faults(self, faults: msgspec.Struct) -> None:
        """Set the injected faults of the platform stand-in."""
        _post_json(f"http://{self._layout.platform_address}/control/faults", faults)

    def revoke_key(self, key_id: str) -> None:
        """Append the revocation of a key and keep its time for the outcome check."""
        self._revoked_s[key_id] = time.monotonic()
        self.append(KeyRevoked(key_id))

    def append(self, body: object) -> None:
        """Append one record as an operator.

        Raises
        ------
        ExperimentError
            The record was refused, or not confirmed in time.
        """
        session = self._session()
        verdict = session.append(body, timeout_s=_CONTROL_TIMEOUT_S)
        session.stop()
        if verdict is None or not verdict.is_accepted:
            raise ExperimentError(f"the record was refused or not confirmed in time: {body}")

    def run_ctl(self, *arguments: str) -> ProcessUsage:
        """Run one ``almondctl`` command and return its resource usage."""
        log = self._layout.log_address
        return run_and_measure("almondstack.ctl.main", "--log", log, *arguments)

    def state(self) -> FleetState:
        """Return the current fleet state, folded from the log by this process."""
        return self._session().fold.state

    def _session(self) -> OperatorSession:
        """Return a new operator session that has folded the log to its end."""
        session = OperatorSession(LogServiceSettings(address=self._layout.log_address))
        session.catch_up()
        return session

    def journals(self) -> dict[str, list[Event]]:
        """Return the events of each upstream stand-in by its name."""
        paths = (self._folder / "journals").glob("*.journal")
        return {path.stem: read_journal(path) for path in paths}

    def platform_violations(self) -> list[Violation]:
        """Return the acts that broke a rule, as recorded by the platform stand-in."""
        response = _get(f"http://{self._layout.platform_address}/control/recount")
        return msgspec.convert(response["violations"], list[Violation])

    def check_outcomes(self, records: list[CallerRecord]) -> OutcomeCounts:
        """Return the counts of the outcome check; the platform stand-in must still run."""
        return check_outcomes(records, self.journals(), self.rules, self.platform_violations())

    def status(self, entry: str) -> dict[str, Any]:
        """Return the content of ``/statusz`` of an entry."""
        return _get(f"http://{self._layout.callers_address(entry)}/statusz")

    def pid(self, process: str) -> int:
        """Return the process id of an entry or of ``keeper-ENTRY``."""
        return self._group.pid(process)

    def log_counts(self) -> dict[str, Any]:
        """Return the log stand-in's number of appends, bytes read and next offsets."""
        return _get(f"http://{self._layout.log_address}/control/counts")

    def check_running(self) -> None:
        """Check that every entry and keeper still runs.

        Raises
        ------
        ExperimentError
            A process has ended; the message shows the end of its output.
        """
        names = [*self._layout.entry_names, *(f"keeper-{n}" for n in self._layout.keeper_names)]
        ended = [name for name in names if not self._group.is_running(name)]
        if ended:
            raise ExperimentError(f"{ended[0]} ended: {self._group.output(ended[0])[-500:]}")

    def _start_standins(self) -> None:
        standin = "almondstack.standin.main"
        layout = self._layout
        self._group.start("log", standin, "log", "--listen", layout.log_address)
        self._group.start("list", standin, "list", "--listen", layout.list_address)
        self._group.start("platform", standin, "platform", "--listen", layout.platform_address)
        if self._plan.has_shared_upstream:
            address = layout.shared_upstream_address
            self._group.start("upstreams", standin, "upstream", "--listen", address)
        else:
            for names in self._upstream_processes():
                self.start_upstream(*names)
        wait_until_ready(f"http://{layout.log_address}/v1/streams/fleet/bounds")
        wait_until_ready(f"http://{layout.list_address}/v1/instances")
        wait_until_ready(f"http://{layout.platform_address}/control/recount")
        waited_for = self.note.added.instances[: 1 if self._plan.has_shared_upstream else None]
        for item in waited_for:
            wait_until_ready(f"http://{item.address}/control/state")
        _post_json(f"http://{layout.list_address}/control/instances", layout.listed_instances())
        _post_json(f"http://{layout.platform_address}/control/fleet", layout.fleet_setup())

    def _upstream_processes(self) -> list[list[str]]:
        """Return the upstream names of each process.

        Upstreams share one process per zone, except those in ``own_process``.
        """
        single = [[name] for name in self._plan.own_process]
        by_zone: dict[str, list[str]] = {}
        for item in self.note.added.instances:
            if item.name not in self._plan.own_process:
                by_zone.setdefault(item.zone, []).append(item.name)
        return [*single, *by_zone.values()]

    def _apply_note(self) -> None:
        path = self._folder / "note.json"
        path.write_bytes(msgspec.json.encode(self.note))
        log = self._layout.log_address
        self._group.start("ctl", "almondstack.ctl.main", "--log", log, "apply", str(path))
        if self._group.wait("ctl", _APPLY_TIMEOUT_S) != 0:
            raise ExperimentError(self._group.output("ctl"))

    def _write_settings(self, name: str, settings: dict[str, Any]) -> str:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)


def _get(url: str) -> dict[str, Any]:
    return urllib3.PoolManager(retries=False).request("GET", url, timeout=2.0).json()


def _post_json(url: str, value: object) -> None:
    response = urllib3.PoolManager(retries=False).request(
        "POST", url, body=msgspec.json.encode(value), timeout=_CONTROL_TIMEOUT_S
    )
    if response.status != 200:
        raise ExperimentError(f"{url}: status {response.status}")
