"""Stand-in for the platform's lagging list of instances.

Explanation
-----------
``GET /v1/instances`` returns the list as it was ``lag_s`` seconds ago.
"""

import threading
import time
from typing import Any

import msgspec

from almondstack.provider import ListedInstance
from almondstack.standin.web import Reply, StandinApp, read_body

__all__ = ["InstanceListStandin", "ListFaults"]


class ListFaults(msgspec.Struct):
    """Injected faults of the list stand-in: an outage, and a lag in seconds."""

    is_down: bool = False
    lag_s: float = 0.0


class InstanceListStandin(StandinApp):
    """Keeps every version of the list and serves the version of ``lag_s`` seconds ago."""

    def __init__(self) -> None:
        self._faults = ListFaults()
        self._lock = threading.Lock()
        self._versions: list[tuple[float, tuple[ListedInstance, ...]]] = [(0.0, ())]

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        if path == "/control/faults":
            self._faults = msgspec.json.decode(read_body(environ), type=ListFaults)
            return Reply.of_json({})
        if path == "/control/instances":
            listed = msgspec.json.decode(read_body(environ), type=tuple[ListedInstance, ...])
            with self._lock:
                self._versions.append((time.monotonic(), listed))
            return Reply.of_json({})
        if self._faults.is_down:
            return Reply(503)
        return Reply.of_json(self._listed())

    def _listed(self) -> tuple[ListedInstance, ...]:
        as_of_s = time.monotonic() - self._faults.lag_s
        with self._lock:
            past = [listed for set_s, listed in self._versions if set_s <= as_of_s]
        return past[-1]
