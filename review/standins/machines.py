"""Stand-in of the machine service, after 'Machines' of PROTOCOL."""

import json
import threading
import time
from collections.abc import Callable
from typing import Any

from almondstack.standin.web import Reply, StandinApp, read_body
from standins.record import Record
from standins.worker import Worker

__all__ = ["Machine", "MachineService"]


class Machine:
    """A machine with its worker; ``upkeep_s`` is when the upkeep of each wave began."""

    def __init__(self, name: str, pool: str, zone: str, rack: str, worker: Worker) -> None:
        self.name = name
        self.pool = pool
        self.zone = zone
        self.rack = rack
        self.worker = worker
        self.state = "up"
        self.upkeep_s: dict[int, float] = {}


class MachineService(StandinApp):
    """Lists the machines and carries out upkeep for the waves that the operator has asked for.

    Moves are answered with ``busy``: the plays have one service, so that none is due.

    Attributes
    ----------
    is_unavailable : bool
        Whether each call gets 503.
    """

    def __init__(
        self, record: Record, maintenance_s: float, replace_worker: Callable[[Machine], None]
    ) -> None:
        self.machines: list[Machine] = []
        self.waves: dict[int, list[str]] = {}
        self.is_unavailable = False
        self._record = record
        self._maintenance_s = maintenance_s
        self._replace_worker = replace_worker
        self._tokens: dict[str, int] = {}
        self._lock = threading.RLock()

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        content = read_body(environ)
        if self.is_unavailable:
            self._record.add("machines-unavailable", path=path)
            return Reply(503)
        with self._lock:
            if method == "GET":
                return Reply.of_json(
                    {"machines": list(map(_row, self.machines)), "next-token": None}
                )
            return self._order(path, json.loads(content), int(environ["HTTP_X_FENCING_TOKEN"]))

    def _order(self, path: str, body: dict[str, Any], token: int) -> Reply:
        name = body["machine"]
        machine = next((item for item in self.machines if item.name == name), None)
        if machine is None:
            return Reply(400)
        if token < self._tokens.get(name, 0):
            return _conflict("fence")
        self._tokens[name] = token
        if path != "/almondstack/machine-upkeep":
            return _conflict("busy")
        wave = body["wave"]
        if name not in self.waves.get(wave, ()):
            return _conflict("wave")
        if wave in machine.upkeep_s:
            return Reply.of_json({})
        if machine.state != "up":
            return _conflict("busy")
        machine.upkeep_s[wave] = self._record.add("upkeep", machine=name, wave=wave, token=token)
        machine.state = "upkeep"
        machine.worker.end_all()
        threading.Thread(target=self._maintain, args=(machine,), daemon=True).start()
        return Reply.of_json({})

    def _maintain(self, machine: Machine) -> None:
        time.sleep(self._maintenance_s)
        with self._lock:
            self._replace_worker(machine)
            machine.state = "up"


def _row(machine: Machine) -> dict[str, Any]:
    return {
        "machine": machine.name,
        "pool": machine.pool,
        "state": machine.state,
        "zone": machine.zone,
        "labels": ["a", machine.rack],
        "capacity": {"cpu": machine.worker.cpu, "mem-mb": machine.worker.mem_mb, "gpus": 0},
        "id": machine.worker.id,
    }


def _conflict(reason: str) -> Reply:
    return Reply(409, json.dumps({"reason": reason}).encode(), "application/json")
