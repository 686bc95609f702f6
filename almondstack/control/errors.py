"""Errors of the services that the owner calls."""

from almondstack.core import AlmondError

__all__ = ["AdviceError", "InstanceServiceError"]


class InstanceServiceError(AlmondError):
    """A call of the instance service failed, or its answer is invalid."""

    code = "instance-service"


class AdviceError(AlmondError):
    """A call of the advice service failed, or its answer is invalid."""

    code = "advice"
