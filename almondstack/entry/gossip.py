"""Exchanges counts of running calls and health remarks on upstreams with peers by gossip."""

import msgspec

from almondstack.core import CodecError, decode_msgpack, encode_msgpack
from almondstack.dispatch import FairDispatcher, HealthReport
from almondstack.peers import PeerNode, RunningCount

__all__ = ["connect_gossip"]

_HEALTH = "health"
_MAX_REMARKS = 32


class _HealthRemarks(msgspec.Struct, frozen=True, array_like=True):
    """Health remarks of one entry, as encoded in gossip messages."""

    items: tuple[HealthReport, ...]


def connect_gossip(dispatcher: FairDispatcher, peers: PeerNode) -> None:
    """Publish the dispatcher's running counts and health remarks to peers; apply theirs."""

    def running_counts() -> list[RunningCount]:
        counts = dispatcher.scheduler.running_counts()
        return [RunningCount(pool, team, count) for (pool, team), count in counts.items()]

    def health_remarks() -> bytes:
        remarks = dispatcher.health.reports()[:_MAX_REMARKS]
        return encode_msgpack(_HealthRemarks(remarks)) if remarks else b""

    def receive_health(_incarnation: str, data: bytes) -> None:
        try:
            received = decode_msgpack(data, _HealthRemarks)
        except CodecError:
            return
        dispatcher.health.merge_reports(received.items)

    peers.source.set_running(running_counts)
    peers.source.set_remark(_HEALTH, health_remarks)
    peers.on_remark(_HEALTH, receive_health)
