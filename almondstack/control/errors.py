"""Failures of the services that the owner calls."""

from almondstack.core import AlmondError

__all__ = ["AdviceError", "InstanceServiceError"]


class InstanceServiceError(AlmondError):
    """The instance service did not answer as it should."""

    code = "instance-service"


class AdviceError(AlmondError):
    """The advice service did not answer as it should."""

    code = "advice"
