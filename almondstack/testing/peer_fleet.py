"""Runs peer nodes in one process, over loopback and one log in memory."""

import threading
from typing import Any

from almondstack.core import (
    LocalMetrics,
    LogServiceSettings,
    NodeSettings,
    SystemClock,
    new_incarnation,
)
from almondstack.fold import Fold
from almondstack.log import FLEET, Bootstrap, Follower, LogBounds, LogUnavailableError, RecordWriter
from almondstack.model import EntryJoined, LogEntry, ReleaseApplied, ReleaseNote, encode_record
from almondstack.peers import PeerNode, PeerSettings
from almondstack.testing.addresses import free_address

__all__ = ["FleetNode", "MemoryLog", "PeerFleet"]

_LOG_WAIT_S = 0.1


class MemoryLog:
    """In-memory log service whose clients can be disconnected one by one."""

    __slots__ = ("_changed", "_streams")

    def __init__(self) -> None:
        self._streams: dict[str, list[bytes]] = {}
        self._changed = threading.Condition()

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records; return the offset of the first one."""
        with self._changed:
            stored = self._streams.setdefault(stream, [])
            stored.extend(records)
            self._changed.notify_all()
            return len(stored) - len(records)

    def read(self, stream: str, offset: int, wait_s: float = 0.0) -> list[LogEntry]:
        """Return the records from ``offset`` on; wait up to ``wait_s`` seconds for one."""
        with self._changed:
            stored = self._streams.setdefault(stream, [])
            self._changed.wait_for(lambda: len(stored) > offset, wait_s)
            return [LogEntry(offset + i, data) for i, data in enumerate(stored[offset:])]

    def bounds(self, stream: str) -> LogBounds:
        """Return the range of stored offsets."""
        return LogBounds(0, len(self._streams.get(stream, [])))


class _LogClient:
    """Log client of one node; fails every call while ``is_disconnected`` is true."""

    __slots__ = ("_log", "is_disconnected", "max_wait_s")

    def __init__(self, log: MemoryLog) -> None:
        self._log = log
        self.is_disconnected = False
        self.max_wait_s = _LOG_WAIT_S

    def append(self, stream: str, records: list[bytes]) -> int:
        """Append records; raise LogUnavailableError while disconnected."""
        self._check()
        return self._log.append(stream, records)

    def read(self, stream: str, offset: int, wait_s: float = 0.0) -> list[LogEntry]:
        """Read records; raise LogUnavailableError while disconnected."""
        self._check()
        entries = self._log.read(stream, offset, min(wait_s, self.max_wait_s))
        self._check()
        return entries

    def bounds(self, stream: str) -> LogBounds:
        """Return the stored range; raise LogUnavailableError while disconnected."""
        self._check()
        return self._log.bounds(stream)

    def _check(self) -> None:
        if self.is_disconnected:
            raise LogUnavailableError("disconnected by the test")


class FleetNode:
    """The peer, log and permit parts of an entry, without callers and upstreams."""

    __slots__ = (
        "client",
        "fold",
        "follower",
        "incarnation",
        "listen",
        "metrics",
        "peers",
        "writer",
    )

    def __init__(
        self, log: MemoryLog, node: NodeSettings, settings: PeerSettings, has_joined: bool = True
    ) -> None:
        clock = SystemClock()
        self.incarnation = new_incarnation(node.name)
        self.listen = free_address()
        self.metrics = LocalMetrics()
        self.client = _LogClient(log)
        self.fold = Fold()
        self.peers = PeerNode(
            settings, self.listen, node, self.incarnation, self.fold, clock, self.metrics
        )
        bootstrap = Bootstrap(self.client, self.fold, self.metrics, self.peers)
        self.follower = Follower(self.client, self.fold, self.metrics, clock, bootstrap)
        self.writer = RecordWriter(
            self.client,
            FLEET,
            self.incarnation,
            LogServiceSettings(address="127.0.0.1:1"),
            self.metrics,
            clock,
            position=self.follower.position,
        )
        self.peers.attach(self.follower, self.writer, self.client)
        if has_joined:
            self.writer.submit(
                EntryJoined(
                    incarnation=self.incarnation,
                    name=node.name,
                    zone=node.zone,
                    region=node.region,
                    address=self.listen,
                    peer_address=self.listen,
                )
            )

    def start(self) -> None:
        """Start all threads."""
        self.peers.start()
        self.follower.start()
        self.writer.start()

    def stop(self) -> None:
        """Stop all threads."""
        self.writer.stop()
        self.follower.stop()
        self.peers.stop()


class PeerFleet:
    """Peer nodes that share one log; started and stopped by a ``with`` statement.

    Parameters
    ----------
    note : ReleaseNote
        Release note that is applied by the first log record.
    zones : str
        Zone of each node, one letter for each.
    fields : Any
        Fields of the :class:`PeerSettings` of every node.
    """

    __slots__ = ("_fields", "log", "nodes")

    def __init__(self, note: ReleaseNote, zones: str, **fields: Any) -> None:
        self.log = MemoryLog()
        self.log.append(FLEET, [encode_record("operator", 1, ReleaseApplied(0, note))])
        self._fields = fields
        self.nodes: list[FleetNode] = []
        for number, zone in enumerate(zones):
            self.add(f"e{number}", zone)

    def add(self, name: str, zone: str, has_joined: bool = True, **fields: Any) -> FleetNode:
        """Add a node without starting it; ``fields`` override the settings of the fleet."""
        defaults = {"gossip_interval_s": 0.1, "silent_s": 1.0, "log_silent_s": 0.5}
        settings = PeerSettings(**{**defaults, **self._fields, **fields})
        node = NodeSettings(deployment="fleet", name=name, zone=zone)
        self.nodes.append(FleetNode(self.log, node, settings, has_joined))
        return self.nodes[-1]

    def __enter__(self) -> "PeerFleet":
        for node in self.nodes:
            node.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        for node in self.nodes:
            node.stop()
