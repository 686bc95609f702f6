"""Peer-to-peer links between entries: membership, gossip, record relay, revocations."""

from almondstack.peers.connectivity import Connectivity, ConnectivityState
from almondstack.peers.messages import Digest, RunningCount, TopicPayload
from almondstack.peers.node import PeerNode
from almondstack.peers.revocations import RevocationSet
from almondstack.peers.roster import PeerStatus, Roster
from almondstack.peers.settings import PeerSettings
from almondstack.peers.usage import FleetUsage

__all__ = [
    "Connectivity",
    "ConnectivityState",
    "Digest",
    "FleetUsage",
    "PeerNode",
    "PeerSettings",
    "PeerStatus",
    "RevocationSet",
    "Roster",
    "RunningCount",
    "TopicPayload",
]
