"""A deployment on loopback: stand-ins, entries and keepers as processes.

Explanation
-----------
All sockets stand on addresses of 127.0.0.0/8 that are made from the process id
of the bench, so that two runs on one machine never meet.
"""

import json
import time
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from almondstack.bench.judge import JudgeRules
from almondstack.bench.processes import ProcessGroup, wait_until_ready
from almondstack.core import AlmondError, LogServiceSettings, decode_json
from almondstack.ctl.session import OperatorSession
from almondstack.model import KeyRevoked, ReleaseNote
from almondstack.platform import ListedInstance
from almondstack.standin.journal import Event, note_process_end, read_journal
from almondstack.standin.log_service import LogFaults
from almondstack.testing.addresses import loopback_host

__all__ = ["Deployment", "DeploymentPlan", "ExperimentError", "load_note"]

_APPLY_TIMEOUT_S = 30.0
_CONTROL_TIMEOUT_S = 5.0
_FIRST_ENTRY_HOST = 10
_FIRST_UPSTREAM_HOST = 100


class ExperimentError(AlmondError):
    """A step of an experiment did not succeed."""

    code = "experiment"


class DeploymentPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to start.

    Parameters
    ----------
    note : ReleaseNote
        Applied first; instances get addresses of this run.
    entries : dict of str to int
        Number of entries in each zone.
    has_keepers : bool
        True to start a keeper beside each entry.
    own_process : tuple of str
        Upstreams that run in a process of their own, so that they can be killed.
    callers, sections : dict
        Settings of every entry beside the defaults: for its caller section,
        and whole sections.
    """

    note: ReleaseNote
    entries: dict[str, int] = msgspec.field(default_factory=lambda: {"a": 2, "b": 2, "c": 2})
    has_keepers: bool = True
    own_process: tuple[str, ...] = ()
    callers: dict[str, Any] = msgspec.field(default_factory=lambda: {"threads": 128})
    sections: dict[str, Any] = {}


class Deployment:
    """Starts the processes of a plan and plays faults on them.

    Parameters
    ----------
    plan : DeploymentPlan
        What to start.
    folder : pathlib.Path
        For settings, output and journals.
    group : ProcessGroup
        Starts and ends the processes.
    """

    def __init__(self, plan: DeploymentPlan, folder: Path, group: ProcessGroup) -> None:
        self._plan = plan
        self._folder = folder
        self._group = group
        self._network = loopback_host().rpartition(".")[0]
        self._note = self._with_own_addresses(plan.note)
        self._zones = {
            f"e-{zone}{number + 1}": zone
            for zone, count in plan.entries.items()
            for number in range(count)
        }
        self._revoked_s: dict[str, float] = {}
        (folder / "journals").mkdir()

    @property
    def note(self) -> ReleaseNote:
        """The release note with this run's addresses."""
        return self._note

    @property
    def log_address(self) -> str:
        """Address of the log stand-in."""
        return f"{self._network}.1:7001"

    @property
    def list_address(self) -> str:
        """Address of the instance list stand-in."""
        return f"{self._network}.1:7002"

    @property
    def entry_names(self) -> list[str]:
        """Names of the entries."""
        return list(self._zones)

    @property
    def entry_addresses(self) -> dict[str, list[str]]:
        """Callers' addresses of the entries of each zone."""
        by_zone: dict[str, list[str]] = {zone: [] for zone in self._plan.entries}
        for name, zone in self._zones.items():
            by_zone[zone].append(self.callers_address(name))
        return by_zone

    @property
    def rules(self) -> JudgeRules:
        """What the judge holds this deployment to."""
        added = self._note.added
        return JudgeRules(
            ceilings={team.name: team.ceiling for team in added.teams},
            budgets={pool.name: pool.min_serving for pool in added.pools},
            sizes={pool.name: pool.size for pool in added.pools},
            revoked_s=dict(self._revoked_s),
        )

    def callers_address(self, entry: str) -> str:
        """Return where an entry serves callers."""
        return f"{self._host_of(entry)}:7101"

    def peers_address(self, entry: str) -> str:
        """Return where an entry listens for its peers."""
        return f"{self._host_of(entry)}:7201"

    def start(self) -> None:
        """Start everything, apply the note and wait until every entry is ready."""
        self._start_standins()
        for name in self._zones:
            self.start_entry(name)
        self._apply_note()
        for name in self._zones:
            self.wait_until_serving(name)
        if self._plan.has_keepers:
            for name in self._zones:
                self.start_keeper(name)

    def start_entry(self, name: str) -> None:
        """Start one incarnation of an entry."""
        path = self._write_settings(name, self._entry_settings(name))
        self._group.start(name, "almondstack.entry.main", "--settings", path)

    def start_keeper(self, entry: str) -> None:
        """Start the keeper beside an entry."""
        name = f"keeper-{entry}"
        path = self._write_settings(name, self._keeper_settings(entry))
        self._group.start(name, "almondstack.keeper.main", "--settings", path)

    def wait_until_serving(self, entry: str) -> None:
        """Wait until an entry is ready for callers."""
        wait_until_ready(f"http://{self.callers_address(entry)}/readyz")

    def replace_entry(self, name: str) -> None:
        """Shut an entry down gracefully and start its successor."""
        self._group.terminate(name)
        self.start_entry(name)

    def kill_upstream(self, name: str) -> None:
        """Kill the process of an upstream that has one of its own."""
        self._group.kill(f"upstream-{name}")
        note_process_end(self._journal_path(name))

    def start_upstream(self, *names: str) -> None:
        """Start upstreams in one process."""
        addresses = {item.name: item.address for item in self._note.added.instances}
        process = f"upstream-{names[0]}" if len(names) == 1 else f"upstreams-{names[0]}"
        self._group.start(
            process,
            "almondstack.standin.main",
            "upstream",
            "--listen",
            *(addresses[name] for name in names),
            "--name",
            *names,
            "--journals",
            str(self._folder / "journals"),
        )

    def set_log_faults(self, faults: LogFaults) -> None:
        """Set the switches of the log stand-in."""
        _post_json(f"http://{self.log_address}/control/faults", faults)

    def set_upstream_faults(self, name: str, faults: msgspec.Struct) -> None:
        """Set the switches of an upstream stand-in."""
        addresses = {item.name: item.address for item in self._note.added.instances}
        _post_json(f"http://{addresses[name]}/control/faults", faults)

    def revoke_key(self, key_id: str) -> None:
        """Revoke a key through the log and note when."""
        session = OperatorSession(LogServiceSettings(address=self.log_address))
        session.catch_up()
        self._revoked_s[key_id] = time.monotonic()
        verdict = session.append(KeyRevoked(key_id), timeout_s=_CONTROL_TIMEOUT_S)
        if verdict is None or not verdict.is_accepted:
            raise ExperimentError(f"key {key_id} was not revoked")

    def journals(self) -> dict[str, list[Event]]:
        """Return the events of each stand-in by its name."""
        paths = (self._folder / "journals").glob("*.journal")
        return {path.stem: read_journal(path) for path in paths}

    def status(self, entry: str) -> dict[str, object]:
        """Return what ``/statusz`` of an entry shows."""
        url = f"http://{self.callers_address(entry)}/statusz"
        response = urllib3.PoolManager(retries=False).request("GET", url, timeout=2.0)
        return response.json()

    def _with_own_addresses(self, note: ReleaseNote) -> ReleaseNote:
        instances = tuple(
            msgspec.structs.replace(
                item, address=f"{self._network}.{_FIRST_UPSTREAM_HOST + number}:8000"
            )
            for number, item in enumerate(note.added.instances)
        )
        return msgspec.structs.replace(
            note, added=msgspec.structs.replace(note.added, instances=instances)
        )

    def _host_of(self, entry: str) -> str:
        number = list(self._zones).index(entry)
        return f"{self._network}.{_FIRST_ENTRY_HOST + number}"

    def _journal_path(self, name: str) -> Path:
        return self._folder / "journals" / f"{name}.journal"

    def _start_standins(self) -> None:
        standin = "almondstack.standin.main"
        self._group.start("log", standin, "log", "--listen", self.log_address)
        self._group.start("list", standin, "list", "--listen", self.list_address)
        by_zone: dict[str, list[str]] = {}
        for item in self._note.added.instances:
            if item.name in self._plan.own_process:
                self.start_upstream(item.name)
            else:
                by_zone.setdefault(item.zone, []).append(item.name)
        for names in by_zone.values():
            self.start_upstream(*names)
        wait_until_ready(f"http://{self.log_address}/v1/streams/fleet/bounds")
        wait_until_ready(f"http://{self.list_address}/v1/instances")
        for item in self._note.added.instances:
            wait_until_ready(f"http://{item.address}/control/state")
        _post_json(f"http://{self.list_address}/control/instances", self._listed())

    def _listed(self) -> list[ListedInstance]:
        upstreams = [
            ListedInstance(item.name, item.zone, item.rack, "upstream", item.address)
            for item in self._note.added.instances
        ]
        entries = [
            ListedInstance(
                name,
                zone,
                f"{zone}0",
                "entry",
                self.callers_address(name),
                self.peers_address(name),
            )
            for name, zone in self._zones.items()
        ]
        return [*upstreams, *entries]

    def _apply_note(self) -> None:
        path = self._folder / "note.json"
        path.write_bytes(msgspec.json.encode(self._note))
        self._group.start(
            "ctl", "almondstack.ctl.main", "--log", self.log_address, "apply", str(path)
        )
        if self._group.wait("ctl", _APPLY_TIMEOUT_S) != 0:
            raise ExperimentError(self._group.output("ctl"))

    def _write_settings(self, name: str, settings: dict[str, object]) -> str:
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return str(path)

    def _entry_settings(self, name: str) -> dict[str, object]:
        return {
            "node": self._node(name),
            "callers": {"listen": self.callers_address(name), **self._plan.callers},
            "log": {"address": self.log_address},
            "peer_listen": self.peers_address(name),
            **self._plan.sections,
        }

    def _keeper_settings(self, entry: str) -> dict[str, object]:
        return {"node": self._node(entry), "log": {"address": self.log_address}}

    def _node(self, entry: str) -> dict[str, str]:
        return {"deployment": "demo", "name": entry, "zone": self._zones[entry]}


def load_note(path: Path) -> ReleaseNote:
    """Read a release note.

    Raises
    ------
    CodecError
        The file is no release note.
    """
    return decode_json(path.read_bytes(), ReleaseNote)


def _post_json(url: str, value: object) -> None:
    response = urllib3.PoolManager(retries=False).request(
        "POST", url, body=msgspec.json.encode(value), timeout=_CONTROL_TIMEOUT_S
    )
    if response.status != 200:
        raise ExperimentError(f"{url}: status {response.status}")
