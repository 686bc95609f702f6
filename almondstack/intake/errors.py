"""Failures to ask the owner of the jobs."""

from almondstack.core import AlmondError

__all__ = ["OwnerError", "OwnerNotReachedError", "OwnerUnclearError"]


class OwnerError(AlmondError):
    """Base of the failures to ask the owner."""

    code = "owner"


class OwnerNotReachedError(OwnerError):
    """The owner has not taken the request, and won't."""

    code = "owner-not-reached"


class OwnerUnclearError(OwnerError):
    """The owner did not answer; it may have taken the request, or may within seconds."""

    code = "owner-unclear"
