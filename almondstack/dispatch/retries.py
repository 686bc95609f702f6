"""Retry policy with a retry budget and exponential backoff.

Explanation
-----------
A token bucket holds the budget: each first attempt adds a fraction of a token
and each retry takes a whole one, so that retries stay a bounded fraction of the
load however many attempts fail.  The backoff grows exponentially with full
jitter.
"""

import random
import threading

from almondstack.core import LocalMetrics, Reason, RequestError, RetryReason
from almondstack.dispatch.call import Call
from almondstack.dispatch.settings import RetrySettings

__all__ = ["RetryBudget", "RetryPolicy", "FailedAttempt", "AttemptHistory"]


class RetryBudget:
    """Token bucket that limits retries to a fraction of first attempts.

    Parameters
    ----------
    settings : RetrySettings
        Fraction and burst.

    Examples
    --------
    >>> from almondstack.dispatch import RetryBudget, RetrySettings
    >>> budget = RetryBudget(RetrySettings(budget_fraction=0.5, budget_burst=1))
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    >>> budget.earn()
    >>> budget.earn()
    >>> budget.try_spend()
    True
    """

    __slots__ = ("_lock", "_settings", "_tokens")

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._tokens = float(settings.budget_burst)
        self._lock = threading.Lock()

    def earn(self) -> None:
        """Add the fraction of a token for a first attempt."""
        with self._lock:
            tokens = self._tokens + self._settings.budget_fraction
            self._tokens = min(tokens, float(self._settings.budget_burst))

    def try_spend(self) -> bool:
        """Take a token for one retry; return False if the budget is exhausted."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class FailedAttempt:
    """One failed attempt of a call.

    Parameters
    ----------
    instance, rack : str
        Upstream on which the attempt failed, and its rack.
    may_have_run : bool
        True if the work may have begun.
    reason : Reason
        Reason returned to the caller if there is no retry.
    retry_reason : RetryReason
        Reason under which a retry is counted.
    """

    __slots__ = ("instance", "may_have_run", "rack", "reason", "retry_reason")

    def __init__(
        self,
        instance: str,
        rack: str,
        may_have_run: bool,
        reason: Reason,
        retry_reason: RetryReason,
    ) -> None:
        self.instance = instance
        self.rack = rack
        self.may_have_run = may_have_run
        self.reason = reason
        self.retry_reason = retry_reason


class AttemptHistory:
    """The failed attempts of one call, the latest last."""

    __slots__ = ("attempts",)

    def __init__(self) -> None:
        self.attempts: list[FailedAttempt] = []

    @property
    def may_have_run(self) -> bool:
        """True if the work may have begun in some attempt."""
        return any(item.may_have_run for item in self.attempts)

    @property
    def avoid(self) -> frozenset[str]:
        """Names of the upstreams that failed the call."""
        return frozenset(item.instance for item in self.attempts)

    def failed_racks(self, suspected: frozenset[str]) -> int:
        """Return on how many racks the work failed, without suspected upstreams."""
        attempts = [
            item for item in self.attempts if item.may_have_run and item.instance not in suspected
        ]
        return len({item.rack for item in attempts if item.retry_reason in _WORK_FAILURES})


_WORK_FAILURES = frozenset({RetryReason.IDEMPOTENT_BROKE, RetryReason.IDEMPOTENT_TIMEOUT})


class RetryPolicy:
    """Decides whether and when a failed call is retried.

    Parameters
    ----------
    settings : RetrySettings
        Limits of retries.
    metrics : LocalMetrics
        Counters ``retried.CODE``.
    """

    __slots__ = ("_budget", "_metrics", "_random", "_settings")

    def __init__(self, settings: RetrySettings, metrics: LocalMetrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._budget = RetryBudget(settings)
        self._random = random.Random()

    def note_first_attempt(self) -> None:
        """Add the share of a first attempt to the budget."""
        self._budget.earn()

    def pause_s(
        self, call: Call, history: AttemptHistory, suspected: frozenset[str], now_s: float
    ) -> float:
        """Return the backoff before the next attempt, in seconds.

        Raises
        ------
        RequestError
            The call is not retried.
        """
        last = history.attempts[-1]
        if history.may_have_run and not call.is_idempotent:
            raise RequestError(last.reason)
        if history.failed_racks(suspected) >= self._settings.failing_racks:
            raise RequestError(Reason.REQUEST_FAILING)
        if not call.body.is_replayable:
            raise _final_error(history, last.reason)
        if len(history.attempts) >= self._settings.max_tries:
            raise _final_error(history, last.reason)
        pause_s = self._random.uniform(0, self._ceiling_s(len(history.attempts)))
        if now_s + pause_s >= call.deadline_s:
            raise _final_error(history, Reason.DEADLINE_PASSED)
        if not self._budget.try_spend():
            raise _final_error(history, Reason.RETRIES_EXHAUSTED)
        self._metrics.count(f"retried.{last.retry_reason.value}")
        return pause_s

    def _ceiling_s(self, failed: int) -> float:
        growing_s = self._settings.backoff_s * 2 ** (failed - 1)
        return min(self._settings.longest_backoff_s, growing_s)


def _final_error(history: AttemptHistory, reason: Reason) -> RequestError:
    """Return the final error; an attempt that may have run takes precedence."""
    for item in reversed(history.attempts):
        if item.may_have_run:
            return RequestError(item.reason)
    return RequestError(reason)
