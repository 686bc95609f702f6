"""Errors of the log service and of its readers and writers."""

from almondstack.core import AlmondError

__all__ = [
    "BootstrapError",
    "LogError",
    "LogReplyLostError",
    "LogTruncatedError",
    "LogUnavailableError",
    "WriterFullError",
]


class LogError(AlmondError):
    """Base of the errors of the log service."""

    code = "log"


class LogUnavailableError(LogError):
    """The service did not perform the call."""

    code = "log-unavailable"


class LogReplyLostError(LogError):
    """The append was sent without a conclusive reply and may have taken effect."""

    code = "log-reply-lost"


class LogTruncatedError(LogError):
    """The stream no longer retains the requested offset."""

    code = "log-truncated"


class WriterFullError(LogError):
    """The maximum of pending records is reached; the new record was rejected."""

    code = "writer-full"


class BootstrapError(LogError):
    """Neither a snapshot, the log nor a peer provides a usable state."""

    code = "bootstrap"
