"""Simulation of accounts that compete for a short fleet: who is accepted, and when it ends.

Explanation
-----------
The judgement and the order of return are product code.  The flooding account's accepted work
drains in order at the rate of its entitlement; that of the light accounts does not wait.
"""

from collections.abc import Callable
from typing import NamedTuple

from almondstack.jobs import Submission
from almondstack.jobs.admission_state import AdmissionState, core_ms, wait_key
from almondstack.placement.admission import Decision, judge
from almondstack.placement.return_schedule import ReturnSchedule
from almondstack.testing.job_builders import make_job, make_policy, make_step

__all__ = ["AdmissionLoad", "Call", "returns_when_told"]

ROUND_S = 0.1
"""Interval at which the owner computes the waits."""

_MS = 1000.0


class Call(NamedTuple):
    """One call: its job, account, time in seconds, number of earlier attempts, and decision."""

    job: str
    account: str
    at_s: float
    attempt: int
    decision: Decision

    @property
    def told_s(self) -> float:
        """Time at which its caller was told to return."""
        return self.at_s + self.decision.retry_s


def returns_when_told(call: Call) -> float | None:
    """Return when a caller that goes by ``Retry-After`` comes back."""
    return call.told_s


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
        self.policy = make_policy()
        self.schedule = ReturnSchedule()
        self.now_s = 100.0
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
        call = Call(job, account, self.now_s, attempt, self._decide(job, submission))
        self.calls.append(call)
        if call.decision.is_accepted and account == "flood":
            self._work_ms += core_ms(submission)
            self.ends_s[job] = max(1.0, self._work_ms / self._entitled_millis)
        if not call.decision.is_accepted:
            back_s = self._comes_back_s(call)
            if back_s is not None:
                self._returns.append((back_s, job, attempt + 1))
        return call

    def _decide(self, job: str, submission: Submission) -> Decision:
        account = submission.account
        held_ms = self.schedule.held_ms(account, job, self.now_s)
        decision = judge(self._state, submission, self.policy, self.now_s, held_ms)
        if decision.is_accepted:
            self.schedule.release(account, job)
            self._state.note_accepted(submission)
        return self.schedule.reserve(account, job, decision, self.now_s)
