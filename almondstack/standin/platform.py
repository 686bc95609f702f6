"""Stand-in for the platform's control service.

Explanation
-----------
``PUT /v1/acts/ID`` executes an act once and ``GET /v1/acts/ID`` returns its status;
``GET /v1/usage`` and ``GET /v1/tasks`` return usage reports and tasks.
``POST /control/fleet`` sets instances and budgets, ``POST /control/faults`` sets
:class:`PlatformFaults`, and ``GET /control/recount`` returns the number of available
instances per pool, counted from the acts alone, and every act that broke a rule.
"""

import contextlib
import threading
import time
from typing import Any

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from almondstack.provider import Act, ActKind, LeaseRenewal
from almondstack.standin.platform_fleet import FleetFaults, FleetSetup, Machine, PlatformFleet
from almondstack.standin.platform_recount import Recount
from almondstack.standin.web import Reply, StandinApp, drop_connection, read_body

__all__ = ["PlatformFaults", "PlatformStandin"]

_CALL_TIMEOUT_S = 2.0


class PlatformFaults(msgspec.Struct, kw_only=True):
    """Injected faults of the platform stand-in.

    Parameters
    ----------
    is_down : bool
        Answer every call with 503.
    delay_s : float
        Delay before a call is processed, in seconds.
    drop_replies : int
        Number of following acts that are executed but whose connection is closed
        without a response.
    fleet : FleetFaults
        Faults and durations of the instances.
    """

    is_down: bool = False
    delay_s: float = 0.0
    drop_replies: int = 0
    fleet: FleetFaults = msgspec.field(default_factory=FleetFaults)


class PlatformStandin(StandinApp):
    """Serves a :class:`PlatformFleet` over HTTP.

    Parameters
    ----------
    grace_s : float
        Time in seconds after an instance's failure in which the instance still counts as
        available when an act is checked against the budget.
    """

    def __init__(self, grace_s: float = 5.0) -> None:
        self._lock = threading.RLock()
        self._faults = PlatformFaults()
        self._recount = Recount(grace_s)
        self._fleet = PlatformFleet(time.monotonic, self._recount, self._read_running)
        self._leases: dict[str, str] = {}
        self._pool = urllib3.PoolManager(retries=False)

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        parts = path.strip("/").split("/")
        if parts[0] == "control":
            return self._control(parts[-1], environ)
        time.sleep(self._faults.delay_s)
        if self._faults.is_down:
            return Reply(503)
        with self._lock:
            return self._serve(method, parts, environ)

    def _serve(self, method: str, parts: list[str], environ: Any) -> Reply:
        if parts[1] == "usage":
            return Reply.of_json(self._fleet.usage())
        if parts[1] == "tasks":
            return Reply.of_json(tuple(self._fleet.tasks.values()))
        if parts[1] == "leases":
            return self._renew_lease(parts[2], environ)
        if parts[1] != "acts" or len(parts) != 3:
            return Reply(404)
        if method == "PUT":
            return self._accept_act(msgspec.json.decode(read_body(environ), type=Act))
        status = self._fleet.status(parts[2])
        return Reply.of_json(status) if status is not None else Reply(404)

    def _accept_act(self, act: Act) -> Reply:
        status = self._fleet.status(act.id)
        if status is None:
            if self._fleet.is_superseded(act):
                return Reply(409)
            if self._fleet.is_expired(act):
                return Reply(410)
            status = self._fleet.execute(act)
            self._forward_to_upstream(act)
        if self._faults.drop_replies > 0:
            self._faults.drop_replies -= 1
            drop_connection()
        return Reply.of_json(status)

    def _renew_lease(self, task: str, environ: Any) -> Reply:
        renewal = msgspec.json.decode(read_body(environ), type=LeaseRenewal)
        known = self._fleet.tasks.get(task)
        if known is None:
            return Reply(404)
        now_s = time.monotonic()
        is_held = known.lease_until_s > now_s
        if is_held and self._leases.get(task, renewal.holder) != renewal.holder:
            return Reply(409)
        self._leases[task] = renewal.holder
        renewed = msgspec.structs.replace(known, lease_until_s=now_s + renewal.duration_s)
        self._fleet.tasks[task] = renewed
        return Reply.of_json(renewed)

    def _control(self, resource: str, environ: Any) -> Reply:
        with self._lock:
            if resource == "fleet":
                setup = msgspec.json.decode(read_body(environ), type=FleetSetup)
                self._fleet.set_up(setup)
            if resource == "faults":
                self._set_faults(msgspec.json.decode(read_body(environ), type=PlatformFaults))
            reboots = {item.name: item.reboots for item in self._fleet.machines.values()}
            return Reply.of_json(
                {
                    "available": self._recount.counts(),
                    "violations": self._recount.violations,
                    "reboots": reboots,
                }
            )

    def _set_faults(self, faults: PlatformFaults) -> None:
        for name in set(faults.fleet.failed) - set(self._fleet.faults.failed):
            self._recount.fail(name, time.monotonic())
        for name in set(self._fleet.faults.failed) - set(faults.fleet.failed):
            self._recount.recover(name)
        self._faults = faults
        self._fleet.faults = faults.fleet

    def _forward_to_upstream(self, act: Act) -> None:
        machine = self._fleet.machines.get(act.target)
        if machine is None or not machine.address:
            return
        if act.kind in (ActKind.DRAIN, ActKind.RESUME):
            body = msgspec.json.encode({"is_draining": act.kind is ActKind.DRAIN})
            url = f"http://{machine.address}/control/faults"
            with contextlib.suppress(HTTPError):
                self._pool.request("POST", url, body=body, timeout=_CALL_TIMEOUT_S)

    def _read_running(self, machine: Machine) -> int | None:
        url = f"http://{machine.address}/control/runs"
        try:
            response = self._pool.request("GET", url, timeout=_CALL_TIMEOUT_S)
        except HTTPError:
            return None
        return sum(run["ended_s"] is None for run in response.json()["runs"])
