"""External systems of the soak test: store, workers and instance service."""

import json
import random
import threading
import time
from typing import Any

from almondstack.standin.keyed_store import KeyedStoreStandin
from almondstack.standin.soak.checker import RealClock, SoakChecker
from almondstack.standin.soak.proxy import LoopbackProxy
from almondstack.standin.soak.workers import SoakWorker
from almondstack.standin.web import Reply, StandinApp, serve
from almondstack.testing.addresses import loopback_host

__all__ = ["ACCOUNT", "HOST", "KEY", "MAX_ATTEMPTS", "PREFIX", "SoakEnvironment"]

ACCOUNT, KEY = "a", "soak-key"
HOST, PREFIX = "jobs.example", "/soak/"
MAX_ATTEMPTS = 8
_CEILING_MILLIS = 3_000
"""Ceiling of the account for each worker: three quarters of what they have."""

_TICK_S = 0.02
_HEARTBEAT_S = 0.5
_STORE_THREADS, _WORKER_THREADS = 96, 24
_STORE_PORT, _INSTANCES_PORT, _WORKERS_PORT = 8101, 8102, 8200


class _InstanceService(StandinApp):
    """Instance service that lists one instance per worker and refuses moves as busy."""

    def __init__(self, workers: list[SoakWorker]) -> None:
        self._workers = workers

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        if method != "GET":
            return Reply(409, b'{"reason":"busy"}', "application/json")
        machines = [
            {
                "machine": f"m-{worker.worker.id}",
                "pool": "p",
                "state": "up",
                "zone": "a",
                "labels": ["a", "r1"],
                "capacity": {"cpu": 4_000, "mem-mb": 64_000},
                "id": worker.worker.id,
            }
            for worker in self._workers
        ]
        return Reply.of_json({"machines": machines})


_CLOCK_RATES = (0.98, 1.0)
"""Rates of the workers' clocks, in turn; the platform allows a clock to be 2 % slow."""

_MAX_UNIX_OFFSET_S = 2.0
"""Largest difference of a worker's time of day from that of the processes, in seconds."""

_LONG_SHARE = 0.4
"""Share of long runs in plays with rebirths."""

_FIRST_AGE_S = 120.0
"""Age of the workers at the start of plays with rebirths, in seconds: a deadline by the clock of
such a life lies far ahead of that of the next one."""

_FOREIGN_ENTRY = {
    "service": "p",
    "address": "127.0.0.9",
    "state": "ready",
    "capacity": {"cpu": 12_000, "mem-mb": 49_152, "gpus": 0},
}
"""An entry of another writer among the workers: fields are missing, and nothing listens there."""


class SoakEnvironment:
    """Serves the external systems on loopback and drives their clock.

    Parameters
    ----------
    seed : int
        Base of the workers' seeds.
    workers, processes : int
        Number of workers, and of processes of the product.
    has_foreign_entry : bool
        Whether an entry of another writer stands among the workers.
    has_rebirths : bool
        Whether the workers have long runs and times of day of their own.
    """

    def __init__(
        self,
        seed: int,
        workers: int,
        processes: int,
        *,
        has_foreign_entry: bool = True,
        has_rebirths: bool = False,
    ) -> None:
        self._has_foreign_entry = has_foreign_entry
        self.host = loopback_host()
        self.checker = SoakChecker({ACCOUNT: _CEILING_MILLIS * workers}, MAX_ATTEMPTS)
        self.store = KeyedStoreStandin()
        max_offset_s = _MAX_UNIX_OFFSET_S if has_rebirths else 0.0
        offsets = random.Random(seed)
        self._clocks = [
            RealClock(offsets.uniform(-max_offset_s, max_offset_s)) for _ in range(workers)
        ]
        self.workers = [
            SoakWorker(
                f"w-{number}",
                self.checker,
                clock,
                seed + number,
                _CLOCK_RATES[number % len(_CLOCK_RATES)],
                _LONG_SHARE if has_rebirths else 0.0,
                _FIRST_AGE_S if has_rebirths else 0.0,
            )
            for number, clock in enumerate(self._clocks)
        ]
        self._servers = [serve(self.store, f"{self.host}:{_STORE_PORT}", _STORE_THREADS)]
        instances = _InstanceService(self.workers)
        self._servers.append(serve(instances, f"{self.host}:{_INSTANCES_PORT}", 8))
        self.worker_links = []
        for number, worker in enumerate(self.workers):
            address = f"{self.host}:{_WORKERS_PORT + number}"
            self._servers.append(serve(worker, address, _WORKER_THREADS))
            self.worker_links.append(LoopbackProxy(address, self.host))
        store = f"{self.host}:{_STORE_PORT}"
        self.store_links = [LoopbackProxy(store, self.host) for _ in range(processes)]
        self._stop = threading.Event()
        self._checked_records = 0

    @property
    def instances_address(self) -> str:
        """Address of the instance service."""
        return f"{self.host}:{_INSTANCES_PORT}"

    def start(self) -> None:
        """Write the configuration and start the servers and the clock."""
        configuration = _configuration(_CEILING_MILLIS * len(self.workers))
        self.store.put("keyed.op", "config", configuration)
        if self._has_foreign_entry:
            self.store.put("keyed.servers", "old-batch-7", json.dumps(_FOREIGN_ENTRY).encode())
        for server in self._servers:
            threading.Thread(target=server.serve, daemon=True).start()
        threading.Thread(target=self._run_clock, name="time", daemon=True).start()

    def close(self) -> None:
        """Stop the clock, the links and the servers."""
        self._stop.set()
        for link in [*self.store_links, *self.worker_links]:
            link.close()
        for server in self._servers:
            server.stop()

    def _run_clock(self) -> None:
        registered_s = 0.0
        while not self._stop.wait(_TICK_S):
            self.checker.check(self._tick)
            if time.monotonic() - registered_s >= _HEARTBEAT_S:
                registered_s = time.monotonic()
                self._register_workers()

    def _tick(self) -> None:
        for clock in self._clocks:
            clock.tick()
        for worker in self.workers:
            worker.carry_out_late_calls()
            worker.end_runs()
        records = self.store.records("keyed.work")
        for key, value in records[self._checked_records :]:
            self._checked_records += 1
            self.checker.oracle.judge_record(key, value)

    def _register_workers(self) -> None:
        for worker, link in zip(self.workers, self.worker_links, strict=True):
            worker.sequence += 1
            content = {
                "service": "p",
                "address": link.address,
                "state": "ready",
                "zone": "a",
                "version": "v1",
                "slots": 8,
                "cold-left-ms": 0,
                "labels": ["a", "r1"],
                "capacity": {"cpu": 4_000, "mem-mb": 64_000, "gpus": 0},
                "clock-ms": worker.worker.clock_ms,
                "born": worker.worker.life,
                "sequence": worker.sequence,
            }
            self.store.put("keyed.servers", worker.worker.id, json.dumps(content).encode())


def _configuration(ceiling_millis: int) -> bytes:
    route = {
        "name": "q",
        "host": HOST,
        "path-prefix": PREFIX,
        "service": "p",
        "timeout-ms": 3_000,
        "target-latency-ms": 60_000,
        "max-attempts": MAX_ATTEMPTS,
        "stretch": 2.0,
    }
    account = {"name": ACCOUNT, "api-keys": [KEY], "maximum": {"cpu": ceiling_millis}}
    content = {"version": 1, "routes": [route], "services": [{"name": "p"}], "tenants": [account]}
    return json.dumps(content).encode()
