"""State of one call between admission and response: queue entry and failed attempts."""

from almondstack.core import Reason, RequestError, RetryReason
from almondstack.dispatch.call import Call
from almondstack.dispatch.retries import AttemptHistory, FailedAttempt
from almondstack.queueing import Grant, WaitingCall

__all__ = ["ActiveCall"]


class ActiveCall:
    """An admitted call, its queue entry and its failed attempts.

    Parameters
    ----------
    call : Call
        The call.
    item : WaitingCall
        Its entry in the queue.
    """

    __slots__ = ("call", "history", "item")

    def __init__(self, call: Call, item: WaitingCall) -> None:
        self.call = call
        self.item = item
        self.history = AttemptHistory()

    def add_failed_attempt(
        self, grant: Grant, may_have_run: bool, reason: Reason, retry: RetryReason
    ) -> None:
        """Add a failed attempt on the upstream of ``grant`` to the history."""
        spec = grant.instance.spec
        self.history.attempts.append(
            FailedAttempt(spec.name, spec.rack, may_have_run, reason, retry)
        )

    def raise_if_ended(self) -> None:
        """Raise RequestError if the call was ended while it waited."""
        if self.item.reason is not None:
            self.raise_if_may_have_run()
            raise RequestError(self.item.reason)

    def raise_if_may_have_run(self) -> None:
        """Raise RequestError for the latest attempt that may have run, if any."""
        for failed in reversed(self.history.attempts):
            if failed.may_have_run:
                raise RequestError(failed.reason)
