"""Stand-in for an upstream instance: runs requests and remembers each run.

Explanation
-----------
The caller says in ``Standin-*`` headers how long a request takes and what the
answer looks like, and the stand-in keeps one :class:`Run` for each start.  The
judge compares these with what callers were told, independently of the entries.
"""

import threading
import time
from collections.abc import Iterable
from typing import Any

import msgspec

from almondstack.standin.web import Reply, StandinApp, StartResponse, read_body

__all__ = ["Run", "UpstreamFaults", "UpstreamStandin"]


class UpstreamFaults(msgspec.Struct):
    """Switches of the upstream stand-in.

    Parameters
    ----------
    fails_fast : bool
        Answer every request with status 503 at once.
    hangs : bool
        Accept requests and never answer.
    is_draining : bool
        Answer new requests with 503 and ``Almondstack-Draining: yes``.
    slow_factor : float
        Multiplies every run time.
    """

    fails_fast: bool = False
    hangs: bool = False
    is_draining: bool = False
    slow_factor: float = 1.0


class Run(msgspec.Struct):
    """One start of a request on an upstream.

    Parameters
    ----------
    work_id, team : str
        As the caller named them.
    started_s, ended_s : float
        Monotonic seconds; ``ended_s`` is None while it runs.
    """

    work_id: str
    team: str
    started_s: float
    ended_s: float | None = None


class UpstreamStandin(StandinApp):
    """Runs requests for as long as they ask.

    Parameters
    ----------
    name : str
        Name of the instance, sent back in each answer.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._faults = UpstreamFaults()
        self._runs: list[Run] = []
        self._lock = threading.Lock()
        self._running = 0
        self._peak_running = 0

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request by WSGI (PEP 3333)."""
        if environ["PATH_INFO"].startswith("/control/"):
            return super().__call__(environ, start_response)
        return self._serve_work(environ, start_response)

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Serve the control paths."""
        if path == "/control/faults" and method == "POST":
            self._faults = msgspec.json.decode(read_body(environ), type=UpstreamFaults)
        if path == "/control/runs":
            with self._lock:
                return Reply.of_json({"runs": self._runs, "peak_running": self._peak_running})
        return Reply.of_json({"name": self._name, "running": self._running})

    def _serve_work(self, environ: dict[str, Any], start_response: StartResponse) -> Any:
        if self._faults.is_draining or self._faults.fails_fast:
            headers = [("Content-Length", "0")]
            if self._faults.is_draining:
                headers.append(("Almondstack-Draining", "yes"))
            start_response("503 Service Unavailable", headers)
            return [b""]
        run = self._start_run(environ)
        body = read_body(environ)
        self._work(environ)
        self._end_run(run)
        answer = msgspec.json.encode(
            {"work_id": run.work_id, "upstream": self._name, "length": len(body)}
        )
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(answer)))]
        start_response("200 OK", headers)
        return [answer]

    def _work(self, environ: dict[str, Any]) -> None:
        if self._faults.hangs:
            time.sleep(3600)
        work_ms = float(environ.get("HTTP_STANDIN_WORK_MS", "0"))
        time.sleep(work_ms / 1000 * self._faults.slow_factor)

    def _start_run(self, environ: dict[str, Any]) -> Run:
        work_id = environ.get("HTTP_STANDIN_WORK_ID", "")
        team = environ.get("HTTP_STANDIN_TEAM", "")
        run = Run(work_id, team, time.monotonic())
        with self._lock:
            self._runs.append(run)
            self._running += 1
            self._peak_running = max(self._peak_running, self._running)
        return run

    def _end_run(self, run: Run) -> None:
        run.ended_s = time.monotonic()
        with self._lock:
            self._running -= 1
