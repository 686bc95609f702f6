"""Decides on submissions in a process that can't reach the owner, by the last known state."""

import threading
import time

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.intake.rejections import report_rejection
from almondstack.jobs import JobIndex, Submission
from almondstack.placement import QueuePolicy
from almondstack.placement.admission import Decision, judge
from almondstack.placement.return_schedule import ReturnSchedule

__all__ = ["DirectAdmission"]


class DirectAdmission:
    """Judges submissions by the state in the owner's last notice, discounted by its age.

    Parameters
    ----------
    index : JobIndex
        Holds that state, and what all processes have stored since.
    events : EventLog
        Log of rejections.
    metrics : LocalMetrics
        Counters of rejections.
    """

    __slots__ = ("_index", "_lock", "_returns", "events", "metrics")

    def __init__(self, index: JobIndex, events: EventLog, metrics: LocalMetrics) -> None:
        self._index = index
        self.events = events
        self.metrics = metrics
        self._returns = ReturnSchedule()
        self._lock = threading.Lock()

    def decide(self, job: str, submission: Submission, policy: QueuePolicy) -> Decision:
        """Return the decision on a submission; called by the threads that serve callers."""
        account = submission.account
        now_s = time.monotonic()
        with self._lock:
            held_ms = self._returns.held_ms(account, job, now_s)
            decision = judge(self._index.admission, submission, policy, now_s, held_ms)
            return self._returns.reserve(account, job, decision, now_s)

    def report(
        self, job: str, submission: Submission, policy: QueuePolicy, decision: Decision
    ) -> None:
        """Log and count a rejection that its caller is told."""
        report_rejection(self, job, submission, policy, decision)

    def release(self, job: str, submission: Submission) -> None:
        """Give up a caller's place in the order of return once its job is stored."""
        with self._lock:
            self._returns.release(submission.account, job)
