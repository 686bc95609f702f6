"""Waits of new work, and accounts beyond their entitlement, as of one moment: for admission."""

import math
from collections.abc import Callable, Mapping, Sequence

from almondstack.jobs.model import Submission
from almondstack.jobs.records import OwnerNotice

__all__ = ["AdmissionState", "core_ms", "state_after", "wait_key"]

_MS_PER_S = 1000.0
_MILLIS_PER_CORE = 1000.0


def wait_key(pool: str, account: str) -> str:
    """Return the key under which the wait of an account in a pool is published."""
    return f"{pool}/{account}"


def core_ms(submission: Submission, task_ms: Sequence[float] | None = None) -> float:
    """Return the work of a job that runs once, in milliseconds of one core.

    Parameters
    ----------
    submission : Submission
        The job.
    task_ms : sequence of float, optional
        Time of a task of each step, in milliseconds; by default as declared.

    Examples
    --------
    >>> from almondstack.jobs import Step, Submission
    >>> core_ms(Submission("q", "a", "", (Step(3, cpu_millis=500, estimate_ms=100),)))
    150.0
    """
    if task_ms is None:
        task_ms = [step.estimate_ms for step in submission.steps]
    works = (
        step.count * step.cpu_millis * time_ms
        for step, time_ms in zip(submission.steps, task_ms, strict=True)
        if not step.is_long_running and not step.is_filler
    )
    return sum(works) / _MILLIS_PER_CORE


def _declared_ms(_queue: str, declared_ms: float) -> float:
    return declared_ms


class AdmissionState:
    """Waits of new work by pool and client account, and the accounts beyond their entitlement.

    Explanation
    -----------
    The owner computes a state every 0.1 s and publishes it in its notice.  A state that was read
    ages: work drains, so each wait shrinks by the age.  What is accepted meanwhile is added, at
    the rate to which its account is entitled.

    Parameters
    ----------
    waits_ms : mapping of str to int
        How long new work would wait, in milliseconds, by :func:`wait_key`.
    entitled_millis : mapping of str to int
        Thousandths of a core that an account may use of the whole fleet, for each account whose
        demand is beyond that.
    known_s : float or None
        Monotonic time from which the age of the state counts, in seconds: when it was read, or
        written if that was long before.  None for the state that this process has computed as
        the owner, which does not age.
    expected_ms : callable, optional
        Returns the expected milliseconds of a task for a queue and declared milliseconds.
    """

    __slots__ = ("_accepted_ms", "_entitled_millis", "_expected_ms", "_known_s", "_waits_ms")

    def __init__(
        self,
        waits_ms: Mapping[str, int] | None = None,
        entitled_millis: Mapping[str, int] | None = None,
        known_s: float | None = None,
        expected_ms: Callable[[str, float], float] = _declared_ms,
    ) -> None:
        self._waits_ms = waits_ms or {}
        self._entitled_millis = entitled_millis or {}
        self._known_s = known_s
        self._expected_ms = expected_ms
        self._accepted_ms: dict[str, float] = {}

    @property
    def waits_ms(self) -> Mapping[str, int]:
        """Waits in milliseconds by :func:`wait_key`, without discount."""
        return self._waits_ms

    @property
    def beyond(self) -> Mapping[str, int]:
        """Entitlement in thousandths of a core, of each account whose demand is beyond it."""
        return self._entitled_millis

    @property
    def is_current(self) -> bool:
        """Whether this process has computed the state itself."""
        return self._known_s is None

    def age_s(self, now_s: float) -> float:
        """Return how old the state is at the monotonic time ``now_s``, in seconds."""
        return 0.0 if self._known_s is None else max(0.0, now_s - self._known_s)

    def has_wait(self, key: str) -> bool:
        """Return whether a wait is known under the key, also if it has shrunk to 0 since."""
        return key in self._waits_ms

    def wait_ms(self, pool: str, account: str, now_s: float) -> float:
        """Return how long new work would wait, in milliseconds; 0 if nothing is known of it."""
        wait_ms = self._waits_ms.get(wait_key(pool, account))
        if wait_ms is None:
            return 0.0
        added_ms = (
            self._accepted_ms.get(account, 0.0) * _MILLIS_PER_CORE / self.entitled_millis(account)
        )
        return max(0.0, wait_ms + added_ms - self.age_s(now_s) * _MS_PER_S)

    def entitled_millis(self, account: str) -> float:
        """Return an account's entitlement in thousandths of a core; infinite if it is within it."""
        entitled = self._entitled_millis.get(account)
        return math.inf if entitled is None else max(1.0, float(entitled))

    def task_ms(self, submission: Submission) -> list[float]:
        """Return the expected time of a task of each step of a job, in milliseconds.

        Explanation
        -----------
        Expectations are those of tasks: they are not in proportion to what is declared, so that
        sums are of expectations.  A filler or long-running task without a declaration has none.
        """
        return [
            (
                self._expected_ms(submission.queue, step.estimate_ms)
                if step.estimate_ms or not (step.is_filler or step.is_long_running)
                else 0.0
            )
            for step in submission.steps
        ]

    def work_ms(self, submission: Submission) -> float:
        """Return the expected work of a job that runs once, in milliseconds of one core."""
        return core_ms(submission, self.task_ms(submission))

    def note_accepted(self, submission: Submission) -> None:
        """Add a job that was accepted after the waits were computed."""
        account = submission.account
        if account not in self._entitled_millis or submission.is_scheduled:
            return
        work_ms = self.work_ms(submission)
        self._accepted_ms[account] = self._accepted_ms.get(account, 0.0) + work_ms


def state_after(
    state: AdmissionState | None, notice: OwnerNotice, now_s: float, now_unix_s: float
) -> AdmissionState | None:
    """Return the state that is known after a notice was read.

    Explanation
    -----------
    A claim and a release contain no state: the state known before stays and ages.  The same
    holds for a notice without waits of an owner of an older build, which looks like a claim.
    The first notice that a process reads may have been written long ago.

    Parameters
    ----------
    state : AdmissionState or None
        The state known before; None if there is none.
    notice : OwnerNotice
        The notice.
    now_s, now_unix_s : float
        Monotonic and Unix time of reading it, in seconds.
    """
    if notice.entitled_millis is None and not notice.waits_ms:
        return state
    age_s = 0.0
    if state is None and notice.written_unix_ms:
        age_s = max(0.0, now_unix_s - notice.written_unix_ms / _MS_PER_S)
    return AdmissionState(notice.waits_ms, notice.entitled_millis, now_s - age_s)
