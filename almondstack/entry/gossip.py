"""What an entry tells its peers of its calls and upstreams, and hears of theirs."""

import msgspec

from almondstack.core import CodecError, decode_msgpack, encode_msgpack
from almondstack.dispatch import FairDispatcher, HealthReport
from almondstack.peers import PeerNode, RunningCount

__all__ = ["connect_gossip"]

_HEALTH = "health"
_MOST_REMARKS = 32


class _HealthRemarks(msgspec.Struct, frozen=True, array_like=True):
    """Health remarks of one entry, as gossip carries them."""

    items: tuple[HealthReport, ...]


def connect_gossip(dispatcher: FairDispatcher, peers: PeerNode) -> None:
    """Let gossip carry running totals and health remarks of the dispatcher."""

    def running() -> list[RunningCount]:
        counts = dispatcher.scheduler.running_counts()
        return [RunningCount(pool, team, count) for (pool, team), count in counts.items()]

    def health() -> bytes:
        remarks = dispatcher.health.reports()[:_MOST_REMARKS]
        return encode_msgpack(_HealthRemarks(remarks)) if remarks else b""

    def hear(_incarnation: str, data: bytes) -> None:
        try:
            heard = decode_msgpack(data, _HealthRemarks)
        except CodecError:
            return
        dispatcher.health.merge_reports(heard.items)

    peers.source.set_running(running)
    peers.source.set_remark(_HEALTH, health)
    peers.on_remark(_HEALTH, hear)
