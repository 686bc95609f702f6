"""Settings of ``almondstack-keeper``."""

from almondstack.core import (
    Address,
    LoggingSettings,
    LogServiceSettings,
    NodeSettings,
    PositiveSeconds,
    Settings,
    StatsdSettings,
)
from almondstack.fleet import FleetSettings
from almondstack.log import SnapshotSettings
from almondstack.provider import PlatformSettings

__all__ = ["KeeperSettings"]


class KeeperSettings(Settings, frozen=True):
    """All settings of a keeper process.

    Parameters
    ----------
    status_listen : str
        Numeric address that serves ``/livez``, ``/readyz`` and ``/statusz``.
    round_s : float
        Pause between two planning rounds, in seconds.
    """

    node: NodeSettings
    log: LogServiceSettings
    platform: PlatformSettings
    status_listen: Address
    round_s: PositiveSeconds = 0.5
    snapshots: SnapshotSettings = SnapshotSettings()
    fleet: FleetSettings = FleetSettings()
    statsd: StatsdSettings = StatsdSettings()
    logging: LoggingSettings = LoggingSettings()
