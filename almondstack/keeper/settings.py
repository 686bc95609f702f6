"""Settings of ``almondstack-keeper``."""

from almondstack.core import (
    LoggingSettings,
    LogServiceSettings,
    NodeSettings,
    Settings,
    StatsdSettings,
)

__all__ = ["KeeperSettings"]


class KeeperSettings(Settings, frozen=True):
    """All settings of a keeper process."""

    node: NodeSettings
    log: LogServiceSettings
    statsd: StatsdSettings = StatsdSettings()
    logging: LoggingSettings = LoggingSettings()
