"""Clients of the platform that runs the instances: control service and instance list."""

from almondstack.provider.acts import (
    Act,
    ActKind,
    ActStatus,
    LeaseRenewal,
    PlatformTask,
    UsageReport,
    UsageView,
    act_id,
)
from almondstack.provider.client import HttpPlatform, PlatformClient, PlatformSettings
from almondstack.provider.errors import (
    ActExpiredError,
    ActReplyLostError,
    ActSupersededError,
    PlatformError,
    PlatformUnavailableError,
)
from almondstack.provider.instance_list import (
    HttpInstanceList,
    InstanceList,
    InstanceListError,
    ListedInstance,
)

__all__ = [
    "Act",
    "ActExpiredError",
    "ActKind",
    "ActReplyLostError",
    "ActStatus",
    "ActSupersededError",
    "HttpInstanceList",
    "HttpPlatform",
    "InstanceList",
    "InstanceListError",
    "LeaseRenewal",
    "ListedInstance",
    "PlatformClient",
    "PlatformError",
    "PlatformSettings",
    "PlatformTask",
    "PlatformUnavailableError",
    "UsageReport",
    "UsageView",
    "act_id",
]
