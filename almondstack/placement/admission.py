"""Decides whether a submission is accepted, and when its caller should return if it is not.

Explanation
-----------
A submission is accepted while its job's end can be of use to its caller.  An account that is
within its entitlement waits as long as all new work of its in the pool
(:func:`~almondstack.placement.backlog.excess_wait_ms`).  An account whose demand is beyond its
entitlement of a short fleet waits behind its own work at the rate of that entitlement, and
behind its callers that were told to return.

See Also
--------
almondstack.placement.return_schedule : Return times of rejected callers.
"""

import math
from enum import StrEnum
from typing import NamedTuple

from almondstack.jobs import Submission, chain_lengths_ms
from almondstack.jobs.admission_state import AdmissionState, wait_key
from almondstack.placement.backlog import excess_wait_ms
from almondstack.placement.order import LATE_FACTOR
from almondstack.placement.policies import QueuePolicy

__all__ = ["Decision", "RejectionReason", "judge"]

_MILLIS_PER_CORE = 1000.0

_MAX_AGE_S = 2.5
"""Age in seconds from which a state that was read from a notice says nothing of accounts within
their entitlement."""


class RejectionReason(StrEnum):
    """Why a submission is rejected.

    Attributes
    ----------
    NO_USE
        The job would end too late to be of use to its caller, without regard to entitlements.
    BEYOND_ENTITLEMENT
        The same at the rate of the entitlement of its account, whose demand is beyond it.
    """

    NO_USE = "no-use"
    BEYOND_ENTITLEMENT = "beyond-entitlement"


class Decision(NamedTuple):
    """Decision on a submission, with what it was made from.

    Parameters
    ----------
    reason : RejectionReason or None
        Why it is rejected; None if it is accepted.
    late_ms : float
        By how much the job would miss the time by which it must end; 0 if accepted.
    wait_ms : float
        How long new work of the account waits in the pool.
    entitled_millis : float
        Entitlement in thousandths of a core; infinite if the account is within it.
    work_ms : float
        Expected work of the job in milliseconds of one core; 0 if the account is within its
        entitlement.
    age_s : float
        Age of the state that the decision was made from, in seconds.
    retry_s : int
        Seconds after which the caller should return; 0 if the job has no place in the order of
        return.
    """

    reason: RejectionReason | None = None
    late_ms: float = 0.0
    wait_ms: float = 0.0
    entitled_millis: float = math.inf
    work_ms: float = 0.0
    age_s: float = 0.0
    retry_s: int = 0

    @property
    def is_accepted(self) -> bool:
        """Whether the submission is accepted."""
        return self.reason is None

    @property
    def run_ms(self) -> float:
        """How long the account's entitlement takes for the job's work, in milliseconds."""
        return self.work_ms * _MILLIS_PER_CORE / self.entitled_millis


def judge(
    state: AdmissionState,
    submission: Submission,
    policy: QueuePolicy,
    now_s: float,
    held_ms: float = 0.0,
) -> Decision:
    """Decide on a submission that arrives at the monotonic time ``now_s``.

    Parameters
    ----------
    state : AdmissionState
        The waits and the accounts beyond their entitlement.
    submission : Submission
        The job; scheduled and long-running jobs are accepted.
    policy : QueuePolicy
        Policy of the job's queue.
    now_s : float
        Monotonic time in seconds.
    held_ms : float
        Work for which room is held, of callers of the account that were told to return now, in
        milliseconds of one core.
    """
    if submission.is_scheduled or submission.is_long_running:
        return Decision()
    key = wait_key(policy.pool, submission.account)
    if not state.has_wait(key):
        return Decision()
    if math.isinf(state.entitled_millis(submission.account)):
        return _judge_within(state, submission, policy, now_s)
    return _judge_beyond(state, submission, policy, now_s, held_ms)


def _judge_within(
    state: AdmissionState, submission: Submission, policy: QueuePolicy, now_s: float
) -> Decision:
    age_s = state.age_s(now_s)
    if age_s > _MAX_AGE_S:
        return Decision(age_s=age_s)
    wait_ms = state.wait_ms(policy.pool, submission.account, now_s)
    key = wait_key(policy.pool, submission.account)
    late_ms = excess_wait_ms({key: wait_ms}, submission, policy)
    reason = RejectionReason.NO_USE if late_ms > 0 else None
    return Decision(reason, late_ms, wait_ms, age_s=age_s)


def _judge_beyond(
    state: AdmissionState,
    submission: Submission,
    policy: QueuePolicy,
    now_s: float,
    held_ms: float,
) -> Decision:
    decision = Decision(
        wait_ms=state.wait_ms(policy.pool, submission.account, now_s),
        entitled_millis=state.entitled_millis(submission.account),
        work_ms=state.work_ms(submission),
        age_s=state.age_s(now_s),
    )
    longest_wait_ms = _longest_wait_ms(state, submission, policy)
    # With nothing ahead of the job, room held for absent callers would leave the entitlement idle.
    held_wait_ms = (
        held_ms * _MILLIS_PER_CORE / decision.entitled_millis if decision.wait_ms else 0.0
    )
    late_ms = decision.wait_ms + held_wait_ms - longest_wait_ms
    if late_ms <= 0:
        return decision
    return decision._replace(reason=RejectionReason.BEYOND_ENTITLEMENT, late_ms=late_ms)


def _longest_wait_ms(state: AdmissionState, submission: Submission, policy: QueuePolicy) -> float:
    """Return how long a job may wait for its end to be of use, in milliseconds.

    Explanation
    -----------
    Never negative: a queue whose runs take longer than declared is not shut out.
    """
    declared_ms = max(chain_lengths_ms(submission.steps), default=0)
    last_ms = LATE_FACTOR * (policy.stretch * declared_ms + policy.objective_ms)
    expected_ms = max(chain_lengths_ms(submission.steps, state.task_ms(submission)), default=0)
    return last_ms - min(expected_ms, last_ms)
