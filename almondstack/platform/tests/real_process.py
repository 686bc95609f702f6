"""One process of the program on loopback, with a stand-in of the store."""

import http.client
import os
import re
import signal
import threading
import time
from contextlib import contextmanager
from pathlib import Path

from almondstack.bench.processes import ProcessGroup
from almondstack.core import parse_address
from almondstack.platform.tests.builders import configuration_bytes, job_body, settings_text
from almondstack.standin.keyed_store import KeyedStoreStandin
from almondstack.standin.web import serve
from almondstack.testing.addresses import free_address, loopback_host

__all__ = ["RealProcess", "running_process"]

_NAME = "process"
_ANSWER_TIMEOUT_S = 25.0
_ATTEMPT_TIMEOUT_S = 10.0
_STOP_TIMEOUT_S = 60.0
_POLL_S = 0.05
_STORE_THREADS = 16
_KB = 1024
_HTTP_LIMITS = (
    "{max-connections: 64, header-timeout-ms: 1000, body-timeout-ms: 1500, max-held-kb: 2048}"
)
"""Limits lowered so that a small crowd meets them."""


class RealProcess:
    """Addresses and use of resources of one running process.

    Parameters
    ----------
    group : ProcessGroup
        Has started the process.
    ports : list of str
        Addresses for callers, readiness, metrics and other processes.
    """

    def __init__(self, group: ProcessGroup, ports: list[str]) -> None:
        self._group = group
        self.front, self.ready, self.metrics, self.relay = ports
        self._jobs = 0

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self._group.is_running(_NAME)

    @property
    def peak_mb(self) -> float:
        """Highest resident memory so far, in megabytes."""
        text = Path(f"/proc/{self._group.pid(_NAME)}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", text).group(1)) / _KB

    @property
    def descriptors(self) -> int:
        """Number of open file descriptors."""
        return len(os.listdir(f"/proc/{self._group.pid(_NAME)}/fd"))

    def stop(self) -> list[str]:
        """Stop the process with SIGTERM; return the log lines on its end."""
        self._group.signal(_NAME, signal.SIGTERM)
        self._group.wait(_NAME, _STOP_TIMEOUT_S)
        return [line for line in self._group.output(_NAME).splitlines() if '"stopped"' in line]

    def is_answered(self, address: str, status: int, **fields) -> bool:
        """Send one ordinary request until its answer has this status, or the time is over."""
        deadline_s = time.monotonic() + _ANSWER_TIMEOUT_S
        while self.is_alive and time.monotonic() < deadline_s:
            if self._status(address, **fields) == status:
                return True
            time.sleep(_POLL_S)
        return False

    def is_job_answered(self, status: int = 200) -> bool:
        """Submit one ordinary job until its answer has this status, or the time is over."""
        self._jobs += 1
        path = f"/q/{self._jobs:016x}"
        return self.is_answered(
            self.front,
            status,
            method="POST",
            url=path,
            body=job_body(),
            headers={"Host": "jobs.example", "Authorization": "Bearer k"},
        )

    def _status(self, address: str, method="GET", url="/", **fields) -> int:
        connection = http.client.HTTPConnection(*parse_address(address), timeout=_ATTEMPT_TIMEOUT_S)
        try:
            connection.request(method, url, **fields)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


@contextmanager
def running_process(
    folder,
    *,
    has_configuration=True,
    http_limits=_HTTP_LIMITS,
    max_descriptors=None,
    **configuration,
):
    """Start a process and yield it once it answers; it is killed at the end."""
    host = loopback_host()
    store = KeyedStoreStandin()
    if has_configuration:
        store.put("keyed.op", "config", configuration_bytes(**configuration))
    server = serve(store, free_address(), _STORE_THREADS)
    threading.Thread(target=server.serve, daemon=True).start()
    front, ready, metrics = (free_address() for _ in range(3))
    metrics_port = parse_address(metrics)[1]
    path = folder / "settings.yaml"
    path.write_text(
        settings_text(
            store="{}:{}".format(*server.bind_addr),
            ip=host,
            listen=f'{{front: "{front}", ready: "{ready}"}}',
            **{
                "port-range": f"[{metrics_port}, {metrics_port + 1}]",
                "cloud-api": f'{{address: "{free_address()}"}}',
                "http-limits": http_limits,
            },
        )
    )
    with ProcessGroup(folder) as group:
        command = ["almondstack.platform", "--settings", str(path)]
        if max_descriptors is not None:
            command = ["almondstack.testing.limited_descriptors", str(max_descriptors), *command]
        group.start(_NAME, *command)
        process = RealProcess(group, [front, ready, metrics, f"{host}:{metrics_port + 1}"])
        assert process.is_job_answered(200 if has_configuration else 503)
        yield process
        if process.is_alive:
            group.signal(_NAME, signal.SIGKILL)
    server.stop()
