"""Errors of requests to the owner of the jobs."""

from almondstack.core import AlmondError

__all__ = ["OwnerError", "OwnerNotReachedError", "OwnerUnclearError"]


class OwnerError(AlmondError):
    """Base class of the errors of requests to the owner."""

    code = "owner"


class OwnerNotReachedError(OwnerError):
    """The owner has not accepted the request, and will not accept it later."""

    code = "owner-not-reached"


class OwnerUnclearError(OwnerError):
    """The owner did not answer; it may have accepted the request, or may within seconds."""

    code = "owner-unclear"
