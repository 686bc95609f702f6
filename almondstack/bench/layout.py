"""Names, addresses and settings of a deployment on loopback.

Explanation
-----------
Sockets use addresses of 127.0.0.0/8 that are derived from the process id of
the benchmark, so that concurrent runs on one machine do not share addresses.
A shared upstream process answers at fixed addresses instead, on a port that is
derived from the process id.
"""

import os
from pathlib import Path
from typing import Any

import msgspec

from almondstack.core import decode_json
from almondstack.model import ReleaseNote
from almondstack.provider import ListedInstance
from almondstack.standin.platform_fleet import FleetSetup, Machine
from almondstack.standin.platform_recount import PoolBudget
from almondstack.testing.addresses import loopback_host

__all__ = ["DeploymentPlan", "Layout", "load_note"]

_FIRST_ENTRY_HOST = 10
_FIRST_UPSTREAM_HOST = 100
_FIRST_SHARED_PORT = 20_000
_SHARED_PORTS = 10_000
_SHARED_NETWORK = 240


class DeploymentPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Processes and settings of a deployment.

    Parameters
    ----------
    note : ReleaseNote
        Release note to apply; its instances get the addresses of this run.
    entries : dict of str to int
        Number of entries in each zone.
    keepers : int
        Number of keepers in each zone, each beside one of the first entries.
    own_process : tuple of str
        Upstreams that run in a separate process each, so that they can be killed.
    has_shared_upstream : bool
        True if one stand-in process answers at the addresses of all upstreams.
    callers, sections : dict
        Settings of every entry that override the defaults: keys of its
        ``callers`` section, and complete sections.
    keeper_sections : dict
        Settings of every keeper that override the defaults.
    """

    note: ReleaseNote
    entries: dict[str, int] = msgspec.field(default_factory=lambda: {"a": 2, "b": 2, "c": 2})
    keepers: int = 1
    own_process: tuple[str, ...] = ()
    has_shared_upstream: bool = False
    callers: dict[str, Any] = msgspec.field(default_factory=lambda: {"threads": 512})
    sections: dict[str, Any] = {}
    keeper_sections: dict[str, Any] = {}


class Layout:
    """Computes the names, addresses and settings of the processes of a plan.

    Parameters
    ----------
    plan : DeploymentPlan
        Plan of the deployment.
    """

    __slots__ = ("_network", "_note", "_plan", "_zones")

    def __init__(self, plan: DeploymentPlan) -> None:
        self._plan = plan
        self._network = loopback_host().rpartition(".")[0]
        self._note = self._with_own_addresses(plan.note)
        self._zones = {
            f"e-{zone}{number + 1}": zone
            for zone, count in plan.entries.items()
            for number in range(count)
        }

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
    def platform_address(self) -> str:
        """Address of the platform stand-in."""
        return f"{self._network}.1:7003"

    @property
    def entry_names(self) -> list[str]:
        """Names of the entries."""
        return list(self._zones)

    @property
    def keeper_names(self) -> list[str]:
        """Names of the entries that have a keeper beside them."""
        return [name for name in self._zones if int(name.lstrip("e-abc")) <= self._plan.keepers]

    @property
    def entry_addresses(self) -> dict[str, list[str]]:
        """Addresses at which the entries of each zone serve callers."""
        by_zone: dict[str, list[str]] = {zone: [] for zone in self._plan.entries}
        for name, zone in self._zones.items():
            by_zone[zone].append(self.callers_address(name))
        return by_zone

    def zone_of(self, entry: str) -> str:
        """Return the zone of an entry."""
        return self._zones[entry]

    def callers_address(self, entry: str) -> str:
        """Return the address at which an entry serves callers."""
        return f"{self._host_of(entry)}:7101"

    def peers_address(self, entry: str) -> str:
        """Return the address at which an entry listens for its peers."""
        return f"{self._host_of(entry)}:7201"

    def keeper_address(self, entry: str) -> str:
        """Return the status address of the keeper beside an entry."""
        return f"{self._host_of(entry)}:7301"

    def upstream_address(self, name: str) -> str:
        """Return the address of an upstream."""
        return {item.name: item.address for item in self._note.added.instances}[name]

    def entry_settings(self, name: str) -> dict[str, Any]:
        """Return the settings of an entry."""
        return {
            "node": self._node(name),
            "callers": {"listen": self.callers_address(name), **self._plan.callers},
            "log": {"address": self.log_address},
            "peer_listen": self.peers_address(name),
            "instance_list": self.list_address,
            **self._plan.sections,
        }

    def keeper_settings(self, entry: str) -> dict[str, Any]:
        """Return the settings of the keeper beside an entry."""
        return {
            "node": self._node(entry),
            "log": {"address": self.log_address},
            "platform": {"address": self.platform_address, "list_address": self.list_address},
            "status_listen": self.keeper_address(entry),
            "round_s": 1.0,
            **self._plan.keeper_sections,
        }

    def listed_instances(self) -> list[ListedInstance]:
        """Return the upstreams and entries for the stand-in of the instance list."""
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

    def fleet_setup(self) -> FleetSetup:
        """Return the pools and instances for the platform stand-in."""
        added = self._note.added
        budgets = [PoolBudget(name=pool.name, min_serving=pool.min_serving) for pool in added.pools]
        instances = [
            Machine(
                name=item.name,
                pool=item.pool,
                zone=item.zone,
                rack=item.rack,
                address=item.address,
            )
            for item in added.instances
        ]
        return FleetSetup(pools=tuple(budgets), instances=tuple(instances))

    @property
    def shared_upstream_address(self) -> str:
        """Listen address of the process that stands in for all upstreams."""
        return f"0.0.0.0:{_FIRST_SHARED_PORT + os.getpid() % _SHARED_PORTS}"

    def _with_own_addresses(self, note: ReleaseNote) -> ReleaseNote:
        instances = tuple(
            msgspec.structs.replace(item, address=self._address_of(number))
            for number, item in enumerate(note.added.instances)
        )
        added = msgspec.structs.replace(note.added, instances=instances)
        return msgspec.structs.replace(note, added=added)

    def _address_of(self, number: int) -> str:
        if not self._plan.has_shared_upstream:
            return f"{self._network}.{_FIRST_UPSTREAM_HOST + number}:8000"
        port = self.shared_upstream_address.rpartition(":")[2]
        return f"127.{_SHARED_NETWORK + number // 200}.1.{number % 200 + 1}:{port}"

    def _host_of(self, entry: str) -> str:
        number = list(self._zones).index(entry)
        return f"{self._network}.{_FIRST_ENTRY_HOST + number}"

    def _node(self, entry: str) -> dict[str, str]:
        return {"deployment": "demo", "name": entry, "zone": self._zones[entry]}


def load_note(path: Path) -> ReleaseNote:
    """Read a release note from a JSON file.

    Raises
    ------
    CodecError
        The file is not a valid release note.
    """
    return decode_json(path.read_bytes(), ReleaseNote)
