"""Failures of the log service."""

from almondstack.core import AlmondError

__all__ = [
    "LogError",
    "LogReplyLostError",
    "LogTruncatedError",
    "LogUnavailableError",
]


class LogError(AlmondError):
    """Base of the failures of the log service."""

    code = "log"


class LogUnavailableError(LogError):
    """The service did not act."""

    code = "log-unavailable"


class LogReplyLostError(LogError):
    """The service may or may not have acted."""

    code = "log-reply-lost"


class LogTruncatedError(LogError):
    """The stream no longer keeps the offset that was asked for."""

    code = "log-truncated"
