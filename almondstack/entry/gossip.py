"""Exchanges counts of running calls and health reports on upstreams with peers by gossip."""

import msgspec

from almondstack.core import CodecError, decode_msgpack, encode_msgpack
from almondstack.dispatch import FairDispatcher, HealthReport
from almondstack.peers import PeerNode, RunningCount

__all__ = ["connect_gossip"]

_HEALTH = "health"
_MAX_REPORTS = 32


class _HealthReports(msgspec.Struct, frozen=True, array_like=True):
    """Health reports of one entry, as encoded in gossip messages."""

    items: tuple[HealthReport, ...]


def connect_gossip(dispatcher: FairDispatcher, peers: PeerNode) -> None:
    """Publish the dispatcher's running counts and health reports to peers; apply theirs."""

    def running_counts() -> list[RunningCount]:
        counts = dispatcher.scheduler.running_counts()
        return [RunningCount(pool, team, count) for (pool, team), count in counts.items()]

    def health_reports() -> bytes:
        reports = dispatcher.health.reports()[:_MAX_REPORTS]
        return encode_msgpack(_HealthReports(reports)) if reports else b""

    def receive_health(_incarnation: str, data: bytes) -> None:
        try:
            received = decode_msgpack(data, _HealthReports)
        except CodecError:
            return
        dispatcher.health.merge_reports(received.items)

    peers.digest_builder.set_running_counter(running_counts)
    peers.digest_builder.set_topic_payload(_HEALTH, health_reports)
    peers.on_topic_payload(_HEALTH, receive_health)
