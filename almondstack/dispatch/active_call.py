"""A call under way, with its failed tries."""

from almondstack.core import Reason, RequestError, RetryReason
from almondstack.dispatch.call import Call
from almondstack.dispatch.retries import AttemptHistory, FailedAttempt
from almondstack.queueing import Grant, WaitingCall

__all__ = ["ActiveCall"]


class ActiveCall:
    """A call, its place in the queue and its failed tries.

    Parameters
    ----------
    call : Call
        The call.
    item : WaitingCall
        Its place in the queue.
    """

    __slots__ = ("call", "history", "item")

    def __init__(self, call: Call, item: WaitingCall) -> None:
        self.call = call
        self.item = item
        self.history = AttemptHistory()

    def add_failed_attempt(
        self, grant: Grant, may_have_run: bool, reason: Reason, retry: RetryReason
    ) -> None:
        """Remember a failed try on the upstream of ``grant``."""
        spec = grant.instance.spec
        self.history.attempts.append(
            FailedAttempt(spec.name, spec.rack, may_have_run, reason, retry)
        )

    def raise_if_ended(self) -> None:
        """Raise if the call was ended while it waited."""
        if self.item.reason is not None:
            self.raise_if_may_have_run()
            raise RequestError(self.item.reason)

    def raise_if_may_have_run(self) -> None:
        """Raise the newest failure after which the work may have run, if there is one."""
        for failed in reversed(self.history.attempts):
            if failed.may_have_run:
                raise RequestError(failed.reason)
