"""Simulation of accounts that compete for a short fleet: who is accepted, and when it ends.

Explanation
-----------
Submissions are handled by the owner's :class:`~almondstack.control.request_handler.RequestHandler`,
whose records are taken as stored at once.  The flooding account's accepted work drains in order
at the rate of its entitlement; that of the light accounts does not wait.
"""

from collections.abc import Callable
from typing import NamedTuple, cast
from unittest import mock

from almondstack.control import request_handler
from almondstack.control.planning import Planner
from almondstack.control.request_handler import RequestHandler
from almondstack.control.services import OwnerServices
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.intake import Receipt, SubmissionRequest, Verdict
from almondstack.jobs import JobIndex, Submission
from almondstack.jobs.admission_state import AdmissionState, core_ms, wait_key
from almondstack.placement import QueuePolicy
from almondstack.testing.job_builders import make_job, make_policy, make_step

__all__ = ["AdmissionLoad", "Call", "returns_when_told"]

ROUND_S = 0.1
"""Interval at which the owner computes the waits."""

_MS = 1000.0


class Call(NamedTuple):
    """One call: its job, account, time in seconds, number of earlier attempts, and receipt."""

    job: str
    account: str
    at_s: float
    attempt: int
    receipt: Receipt

    @property
    def is_accepted(self) -> bool:
        """Whether the job is stored."""
        return self.receipt.verdict is Verdict.DONE

    @property
    def told_s(self) -> float:
        """Time at which its caller was told to return."""
        return self.at_s + self.receipt.retry_s


def returns_when_told(call: Call) -> float | None:
    """Return when a caller that goes by ``Retry-After`` comes back."""
    return call.told_s


class _Services:
    """The owner's services that handling a submission needs; all of the log has been read."""

    def __init__(self) -> None:
        self.index = JobIndex()
        self.events = EventLog("load")
        self.metrics = LocalMetrics()

    def read_offset(self) -> int:
        """Return the offset up to which the log has been read."""
        return 0


class _OneQueue:
    """A planner with one queue."""

    def policy_of(self, _submission: Submission) -> QueuePolicy:
        """Return the policy of the queue."""
        return make_policy()


class _Clock:
    """Monotonic clock that shows the time of a load."""

    def __init__(self, load: "AdmissionLoad") -> None:
        self._load = load

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self._load.now_s


class AdmissionLoad:
    """Submits a flood of one account beside the usual jobs of others, on a simulated clock.

    Parameters
    ----------
    entitled_millis : int
        Entitlement of the flooding account in thousandths of a core.
    comes_back_s : callable, optional
        Returns the time at which a rejected caller comes back, or None.

    Attributes
    ----------
    calls : list of Call
        All calls in order of time.
    ends_s : dict of str to float
        Time from the acceptance of a job of the flood to its end.
    """

    def __init__(
        self,
        entitled_millis: int = 4_000,
        comes_back_s: Callable[[Call], float | None] = returns_when_told,
    ) -> None:
        self.calls: list[Call] = []
        self.ends_s: dict[str, float] = {}
        self.now_s = 100.0
        self._handler = RequestHandler(cast(OwnerServices, _Services()), cast(Planner, _OneQueue()))
        self._entitled_millis = entitled_millis
        self._comes_back_s = comes_back_s
        self._returns: list[tuple[float, str, int]] = []
        self._work_ms = 0.0
        self._state = self.state()

    def state(self) -> AdmissionState:
        """Return the waits as the owner computes them now."""
        wait_ms = int(self._work_ms * _MS / self._entitled_millis) // 100 * 100
        waits_ms = {wait_key("p", "flood"): wait_ms, wait_key("p", "light"): 100}
        return AdmissionState(waits_ms, {"flood": self._entitled_millis})

    def play(self, seconds: float, flood_per_round: int) -> None:
        """Let time pass, with so many new jobs of the flood and one of a light account a round."""
        for _ in range(round(seconds / ROUND_S)):
            self.now_s += ROUND_S
            self._work_ms = max(0.0, self._work_ms - self._entitled_millis * ROUND_S)
            self._state = self.state()
            number = len(self.calls)
            self.call(f"light{number}", "light")
            for index in range(flood_per_round):
                self.call(f"flood{number}.{index}", "flood")
            # Those that return come last in a round, so that new calls are decided on first.
            due = [item for item in self._returns if item[0] <= self.now_s]
            self._returns = [item for item in self._returns if item[0] > self.now_s]
            for _, job, attempt in sorted(due):
                self.call(job, "flood", attempt)

    def call(self, job: str, account: str, attempt: int = 0) -> Call:
        """Submit a job of one task that takes a core for a second; it has 2 s to end."""
        submission = make_job(make_step(), account=account).submission
        call = Call(job, account, self.now_s, attempt, self._submit(job, submission))
        self.calls.append(call)
        if call.is_accepted and account == "flood":
            self._work_ms += core_ms(submission)
            self.ends_s[job] = max(1.0, self._work_ms / self._entitled_millis)
        if not call.is_accepted:
            back_s = self._comes_back_s(call)
            if back_s is not None:
                self._returns.append((back_s, job, attempt + 1))
        return call

    def _submit(self, job: str, submission: Submission) -> Receipt:
        request = SubmissionRequest(job, submission, read_offset=0)
        with mock.patch.object(request_handler, "time", _Clock(self)):
            self._handler.submit(request, self._state)
            self._handler.answer_stored(end_offset=0)
        receipt = request.receipt
        assert receipt is not None
        return receipt
