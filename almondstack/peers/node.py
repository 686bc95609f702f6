"""Connects one entry to its peers by gossip and assembles the services built on it.

Explanation
-----------
One thread receives messages and one sends pings.  A ping carries digests and is
answered with digests.  An entry that receives a ping or its answer from a peer
that lags in the log sends it the missing records.  A peer that cannot reach the
log gets new records from two other entries as soon as these have folded them.

Examples
--------
An entry creates and attaches the parts in this order::

    node = PeerNode(
        settings.peers, settings.peer_listen, settings.node, incarnation, fold, clock, metrics
    )
    follower = Follower(client, fold, metrics, clock, Bootstrap(client, fold, metrics, node))
    writer = RecordWriter(..., position=follower.position)
    node.attach(follower, writer, client)

and then uses ``node.permits``, ``node.revocations``, ``node.usage`` and
``node.connectivity``.
"""

import itertools
import secrets
import threading
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

import xxhash

from almondstack.core import AlmondError, Clock, LocalMetrics, NodeSettings, PartLogger
from almondstack.fold import Fold
from almondstack.fold.listeners import FoldDelta
from almondstack.log import Follower, LogClient
from almondstack.peers.connectivity import Connectivity
from almondstack.peers.digest_builder import DigestBuilder
from almondstack.peers.digest_store import DigestStore
from almondstack.peers.frames import FrameCodec, FrameRefusedError, read_secret
from almondstack.peers.messages import (
    Ack,
    Digest,
    EncodedDigest,
    PeerBody,
    Ping,
    RecordsPush,
    Revoked,
    StatePart,
    StateRequest,
)
from almondstack.peers.platform_watch import PlatformWatch
from almondstack.peers.revocations import RevocationSet
from almondstack.peers.roster import PeerTarget, Roster
from almondstack.peers.settings import PeerSettings
from almondstack.peers.state_transfer import StateTransfer
from almondstack.peers.transport import PeerTransport
from almondstack.peers.usage import FleetUsage
from almondstack.permits import (
    EscrowPermits,
    PermitRequest,
    RecordSink,
    RecoveryProposer,
    TransferTotals,
    TransferTotalsAck,
)

__all__ = ["PeerNode"]

_MAX_PUSH_RECORDS = 200
_RELAYS_PER_PEER = 2
_FETCH_TIMEOUT_S = 3.0
_LOOPS_PER_HOUSEKEEPING = 20

_log = PartLogger("peers")


class PeerNode:
    """Gossip node of one entry: sends pings, handles messages and relays log records.

    Parameters
    ----------
    settings : PeerSettings
        Settings of the links to peers.
    listen : str
        Numeric address on which this entry receives peer messages.
    node : NodeSettings
        Deployment, name and zone of this entry.
    incarnation : str
        Unique name of this run of the process.
    fold : Fold
        The folded state and the newest log records.
    clock : Clock
        Times the pings and timestamps received messages.
    metrics : LocalMetrics
        Counts messages and refused frames.
    """

    def __init__(
        self,
        settings: PeerSettings,
        listen: str,
        node: NodeSettings,
        incarnation: str,
        fold: Fold,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        self._settings = settings
        self._listen = listen
        self._node = node
        self._incarnation = incarnation
        self._fold = fold
        self._clock = clock
        self._metrics = metrics
        self._codec = FrameCodec(node.deployment, incarnation, read_secret(settings.secret_file))
        self._digest_store = DigestStore(incarnation, settings.batch_bytes, clock)
        self._transport = PeerTransport(
            listen, node.deployment, settings.tls, self._receive, metrics
        )
        self._roster = Roster(
            settings, listen, incarnation, fold, self._digest_store, self._transport, clock
        )
        self._digest_builder = DigestBuilder(settings, listen, node, incarnation, fold)
        self._state_transfer = StateTransfer(fold)
        self._revocations = RevocationSet(fold)
        self._usage = FleetUsage(self._digest_store, clock)
        self._topic_listeners: dict[str, Callable[[str, bytes], None]] = {}
        self._nonces = itertools.count(secrets.randbits(32))
        self._ping_epochs: dict[int, int] = {}
        self._relayed_offset = 0
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="peers-ping", daemon=True)

    def attach(self, follower: Follower, sink: RecordSink, client: LogClient) -> None:
        """Create the parts that need the log client; to be called once, before :meth:`start`."""
        self._follower = follower
        self._permits = EscrowPermits(
            self._settings.permits,
            self._incarnation,
            self._fold,
            sink,
            self,
            self._clock,
            self._metrics,
        )
        self._digest_builder.attach(follower, self._permits)
        self._connectivity = Connectivity(
            self._settings,
            self._node.zone,
            follower,
            self._roster,
            self._digest_store,
            self._permits,
        )
        recovery = RecoveryProposer(self._incarnation, self._fold, sink, self._clock, self._metrics)
        self._watch = PlatformWatch(
            self._settings.instance_list,
            client,
            self._fold,
            self._roster,
            self._permits.guard,
            recovery,
            self._clock,
            self._metrics,
        )
        self._revocations.add_listener(self._broadcast_revocations)
        self._fold.add_listener(self._on_fold)

    @property
    def permits(self) -> EscrowPermits:
        """Permits that this entry holds."""
        return self._permits

    @property
    def revocations(self) -> RevocationSet:
        """Keys revoked by the log, a peer or an operator."""
        return self._revocations

    @property
    def usage(self) -> FleetUsage:
        """Counts of the requests that run through other entries."""
        return self._usage

    @property
    def connectivity(self) -> Connectivity:
        """Whether this entry can reach the log service and the other zones."""
        return self._connectivity

    @property
    def roster(self) -> Roster:
        """The peers and their status."""
        return self._roster

    @property
    def digest_builder(self) -> DigestBuilder:
        """Builder of this entry's digest; accepts a running counter and topic payloads."""
        return self._digest_builder

    def digests(self) -> list[Digest]:
        """Return the latest digest of every peer."""
        return self._digest_store.digests()

    def on_topic_payload(self, topic: str, listener: Callable[[str, bytes], None]) -> None:
        """Call ``listener`` with the incarnation and payload of ``topic`` in each new digest."""
        self._topic_listeners[topic] = listener

    def start(self) -> None:
        """Start the threads of the node and of its parts."""
        self._transport.start()
        self._permits.start()
        self._watch.start()
        self._thread.start()

    def leave(self) -> None:
        """Announce the shutdown to peers, and return idle permits by a log record."""
        self._digest_builder.set_leaving()
        self._permits.leave()
        self._ping_round()

    def stop(self) -> None:
        """Stop all threads and close all sockets."""
        self._stop.set()
        self._wake.set()
        self._watch.stop()
        self._permits.stop()
        self._transport.stop()

    def send(self, incarnation: str, body: Any) -> None:
        """Send a message to a peer; ignored if its address is not known."""
        address = self._roster.address_of(incarnation)
        if address is not None:
            self._transport.send(address, self._codec.encode(incarnation, body))

    def holders_of(self, resource: str) -> list[str]:
        """Return the peers whose digests offer permits of ``resource``, largest count first."""
        found = []
        for digest in self._digest_store.digests():
            counts = [item.count for item in digest.spare if item.resource == resource]
            if counts:
                found.append((-counts[0], digest.incarnation))
        return [incarnation for _, incarnation in sorted(found)]

    def fetch_state(self) -> tuple[bytes, int] | None:
        """Return a peer's encoded state and its next offset; None if no complete one arrives."""
        return self._state_transfer.fetch(
            self._broadcast, self._listen, self._clock, _FETCH_TIMEOUT_S
        )

    def _broadcast(self, body: PeerBody) -> None:
        for target in self._roster.targets():
            self._send_to(target, body)

    def _send_to(self, target: PeerTarget, body: PeerBody) -> None:
        self._transport.send(target.address, self._codec.encode(target.incarnation, body))

    def _run(self) -> None:
        next_ping_s = self._clock.monotonic()
        for count in itertools.count(1):
            if self._stop.is_set():
                return
            self._wake.clear()
            self._relay_new_records()
            if self._clock.monotonic() >= next_ping_s:
                next_ping_s = self._clock.monotonic() + self._settings.gossip_interval_s
                self._ping_round()
            if count % _LOOPS_PER_HOUSEKEEPING == 0:
                self._digest_store.drop_expired()
                self._transport.reload_certificates()
            self._clock.wait(self._wake, max(0.0, next_ping_s - self._clock.monotonic()))

    def _ping_round(self) -> None:
        self._digest_store.set_own(self._digest_builder.digest())
        for target in self._roster.next_targets():
            nonce = next(self._nonces)
            self._ping_epochs[nonce] = self._permits.guard.epoch
            # Nonces are consecutive: this bounds the map to 64 unanswered pings.
            self._ping_epochs.pop(nonce - 64, None)
            self._send_to(target, Ping(nonce, self._digest_store.select()))

    def _receive(self, data: bytes) -> None:
        try:
            frame = self._codec.decode(data)
        except FrameRefusedError as error:
            self._metrics.count(f"peers.refused.{error.refusal.value}")
            return
        self._roster.record_frame(frame.sender)
        if not frame.is_addressed and not isinstance(frame.body, Ping | StateRequest):
            self._metrics.count("peers.refused.not-addressed")
            return
        try:
            self._handle(frame.body, frame.sender)
        except AlmondError as error:
            self._metrics.count(f"peers.failed.{error.code}")

    @singledispatchmethod
    def _handle(self, body: object, sender: str) -> None:
        self._metrics.count("peers.refused.unknown-body")

    @_handle.register
    def _(self, body: Ping, sender: str) -> None:
        self._merge_digests(body.digests)
        self.send(sender, Ack(body.nonce, self._digest_store.select()))
        self._send_missing_records(sender)

    @_handle.register
    def _(self, body: Ack, sender: str) -> None:
        self._merge_digests(body.digests)
        self._send_missing_records(sender)
        digest = self._digest_store.digest_of(sender)
        epoch = self._ping_epochs.pop(body.nonce, None)
        if epoch is not None and digest is not None and digest.is_log_reachable:
            self._permits.guard.record_head(epoch, digest.offset)

    @_handle.register
    def _(self, body: RecordsPush, sender: str) -> None:
        count = self._follower.fold_entries(list(body.entries))
        self._metrics.count("peers.records-relayed", count)

    @_handle.register
    def _(self, body: Revoked, sender: str) -> None:
        self._revocations.add_all(body.key_ids)

    @_handle.register
    def _(self, body: StateRequest, sender: str) -> None:
        for part in self._state_transfer.parts():
            self._transport.send(body.address, self._codec.encode(sender, part))

    @_handle.register
    def _(self, body: StatePart, sender: str) -> None:
        self._state_transfer.add_part(sender, body)

    @_handle.register
    def _(self, body: PermitRequest, sender: str) -> None:
        self._permits.handle_request(sender, body)

    @_handle.register
    def _(self, body: TransferTotals, sender: str) -> None:
        self._permits.handle_totals(sender, body)

    @_handle.register
    def _(self, body: TransferTotalsAck, sender: str) -> None:
        self._permits.handle_totals_ack(sender, body)

    def _merge_digests(self, encoded: tuple[EncodedDigest, ...]) -> None:
        for digest in self._digest_store.merge(encoded):
            for remark in digest.remarks:
                listener = self._topic_listeners.get(remark.topic)
                if listener is not None:
                    listener(digest.incarnation, remark.data)

    def _broadcast_revocations(self, key_ids: tuple[str, ...]) -> None:
        self._metrics.count("peers.revocations-heard", len(key_ids))
        self._broadcast(Revoked(key_ids))

    def _on_fold(self, delta: FoldDelta) -> None:
        self._permits.wake()
        self._wake.set()

    def _send_missing_records(self, peer: str) -> None:
        """Send log records to a peer whose digest has a lower offset."""
        digest = self._digest_store.digest_of(peer)
        if digest is not None and digest.offset < self._fold.next_offset:
            entries = self._fold.records_since(digest.offset, _MAX_PUSH_RECORDS)
            if entries:
                self.send(peer, RecordsPush(tuple(entries)))

    def _relay_new_records(self) -> None:
        """Send newly folded records to the peers that cannot reach the log."""
        first, self._relayed_offset = self._relayed_offset, self._fold.next_offset
        if first == self._relayed_offset or self._connectivity.is_log_silent:
            return
        entries = tuple(self._fold.records_since(first, _MAX_PUSH_RECORDS))
        for digest in self._digest_store.digests() if entries else ():
            if not digest.is_log_reachable and self._is_relay_for(digest.incarnation):
                self.send(digest.incarnation, RecordsPush(entries))

    def _is_relay_for(self, peer: str) -> bool:
        """Return True if rendezvous hashing makes this entry one of the relays of ``peer``."""
        readers = [
            item.incarnation for item in self._digest_store.digests() if item.is_log_reachable
        ]
        order = sorted(
            [*readers, self._incarnation],
            key=lambda item: xxhash.xxh64_intdigest(f"{peer}|{item}".encode()),
        )
        return self._incarnation in order[:_RELAYS_PER_PEER]
