"""Checks of the soak test: events of callers, workers and the store against the job rules."""

import threading
import time
from collections.abc import Callable

from almondstack.jobs import JobState, Submission
from almondstack.testing.owner_oracle import OwnerOracle, RuleBrokenError

__all__ = ["RealClock", "SoakChecker"]


class RealClock:
    """Real time, with the interface of the clock of :mod:`almondstack.testing.owner_worker`.

    Attributes
    ----------
    listeners : list of callable
        Called in order by :meth:`tick`.
    """

    def __init__(self) -> None:
        self.listeners: list[Callable[[], None]] = []

    @property
    def now_s(self) -> float:
        """Monotonic time in seconds."""
        return time.monotonic()

    def time(self) -> float:
        """Time of day in Unix seconds."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        time.sleep(seconds)

    def tick(self) -> None:
        """Call the listeners, which act on the current time (such as the expiry of leases)."""
        for listener in self.listeners:
            listener()


class SoakChecker:
    """Thread-safe wrapper of :class:`OwnerOracle` that collects broken rules.

    Attributes
    ----------
    lock : threading.RLock
        Held while the oracle or a worker is read or changed.
    broken : list of str
        Broken rules, each with the observed values.
    """

    def __init__(self, ceilings: dict[str, int], max_attempts: int) -> None:
        self.lock = threading.RLock()
        self.oracle = OwnerOracle(ceilings, max_attempts)
        self.broken: list[str] = []
        self._unclear: set[str] = set()

    def check(self, call: Callable[[], object]) -> object:
        """Make a call under the lock and return its result, or None if it breaks a rule.

        The broken rule is appended to :attr:`broken`.
        """
        with self.lock:
            try:
                return call()
            except RuleBrokenError as error:
                self.broken.append(str(error))
                return None

    def record_attempt(self, job: str, submission: Submission) -> None:
        """Record that a caller is about to submit a job."""
        with self.lock:
            self.oracle.submissions.setdefault(job, submission)
            self.oracle.refused.discard(job)

    def record_acceptance(self, job: str) -> None:
        """Record that a caller received the acceptance of its job."""
        with self.lock:
            self.oracle.accepted.add(job)

    def record_refusal(self, job: str) -> None:
        """Record a refusal, after which the job must never run.

        A job stays allowed to run if another attempt was accepted or had an unclear outcome.
        """
        with self.lock:
            if job not in self._unclear and job not in self.oracle.accepted:
                self.oracle.refused.add(job)

    def record_unclear(self, job: str) -> None:
        """Record an attempt whose outcome the caller did not learn."""
        with self.lock:
            self._unclear.add(job)

    def record_shown_state(self, job: str, state: str) -> None:
        """Check a job state that a process reported: a completed job has run all of its tasks."""
        with self.lock:
            submission = self.oracle.submissions[job]
            if state != JobState.COMPLETED.name.lower():
                return
            names = [
                f"{job}.0.{number}.{member}"
                for number, step in enumerate(submission.steps)
                for member in range(step.count)
            ]
            missing = [name for name in names if name not in self.oracle.done_tasks]
            if missing:
                self.broken.append(
                    f"MIXED: {job} is reported as completed, but these tasks are not: {missing}"
                )
