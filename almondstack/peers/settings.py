"""Settings of the links between entries."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import Address, PositiveSeconds, Settings, TlsSettings
from almondstack.permits import PermitSettings

__all__ = ["PeerSettings"]


class PeerSettings(Settings, frozen=True):
    """How an entry talks to its peers.

    Parameters
    ----------
    seeds : tuple of str
        Addresses tried while no peer is known from log or list.
    instance_list : str or None
        Address of the platform's list of instances; None recovers no permits.
    secret_file : str or None
        File with the secret that all processes of the deployment share.
    tls : TlsSettings or None
        Files for TLS; certificates must name the deployment.
    fan_out : int
        Peers that are pinged in each interval.
    gossip_interval_s : float
        Time between pings, in seconds.
    batch_bytes : int
        Most bytes of digests in one message.
    log_silent_s : float
        The log is held to be silent after so long, in seconds.
    silent_s : float
        A peer is held to be silent after so long, in seconds.
    permits : PermitSettings
        How permits move.
    """

    seeds: tuple[Address, ...] = ()
    instance_list: Address | None = None
    secret_file: str | None = None
    tls: TlsSettings | None = None
    fan_out: Annotated[int, Meta(ge=1, le=128)] = 1
    gossip_interval_s: PositiveSeconds = 0.5
    batch_bytes: Annotated[int, Meta(ge=200, le=65_536)] = 1200
    log_silent_s: PositiveSeconds = 3.0
    silent_s: PositiveSeconds = 5.0
    permits: PermitSettings = PermitSettings()
