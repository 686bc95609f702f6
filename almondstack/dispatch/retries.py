"""Whether a failed try is followed by another, and when.

Explanation
-----------
A token bucket holds the budget: each first try adds a fraction of a token and
each retry takes a whole one, so that retries stay a bounded part of the load
however many tries fail.  Pauses grow exponentially with full jitter.
"""

import random
import threading

from almondstack.core import NullMetrics, Reason, RequestError, RetryReason
from almondstack.dispatch.call import Call
from almondstack.dispatch.settings import RetrySettings

__all__ = ["RetryBudget", "RetryPolicy", "FailedAttempt", "AttemptHistory"]


class RetryBudget:
    """Retries as a fraction of first tries.

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
        """Note a first try."""
        with self._lock:
            tokens = self._tokens + self._settings.budget_fraction
            self._tokens = min(tokens, float(self._settings.budget_burst))

    def try_spend(self) -> bool:
        """Take the right to one retry; False if the budget is spent."""
        with self._lock:
            if self._tokens < 1:
                return False
            self._tokens -= 1
            return True


class FailedAttempt:
    """One failed try.

    Parameters
    ----------
    instance, rack : str
        Where it failed.
    has_run : bool
        True if the work may have begun.
    reason : Reason
        What the caller is told if there is no further try.
    retry_reason : RetryReason
        What a further try is counted as.
    """

    __slots__ = ("may_have_run", "instance", "rack", "reason", "retry_reason")

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
    """The failed tries of one call, the newest last."""

    __slots__ = ("attempts",)

    def __init__(self) -> None:
        self.attempts: list[FailedAttempt] = []

    @property
    def may_have_run(self) -> bool:
        """True if the work may have begun."""
        return any(item.may_have_run for item in self.attempts)

    @property
    def avoid(self) -> frozenset[str]:
        """The upstreams that failed."""
        return frozenset(item.instance for item in self.attempts)

    def failed_racks(self, suspected: frozenset[str]) -> int:
        """Return on how many racks the work failed, but for suspected upstreams."""
        attempts = [
            item for item in self.attempts if item.may_have_run and item.instance not in suspected
        ]
        return len({item.rack for item in attempts if item.retry_reason in _WORK_FAILURES})


_WORK_FAILURES = frozenset({RetryReason.IDEMPOTENT_BROKE, RetryReason.IDEMPOTENT_TIMEOUT})


class RetryPolicy:
    """Decides on further tries.

    Parameters
    ----------
    settings : RetrySettings
        Bounds.
    metrics : NullMetrics
        Counts ``retried.CODE``.
    """

    __slots__ = ("_budget", "_metrics", "_random", "_settings")

    def __init__(self, settings: RetrySettings, metrics: NullMetrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._budget = RetryBudget(settings)
        self._random = random.Random()

    def note_first_attempt(self) -> None:
        """Add to the budget."""
        self._budget.earn()

    def pause_s(
        self, call: Call, history: AttemptHistory, suspected: frozenset[str], now_s: float
    ) -> float:
        """Return how long to wait before the next try, in seconds.

        Raises
        ------
        RequestError
            There is no next try.
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
    """Return the final error; once a try may have run, it says so."""
    for item in reversed(history.attempts):
        if item.may_have_run:
            return RequestError(item.reason)
    return RequestError(reason)
