"""Failures of the log service and of what reads and writes it."""

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


class WriterFullError(LogError):
    """Too many records wait for the log; the new one was not taken."""

    code = "writer-full"


class BootstrapError(LogError):
    """Neither the log nor a peer has a state to start from."""

    code = "bootstrap"
