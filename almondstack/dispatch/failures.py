"""How one try on one upstream can fail."""

from almondstack.core import AlmondError, Reason, RetryReason

__all__ = ["BrokenExchangeError", "NotSentError"]


class NotSentError(AlmondError):
    """No byte of the request can have reached the upstream.

    Parameters
    ----------
    detail : str
        What happened.
    retry_reason : RetryReason
        What a further try is counted as.
    """

    code = "not-sent"

    def __init__(
        self, detail: str = "", retry_reason: RetryReason = RetryReason.CONNECT_FAILED
    ) -> None:
        super().__init__(detail)
        self._retry_reason = retry_reason

    @property
    def retry_reason(self) -> RetryReason:
        """What a further try is counted as."""
        return self._retry_reason


class BrokenExchangeError(AlmondError):
    """The request was sent at least in part, and no whole head of an answer came.

    Parameters
    ----------
    reason : Reason
        What the caller is told if there is no further try.
    """

    code = "broken-exchange"

    def __init__(self, reason: Reason, detail: str = "") -> None:
        super().__init__(detail)
        self._reason = reason

    @property
    def reason(self) -> Reason:
        """What the caller is told if there is no further try."""
        return self._reason
