"""Checks of the soak test: events of callers, workers and the store against the job rules."""

import threading
import time
from collections.abc import Callable

from almondstack.jobs import JobState, Submission
from almondstack.jobs.names import parse_task_name
from almondstack.testing.owner_oracle import OwnerOracle, RuleBrokenError

__all__ = ["RealClock", "SoakChecker"]

_SHOWN_SLACK_S = 1.0
"""Time after a job was shown as completed in which a start may still be under way, in seconds."""


class RealClock:
    """Real time, with the interface of the clock of :mod:`almondstack.testing.owner_worker`.

    Attributes
    ----------
    listeners : list of callable
        Called in order by :meth:`tick`.

    Parameters
    ----------
    unix_offset_s : float
        Difference of its time of day from the real one, in seconds.
    """

    def __init__(self, unix_offset_s: float = 0.0) -> None:
        self.listeners: list[Callable[[], None]] = []
        self._unix_offset_s = unix_offset_s

    @property
    def now_s(self) -> float:
        """Monotonic time in seconds."""
        return time.monotonic()

    def time(self) -> float:
        """Time of day in Unix seconds."""
        return time.time() + self._unix_offset_s

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
    trace : list of dict
        Events at workers that the processes can't log, each with its Unix time.
    are_processes_undisturbed : bool
        Whether no fault is injected into the processes or their links to the store.
    """

    def __init__(self, ceilings: dict[str, int], max_attempts: int) -> None:
        self.trace: list[dict[str, object]] = []
        self.are_processes_undisturbed = False
        self._shown_completed_s: dict[str, float] = {}
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
                self.record_event("rule-broken", what=str(error))
                return None

    def record_event(self, event: str, **fields: object) -> None:
        """Append an event to :attr:`trace`."""
        with self.lock:
            self.trace.append({"t": round(time.time(), 3), "event": event, **fields})

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

    def check_start_after_completion(self, name: str) -> None:
        """Check a run that was started by a call in time: its job was not shown as completed.

        Explanation
        -----------
        The rule holds for processes that no fault disturbs, and from a second after the job
        was first shown; the ends of its tasks may have been forgotten with a lease.
        """
        with self.lock:
            shown_s = self._shown_completed_s.get(parse_task_name(name)[0], float("inf"))
            if self.are_processes_undisturbed and time.monotonic() > shown_s + _SHOWN_SLACK_S:
                self.broken.append(f"TWICE: {name} was started, its job was shown as completed")

    def record_shown_state(self, job: str, state: str) -> None:
        """Check a job state that a process reported: a completed job has run all of its tasks."""
        with self.lock:
            submission = self.oracle.submissions[job]
            if state != JobState.COMPLETED.name.lower():
                return
            self._shown_completed_s.setdefault(job, time.monotonic())
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
