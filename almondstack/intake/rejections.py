"""Log lines and metrics of rejected submissions."""

import math
from typing import Protocol

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import Submission
from almondstack.placement import QueuePolicy
from almondstack.placement.admission import Decision

__all__ = ["report_rejection"]

_MS_PER_S = 1000.0


class _Reports(Protocol):
    """Where decisions are logged and counted."""

    @property
    def events(self) -> EventLog: ...

    @property
    def metrics(self) -> LocalMetrics: ...


def report_rejection(
    reports: _Reports, job: str, submission: Submission, policy: QueuePolicy, decision: Decision
) -> None:
    """Write a line with the inputs of a rejection, and count it by its reason.

    Explanation
    -----------
    The histogram has the times after which callers were told to return, of the rejections that
    set one.
    """
    reason = decision.reason or ""
    is_beyond = not math.isinf(decision.entitled_millis)
    reports.events.write(
        "admission-rejected",
        job=job,
        account=submission.account,
        pool=policy.pool,
        reason=reason,
        wait_ms=round(decision.wait_ms),
        entitled_millis=round(decision.entitled_millis) if is_beyond else None,
        age_s=round(decision.age_s, 2),
        late_ms=round(decision.late_ms),
        retry_s=decision.retry_s,
    )
    reports.metrics.count(f"admission.{reason}")
    if decision.retry_s:
        reports.metrics.timing_ms("admission.retry-after", decision.retry_s * _MS_PER_S)
