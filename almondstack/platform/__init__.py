"""Client side of the platform that owns the instances."""

from almondstack.platform.instance_list import (
    HttpInstanceList,
    InstanceListError,
    ListedInstance,
)

__all__ = ["HttpInstanceList", "InstanceListError", "ListedInstance"]
