"""Errors of the services that the owner calls."""

from almondstack.core import AlmondError

__all__ = ["AdviceError", "InstanceServiceError", "NotOwnerError"]


class InstanceServiceError(AlmondError):
    """A call of the instance service failed, or its answer is invalid."""

    code = "instance-service"


class AdviceError(AlmondError):
    """A call of the advice service failed, or its answer is invalid."""

    code = "advice"


class NotOwnerError(AlmondError):
    """Another process may own the jobs by now, so that this one must not act."""

    code = "not-owner"
