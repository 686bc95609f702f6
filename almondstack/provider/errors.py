"""Errors of the platform's control service."""

from almondstack.core import AlmondError

__all__ = [
    "ActExpiredError",
    "ActReplyLostError",
    "ActSupersededError",
    "PlatformError",
    "PlatformUnavailableError",
]


class PlatformError(AlmondError):
    """Base of the errors of the control service."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not perform the act or return the requested data."""

    code = "platform-unavailable"


class ActReplyLostError(PlatformError):
    """The call was sent without a conclusive reply and may have taken effect."""

    code = "act-reply-lost"


class ActSupersededError(PlatformError):
    """The platform rejected the call because of a later act or another lease holder."""

    code = "act-superseded"


class ActExpiredError(PlatformError):
    """The act arrived after its lease had expired and was not performed."""

    code = "act-expired"
