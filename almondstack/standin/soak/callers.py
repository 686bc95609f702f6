"""Callers of the soak test, which submit jobs, read their states and cancel some."""

import json
import random
import threading

import urllib3
from urllib3.exceptions import HTTPError

from almondstack.jobs import Step, Submission
from almondstack.standin.soak.checker import SoakChecker
from almondstack.standin.soak.environment import ACCOUNT, HOST, KEY, PREFIX

__all__ = ["SoakCaller"]

_TIMEOUT_S = 3.0
_DEADLINE_MS = 3_000
_MAX_ATTEMPTS = 4
_PAUSE_S = 0.4
_CANCELLED_SHARE = 0.1
_STEP: dict[str, object] = {"cpu": 1_000, "estimate-ms": 400}
_SHAPES: tuple[list[dict[str, object]], ...] = (
    [{"count": 2, **_STEP}],
    [{"count": 1, **_STEP}, {"count": 2, "after": [0], **_STEP}],
    [{"count": 3, **_STEP}],
)
_ACCEPTED, _GONE = 200, 410
_REFUSED = (429, 503)


class SoakCaller:
    """One caller thread, which reuses its connections until the process at their end exits.

    Parameters
    ----------
    seed : int
        Seed of the caller's random choices.
    front_addresses : list of str
        Addresses at which the processes accept calls.
    checker : SoakChecker
        Records each attempt and its outcome.
    """

    def __init__(self, seed: int, front_addresses: list[str], checker: SoakChecker) -> None:
        self.jobs: list[str] = []
        self._random = random.Random(seed)
        self._front_addresses = front_addresses
        self._checker = checker
        self._pool = urllib3.PoolManager(retries=False, maxsize=1)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="caller", daemon=True)

    def start(self) -> None:
        """Start the caller's thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current call, and wait for the thread to end."""
        self._stop.set()
        self._thread.join()

    def job_state(self, front: str, job: str) -> str | None:
        """Return the state that a process reports for a job; None if it reports none."""
        answer = self._call(front, "GET", job)
        if answer is None or answer[0] != _ACCEPTED:
            return None
        state = str(json.loads(answer[1])["state"])
        self._checker.record_shown_state(job, state)
        return state

    def _run(self) -> None:
        while not self._stop.wait(_PAUSE_S * self._random.random()):
            self._submit_job()
            if self.jobs:
                job = self._random.choice(self.jobs)
                self.job_state(self._random.choice(self._front_addresses), job)
                if self._random.random() < _CANCELLED_SHARE:
                    self._cancel(job)

    def _submit_job(self) -> None:
        job = f"{self._random.getrandbits(64):016x}"
        shape = self._random.choice(_SHAPES)
        submission = _submission(job, shape)
        body = json.dumps({"spec": submission.spec, "steps": shape})
        for _ in range(_MAX_ATTEMPTS):
            self._checker.record_attempt(job, submission)
            answer = self._call(self._random.choice(self._front_addresses), "POST", job, body)
            if answer is not None and answer[0] == _ACCEPTED:
                self._checker.record_acceptance(job)
                self.jobs.append(job)
                return
            if answer is not None and answer[0] in _REFUSED:
                self._checker.record_refusal(job)
            else:
                self._checker.record_unclear(job)
            if self._stop.wait(_PAUSE_S):
                return

    def _cancel(self, job: str) -> None:
        oracle = self._checker.oracle
        with self._checker.lock:
            # The cancel may take effect from now on, whatever its response.
            oracle.cancelled_s.setdefault(job, float("inf"))
        self._call(self._random.choice(self._front_addresses), "DELETE", job)

    def _call(
        self, front: str, method: str, job: str, body: str | None = None
    ) -> tuple[int, bytes] | None:
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Request-Deadline": str(_DEADLINE_MS),
        }
        url = f"http://{front}{PREFIX}{job}"
        try:
            response = self._pool.request(
                method, url, body=body, headers=headers, timeout=_TIMEOUT_S
            )
        except HTTPError:
            return None
        return response.status, response.data


def _submission(job: str, shape: list[dict[str, object]]) -> Submission:
    steps = tuple(
        Step(count=int(str(step["count"])), cpu_millis=1_000, after=_after(step)) for step in shape
    )
    return Submission("q", ACCOUNT, f"spec {job}", steps)


def _after(step: dict[str, object]) -> tuple[int, ...]:
    after = step.get("after", [])
    return tuple(after) if isinstance(after, list) else ()
