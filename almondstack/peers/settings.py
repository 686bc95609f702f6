"""Settings of the links between entries."""

from typing import Annotated

from msgspec import Meta

from almondstack.core import Address, PositiveSeconds, Settings, TlsSettings
from almondstack.permits import PermitSettings

__all__ = ["PeerSettings"]


class PeerSettings(Settings, frozen=True):
    """Addresses, security and timing of an entry's links to its peers.

    Parameters
    ----------
    seeds : tuple of str
        Peer addresses to ping in addition to those from the log and the platform's list.
    instance_list : str or None
        Address of the platform's list of instances; None uses the entry's setting.
        Without a list, only a later incarnation shows that an entry has ended.
    secret_file : str or None
        File with the secret that all processes of the deployment share; None means
        an empty secret.
    tls : TlsSettings or None
        Certificate files; certificates must name the deployment.  None disables TLS.
    fan_out : int
        Number of peers that are pinged in each interval.
    gossip_interval_s : float
        Interval between ping rounds, in seconds.
    batch_bytes : int
        Maximum size of the digests in one message, in bytes.
    log_silent_s : float
        Time without a response after which the log service counts as silent, in seconds.
    silent_s : float
        Time without a frame or a newer digest after which a peer counts as silent, in
        seconds.
    permits : PermitSettings
        Settings of the permits that entries exchange.
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
