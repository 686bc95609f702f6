"""Starts and ends the processes of a demo or a benchmark.

Explanation
-----------
``almondstack-bench`` is the only program that may start others.  It ends only
processes that it started, by their process id.
"""

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import IO

import urllib3
from urllib3.exceptions import HTTPError

from almondstack.core import AlmondError

__all__ = ["ProcessGroup", "ProcessNotReadyError"]

_READY_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 15.0


class ProcessNotReadyError(AlmondError):
    """A started process did not become ready in time."""

    code = "process-not-ready"


class ProcessGroup:
    """Processes that end together.

    Parameters
    ----------
    folder : pathlib.Path
        Where their output goes.
    """

    __slots__ = ("_files", "_folder", "_processes")

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._files: list[IO[bytes]] = []

    def __enter__(self) -> "ProcessGroup":
        return self

    def __exit__(self, *_exc: object) -> None:
        self.end_all()

    def start(self, name: str, module: str, *arguments: str) -> None:
        """Start a module of the product as a process."""
        output = (self._folder / f"{name}.log").open("ab")
        self._files.append(output)
        command = [sys.executable, "-m", module, *arguments]
        self._processes[name] = subprocess.Popen(
            command, stdout=output, stderr=output, stdin=subprocess.DEVNULL
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._processes[name].send_signal(number)

    def wait(self, name: str, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Wait for the end of one process and return its exit code."""
        return self._processes.pop(name).wait(timeout_s)

    def end_all(self) -> None:
        """End every process that still runs."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        for process in self._processes.values():
            try:
                process.wait(_STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._processes.clear()
        for file in self._files:
            file.close()


def wait_until_ready(url: str, timeout_s: float = _READY_TIMEOUT_S) -> None:
    """Wait until a GET of ``url`` gives status 200.

    Raises
    ------
    ProcessNotReadyError
        It did not within ``timeout_s`` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    pool = urllib3.PoolManager(retries=False)
    while time.monotonic() < deadline_s:
        try:
            if pool.request("GET", url, timeout=1.0).status == 200:
                return
        except HTTPError:
            pass
        time.sleep(0.02)
    raise ProcessNotReadyError(url)
