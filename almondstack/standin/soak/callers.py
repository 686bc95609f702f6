"""Callers of the soak: they hand jobs in, ask for them and cancel some."""

import json
import random
import threading

import urllib3
from urllib3.exceptions import HTTPError

from almondstack.jobs import Step, Submission
from almondstack.standin.soak.judge import SoakJudge
from almondstack.standin.soak.surroundings import ACCOUNT, HOST, KEY, PREFIX

__all__ = ["SoakCaller"]

_TIMEOUT_S = 3.0
_DEADLINE_MS = 3_000
_TRIES = 4
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
    """One caller, which keeps its connections until their process is gone.

    Parameters
    ----------
    seed : int
        Seeds what it does.
    fronts : list of str
        Addresses of the processes.
    judge : SoakJudge
        Is told of each attempt and its answer.
    """

    def __init__(self, seed: int, fronts: list[str], judge: SoakJudge) -> None:
        self.jobs: list[str] = []
        self._random = random.Random(seed)
        self._fronts = fronts
        self._judge = judge
        self._pool = urllib3.PoolManager(retries=False, maxsize=1)
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="caller", daemon=True)

    def start(self) -> None:
        """Start to call."""
        self._thread.start()

    def stop(self) -> None:
        """Hand in no more, and wait for the present call."""
        self._stop.set()
        self._thread.join()

    def shown(self, front: str, job: str) -> str | None:
        """Return the state that a process shows; None if it shows none."""
        answer = self._call(front, "GET", job)
        if answer is None or answer[0] != _ACCEPTED:
            return None
        state = str(json.loads(answer[1])["state"])
        self._judge.note_shown(job, state)
        return state

    def _run(self) -> None:
        while not self._stop.wait(_PAUSE_S * self._random.random()):
            self._hand_in()
            if self.jobs:
                job = self._random.choice(self.jobs)
                self.shown(self._random.choice(self._fronts), job)
                if self._random.random() < _CANCELLED_SHARE:
                    self._cancel(job)

    def _hand_in(self) -> None:
        job = f"{self._random.getrandbits(64):016x}"
        shape = self._random.choice(_SHAPES)
        submission = _submission(job, shape)
        body = json.dumps({"spec": submission.spec, "steps": shape})
        for _ in range(_TRIES):
            self._judge.note_attempt(job, submission)
            answer = self._call(self._random.choice(self._fronts), "POST", job, body)
            if answer is not None and answer[0] == _ACCEPTED:
                self._judge.note_accepted(job)
                self.jobs.append(job)
                return
            if answer is not None and answer[0] in _REFUSED:
                self._judge.note_refused(job)
            else:
                self._judge.note_unclear(job)
            if self._stop.wait(_PAUSE_S):
                return

    def _cancel(self, job: str) -> None:
        oracle = self._judge.oracle
        with self._judge.lock:
            # It may take effect from now on, whatever its caller hears.
            oracle.cancelled_s.setdefault(job, float("inf"))
        self._call(self._random.choice(self._fronts), "DELETE", job)

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
