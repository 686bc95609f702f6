"""Client side of the platform that owns the instances."""

from almondstack.platform.acts import (
    Act,
    ActKind,
    ActStatus,
    LeaseRenewal,
    PlatformTask,
    UsageReport,
    UsageView,
    act_id,
)
from almondstack.platform.client import HttpPlatform, PlatformClient, PlatformSettings
from almondstack.platform.errors import (
    ActExpiredError,
    ActReplyLostError,
    ActSupersededError,
    PlatformError,
    PlatformUnavailableError,
)
from almondstack.platform.instance_list import (
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
