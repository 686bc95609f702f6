"""Base exceptions, each with a stable error code.

Explanation
-----------
Every error that the product raises is an :class:`AlmondError` with a ``code``.
An error that ends a caller's request is a :class:`RequestError` and carries a
:class:`~almondstack.core.reasons.Reason`.
"""

from almondstack.core.reasons import Outcome, Reason, reason_info

__all__ = [
    "AlmondError",
    "CodecError",
    "RequestError",
    "SettingsError",
]


class AlmondError(Exception):
    """Base class of the errors of the product.

    Parameters
    ----------
    detail : str
        What happened, in one short sentence without secrets.

    Attributes
    ----------
    code : str
        Stable identifier of the kind of error.
    """

    code = "almondstack"

    def __init__(self, detail: str = "") -> None:
        super().__init__(detail)
        self._detail = detail

    @property
    def detail(self) -> str:
        """What happened, without secrets."""
        return self._detail

    def __str__(self) -> str:
        return f"{self.code}: {self._detail}" if self._detail else self.code


class SettingsError(AlmondError):
    """A settings file is missing, malformed or out of range."""

    code = "settings"


class CodecError(AlmondError):
    """Received bytes do not decode to the expected type."""

    code = "codec"


class RequestError(AlmondError):
    """A caller's request ended without a response from an upstream.

    Parameters
    ----------
    reason : Reason
        The code that is sent to the caller.
    detail : str, optional
        Further explanation for people; must hold no secret.
    outcome : Outcome, optional
        Replaces the default outcome of the reason, where the actual one is known.
    retry_after_s : int, optional
        Replaces the default ``Retry-After`` of the reason, in seconds.

    Examples
    --------
    >>> from almondstack.core import Reason, RequestError
    >>> RequestError(Reason.QUEUE_FULL).status
    503
    """

    code = "request"

    def __init__(
        self,
        reason: Reason,
        detail: str = "",
        outcome: Outcome | None = None,
        retry_after_s: int | None = None,
    ) -> None:
        super().__init__(detail or reason_info(reason).title)
        self._reason = reason
        self._outcome = outcome
        self._retry_after_s = retry_after_s

    @property
    def reason(self) -> Reason:
        """The code that is sent to the caller."""
        return self._reason

    @property
    def outcome(self) -> Outcome:
        """Whether the request has run, as far as it is known."""
        return self._outcome or reason_info(self._reason).outcome

    @property
    def status(self) -> int:
        """HTTP status of the response."""
        return reason_info(self._reason).status

    @property
    def retry_after_s(self) -> int | None:
        """Value of ``Retry-After`` in seconds, or None."""
        if self._retry_after_s is not None:
            return self._retry_after_s
        return reason_info(self._reason).retry_after_s
