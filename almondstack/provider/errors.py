"""Failures of the platform's control service."""

from almondstack.core import AlmondError

__all__ = [
    "ActExpiredError",
    "ActReplyLostError",
    "ActSupersededError",
    "PlatformError",
    "PlatformUnavailableError",
]


class PlatformError(AlmondError):
    """Base of the failures of the platform."""

    code = "platform"


class PlatformUnavailableError(PlatformError):
    """The platform did not act and did not show what was asked for."""

    code = "platform-unavailable"


class ActReplyLostError(PlatformError):
    """The platform may or may not have acted."""

    code = "act-reply-lost"


class ActSupersededError(PlatformError):
    """The platform took a later act on the same target and refuses this one."""

    code = "act-superseded"


class ActExpiredError(PlatformError):
    """The act arrived after its lease and was not taken."""

    code = "act-expired"
