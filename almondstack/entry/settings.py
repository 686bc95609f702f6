"""Settings of ``almondstack-entry``."""

from typing import Annotated

import msgspec
from msgspec import Meta

from almondstack.at_most_once import OnceSettings
from almondstack.core import (
    Address,
    LoggingSettings,
    LogServiceSettings,
    NodeSettings,
    PositiveSeconds,
    Settings,
    StatsdSettings,
    TlsSettings,
)
from almondstack.dispatch import DispatchSettings
from almondstack.log import SnapshotSettings
from almondstack.peers import PeerSettings

__all__ = ["CallerSettings", "EntrySettings"]


class CallerSettings(Settings, frozen=True):
    """Settings of the HTTP server for callers.

    Parameters
    ----------
    listen : str
        Numeric address to listen on.
    threads : int
        Maximum number of requests served at once.
    waiting_connections : int
        Maximum number of connections that wait for a thread.
    idle_connections : int
        Maximum number of connections kept open between requests.
    head_timeout_s : float
        Time limit for receiving the head of a request, in seconds.
    body_timeout_s : float
        Time without received bytes after which a connection is closed, in seconds.
    tls : TlsSettings or None
        Certificate files; None serves plain HTTP.
    """

    listen: Address
    threads: Annotated[int, Meta(ge=4, le=4000)] = 512
    waiting_connections: Annotated[int, Meta(ge=1, le=65_536)] = 512
    idle_connections: Annotated[int, Meta(ge=1, le=65_536)] = 1024
    head_timeout_s: PositiveSeconds = 5.0
    body_timeout_s: PositiveSeconds = 10.0
    tls: TlsSettings | None = None


class EntrySettings(Settings, frozen=True):
    """All settings of an entry process.

    Parameters
    ----------
    operator_token_file : str or None
        File with the token that operators prove to know when they send a
        revocation directly to this entry; None refuses all such requests.
    switch_interval_ms : float
        Switch interval of the interpreter: how long a thread runs while others
        wait, in milliseconds.
    shutdown_timeout_s : float
        Bound on a graceful shutdown, in seconds.
    """

    node: NodeSettings
    callers: CallerSettings
    log: LogServiceSettings
    snapshots: SnapshotSettings = SnapshotSettings()
    once: OnceSettings = OnceSettings()
    dispatch: DispatchSettings = DispatchSettings()
    peer_listen: Address = "127.0.0.1:7201"
    peers: PeerSettings = PeerSettings()
    instance_list: Address | None = None
    operator_token_file: str | None = None
    statsd: StatsdSettings = StatsdSettings()
    logging: LoggingSettings = LoggingSettings()
    switch_interval_ms: Annotated[float, Meta(ge=0.05, le=100)] = 5.0
    shutdown_timeout_s: PositiveSeconds = 30.0

    @property
    def peer_settings(self) -> PeerSettings:
        """Settings of the links to peers, with the entry's ``instance_list`` as default."""
        address = self.peers.instance_list or self.instance_list
        return msgspec.structs.replace(self.peers, instance_list=address)
