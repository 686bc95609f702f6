"""Stand-in of the advice service, after 'Running tasks' of PROTOCOL."""

import hashlib
import json
import threading
import time
from typing import Any

from almondstack.standin.web import Reply, StandinApp, read_body
from standins.record import Record

__all__ = ["AdviceService"]

_MAX_WAITING = 32
_ALLOWED_SHARE = 0.7


class AdviceService(StandinApp):
    """Answers after ``decision-ms`` plus ``period-ms`` for each worker, one call after another.

    Parameters
    ----------
    record : Record
        Gets a line for each call.
    decision_ms, period_ms, valid_ms : int
        As in the configuration of the queue.
    """

    def __init__(self, record: Record, decision_ms: int, period_ms: int, valid_ms: int) -> None:
        self.policy = {"decision-ms": decision_ms, "period-ms": period_ms, "valid-ms": valid_ms}
        self._record = record
        self._turn = threading.Lock()
        self._lock = threading.Lock()
        self._waiting = 0
        self._issued_s: dict[tuple[str, str], float] = {}

    def handle(self, method: str, path: str, query: dict[str, str], environ: Any) -> Reply:
        """Return the response to one request."""
        body = json.loads(read_body(environ))
        with self._lock:
            if self._waiting >= _MAX_WAITING:
                return Reply(429)
            self._waiting += 1
        try:
            with self._turn:
                count = len(body["workers"])
                time.sleep((self.policy["decision-ms"] + self.policy["period-ms"] * count) / 1000.0)
        finally:
            with self._lock:
                self._waiting -= 1
        step = body["step"]
        allowed = [worker for worker in body["workers"] if _is_allowed(step, worker)]
        now_s = time.monotonic()
        with self._lock:
            for worker in allowed:
                self._issued_s[step, worker] = now_s
        self._record.add("advice", step=step, workers=count, allowed=len(allowed))
        rows = [[worker, _ticket(step, worker)] for worker in allowed]
        return Reply.of_json({"allowed": rows, "valid-ms": self.policy["valid-ms"]})

    def is_valid(self, step: str, worker: str, ticket: str) -> bool:
        """Whether a start of a task of the step may use the ticket on the worker now."""
        with self._lock:
            issued_s = self._issued_s.get((step, worker))
        if issued_s is None or ticket != _ticket(step, worker):
            return False
        return time.monotonic() - issued_s <= self.policy["valid-ms"] / 1000.0


def _is_allowed(step: str, worker: str) -> bool:
    """Whether the policy allows a worker to run a step, which never changes."""
    digest = hashlib.sha256(f"{step} {worker}".encode()).digest()
    return digest[0] < 256 * _ALLOWED_SHARE


def _ticket(step: str, worker: str) -> str:
    return hashlib.sha256(f"ticket {step} {worker}".encode()).hexdigest()[:16]
