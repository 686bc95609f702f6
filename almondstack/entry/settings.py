"""Settings of ``almondstack-entry``."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import (
    Address,
    LoggingSettings,
    LogServiceSettings,
    NodeSettings,
    PositiveSeconds,
    Settings,
    StatsdSettings,
)

__all__ = ["CallerSettings", "EntrySettings"]


class CallerSettings(Settings, frozen=True):
    """The listening socket for callers.

    Parameters
    ----------
    listen : str
        Numeric address.
    threads : int
        Most callers served at once.
    waiting_connections : int
        Most connections that wait for a thread.
    body_timeout_s : float
        A caller that sends nothing for so long is cut off, in seconds.
    """

    listen: Address
    threads: Annotated[int, Meta(ge=4, le=2000)] = 256
    waiting_connections: Annotated[int, Meta(ge=1, le=65_536)] = 512
    body_timeout_s: PositiveSeconds = 10.0


class EntrySettings(Settings, frozen=True):
    """All settings of an entry process.

    Parameters
    ----------
    shutdown_timeout_s : float
        Bound on a graceful shutdown, in seconds.
    """

    node: NodeSettings
    callers: CallerSettings
    log: LogServiceSettings
    peer_listen: Address = "127.0.0.1:7201"
    statsd: StatsdSettings = StatsdSettings()
    logging: LoggingSettings = LoggingSettings()
    shutdown_timeout_s: PositiveSeconds = 30.0
