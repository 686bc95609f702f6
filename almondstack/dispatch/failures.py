"""Exceptions for a failed attempt on an upstream."""

from almondstack.core import AlmondError, Reason, RetryReason

__all__ = ["BrokenExchangeError", "NotSentError"]


class NotSentError(AlmondError):
    """No byte of the request can have reached the upstream, so it has not run.

    Parameters
    ----------
    detail : str
        What happened.
    retry_reason : RetryReason
        Reason under which a retry is counted.
    """

    code = "not-sent"

    def __init__(
        self, detail: str = "", retry_reason: RetryReason = RetryReason.CONNECT_FAILED
    ) -> None:
        super().__init__(detail)
        self._retry_reason = retry_reason

    @property
    def retry_reason(self) -> RetryReason:
        """Reason under which a retry is counted."""
        return self._retry_reason


class BrokenExchangeError(AlmondError):
    """The request was sent at least in part, but no complete response head arrived.

    Parameters
    ----------
    reason : Reason
        Reason returned to the caller if there is no retry.
    """

    code = "broken-exchange"

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(detail)
        self._reason = reason

    @property
    def reason(self) -> Reason:
        """Reason returned to the caller if there is no retry."""
        return self._reason
