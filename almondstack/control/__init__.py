"""Control loop of the owner, the elected process that schedules jobs onto workers."""

from almondstack.control.errors import AdviceError, InstanceServiceError
from almondstack.control.owner import Owner
from almondstack.control.services import OwnerServices
from almondstack.control.settings import ControlSettings

__all__ = ["AdviceError", "ControlSettings", "InstanceServiceError", "Owner", "OwnerServices"]
