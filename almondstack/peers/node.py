"""The links of one entry to its peers, and what the entry uses of them.

Explanation
-----------
One thread receives and one pings.  A ping carries digests and is answered with
digests.  Whoever hears that a peer is behind in the log sends it the records;
a peer that does not reach the log gets new records from two of the others as
soon as they are folded.

Examples
--------
An entry wires it in this order::

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
from almondstack.peers.board import DigestBoard
from almondstack.peers.connectivity import Connectivity
from almondstack.peers.digests import DigestSource
from almondstack.peers.frames import FrameCodec, FrameRefusedError, read_secret
from almondstack.peers.messages import (
    Ack,
    Digest,
    PeerBody,
    Ping,
    RecordsPush,
    Revoked,
    SealedDigest,
    StateAsk,
    StatePart,
)
from almondstack.peers.revocations import RevocationSet
from almondstack.peers.roster import PeerTarget, Roster
from almondstack.peers.settings import PeerSettings
from almondstack.peers.state_transfer import StateTransfer
from almondstack.peers.transport import PeerTransport
from almondstack.peers.usage import FleetUsage
from almondstack.peers.watch import PlatformWatch
from almondstack.permits import (
    EscrowPermits,
    PermitAsk,
    PermitTotals,
    PermitTotalsSeen,
    RecordSink,
    RecoveryProposer,
)

__all__ = ["PeerNode"]

_RELAY_RECORDS = 200
_RELAYERS = 2
_FETCH_TIMEOUT_S = 3.0
_HOUSEKEEPING_PINGS = 20

_log = PartLogger("peers")


class PeerNode:
    """One entry among its peers.

    Parameters
    ----------
    settings : PeerSettings
        All settings of the links.
    listen : str
        Numeric address that peers reach.
    node : NodeSettings
        Deployment, name and zone.
    incarnation : str
        Name of this life of the process.
    fold : Fold
        The folded state.
    clock : Clock
        Waits and ages.
    metrics : LocalMetrics
        Counts messages and refusals.
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
        self._board = DigestBoard(incarnation, settings.batch_bytes, clock)
        self._transport = PeerTransport(
            listen, node.deployment, settings.tls, self._receive, metrics
        )
        self._roster = Roster(
            settings, listen, incarnation, fold, self._board, self._transport, clock
        )
        self._source = DigestSource(settings, listen, node, incarnation, fold)
        self._states = StateTransfer(fold)
        self._revocations = RevocationSet(fold)
        self._usage = FleetUsage(self._board, clock)
        self._remark_listeners: dict[str, Callable[[str, bytes], None]] = {}
        self._nonces = itertools.count(secrets.randbits(32))
        self._epochs: dict[int, int] = {}
        self._relayed_offset = 0
        self._stop = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, name="peers-ping", daemon=True)

    def attach(self, follower: Follower, sink: RecordSink, client: LogClient) -> None:
        """Connect the parts that need this one; to be called once, before :meth:`start`."""
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
        self._source.attach(follower, self._permits)
        self._connectivity = Connectivity(
            self._settings, self._node.zone, follower, self._roster, self._board, self._permits
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
        self._revocations.add_listener(self._spread_revocations)
        self._fold.add_listener(self._note_folded)

    @property
    def permits(self) -> EscrowPermits:
        """Permits of this entry."""
        return self._permits

    @property
    def revocations(self) -> RevocationSet:
        """Keys that were revoked by any route."""
        return self._revocations

    @property
    def usage(self) -> FleetUsage:
        """What runs through other entries."""
        return self._usage

    @property
    def connectivity(self) -> Connectivity:
        """Whether this entry hears the log and the other zones."""
        return self._connectivity

    @property
    def roster(self) -> Roster:
        """Who the peers are."""
        return self._roster

    @property
    def source(self) -> DigestSource:
        """Takes what this entry says of itself: running totals and remarks."""
        return self._source

    def digests(self) -> list[Digest]:
        """Return the latest digest of every peer."""
        return self._board.digests()

    def on_remark(self, topic: str, listener: Callable[[str, bytes], None]) -> None:
        """Call ``listener`` with incarnation and bytes when a remark of ``topic`` is new."""
        self._remark_listeners[topic] = listener

    def start(self) -> None:
        """Start all threads."""
        self._transport.start()
        self._permits.start()
        self._watch.start()
        self._thread.start()

    def leave(self) -> None:
        """Tell peers that this entry goes, and return its permits by record."""
        self._source.set_leaving()
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
        """Send to a peer if its address is known."""
        address = self._roster.address_of(incarnation)
        if address is not None:
            self._transport.send(address, self._codec.seal(incarnation, body))

    def holders_of(self, resource: str) -> list[str]:
        """Return peers that said they have permits to spare, most first."""
        found = []
        for digest in self._board.digests():
            counts = [item.count for item in digest.spare if item.resource == resource]
            if counts:
                found.append((-counts[0], digest.incarnation))
        return [incarnation for _, incarnation in sorted(found)]

    def fetch_state(self) -> tuple[bytes, int] | None:
        """Return a peer's encoded state and its next offset; None if no peer answers."""
        return self._states.fetch(self._broadcast, self._listen, self._clock, _FETCH_TIMEOUT_S)

    def _broadcast(self, body: PeerBody) -> None:
        for target in self._roster.targets():
            self._send_to(target, body)

    def _send_to(self, target: PeerTarget, body: PeerBody) -> None:
        self._transport.send(target.address, self._codec.seal(target.incarnation, body))

    def _run(self) -> None:
        next_ping_s = self._clock.monotonic()
        for count in itertools.count(1):
            if self._stop.is_set():
                return
            self._wake.clear()
            self._relay_new()
            if self._clock.monotonic() >= next_ping_s:
                next_ping_s = self._clock.monotonic() + self._settings.gossip_interval_s
                self._ping_round()
            if count % _HOUSEKEEPING_PINGS == 0:
                self._board.forget_old()
                self._transport.reload_certificates()
            self._clock.wait(self._wake, max(0.0, next_ping_s - self._clock.monotonic()))

    def _ping_round(self) -> None:
        self._board.set_own(self._source.digest())
        for target in self._roster.next_targets():
            nonce = next(self._nonces)
            self._epochs[nonce] = self._permits.guard.epoch
            self._epochs.pop(nonce - 64, None)
            self._send_to(target, Ping(nonce, self._board.pick()))

    def _receive(self, data: bytes) -> None:
        try:
            frame = self._codec.open(data)
        except FrameRefusedError as error:
            self._metrics.count(f"peers.refused.{error.refusal.value}")
            return
        self._roster.note_heard(frame.sender)
        if not frame.is_addressed and not isinstance(frame.body, Ping | StateAsk):
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
        self._take_digests(body.digests)
        self.send(sender, Ack(body.nonce, self._board.pick()))
        self._relay_to(sender)

    @_handle.register
    def _(self, body: Ack, sender: str) -> None:
        self._take_digests(body.digests)
        self._relay_to(sender)
        digest = self._board.digest_of(sender)
        epoch = self._epochs.pop(body.nonce, None)
        if epoch is not None and digest is not None and digest.is_log_reachable:
            self._permits.guard.note_head(epoch, digest.offset)

    @_handle.register
    def _(self, body: RecordsPush, sender: str) -> None:
        count = self._follower.fold_entries(list(body.entries))
        self._metrics.count("peers.records-relayed", count)

    @_handle.register
    def _(self, body: Revoked, sender: str) -> None:
        self._revocations.add_all(body.key_ids)

    @_handle.register
    def _(self, body: StateAsk, sender: str) -> None:
        for part in self._states.parts():
            self._transport.send(body.address, self._codec.seal(sender, part))

    @_handle.register
    def _(self, body: StatePart, sender: str) -> None:
        self._states.take(sender, body)

    @_handle.register
    def _(self, body: PermitAsk, sender: str) -> None:
        self._permits.take_ask(sender, body)

    @_handle.register
    def _(self, body: PermitTotals, sender: str) -> None:
        self._permits.take_totals(sender, body)

    @_handle.register
    def _(self, body: PermitTotalsSeen, sender: str) -> None:
        self._permits.note_totals_seen(sender, body)

    def _take_digests(self, sealed: tuple[SealedDigest, ...]) -> None:
        for digest in self._board.take(sealed):
            for remark in digest.remarks:
                listener = self._remark_listeners.get(remark.topic)
                if listener is not None:
                    listener(digest.incarnation, remark.data)

    def _spread_revocations(self, key_ids: tuple[str, ...]) -> None:
        self._metrics.count("peers.revocations-heard", len(key_ids))
        self._broadcast(Revoked(key_ids))

    def _note_folded(self, delta: FoldDelta) -> None:
        self._permits.wake()
        self._wake.set()

    def _relay_to(self, peer: str) -> None:
        """Send records to a peer that is behind."""
        digest = self._board.digest_of(peer)
        if digest is not None and digest.offset < self._fold.next_offset:
            entries = self._fold.records_since(digest.offset, _RELAY_RECORDS)
            if entries:
                self.send(peer, RecordsPush(tuple(entries)))

    def _relay_new(self) -> None:
        """Send records just folded to the peers that do not reach the log."""
        first, self._relayed_offset = self._relayed_offset, self._fold.next_offset
        if first == self._relayed_offset or self._connectivity.is_log_silent:
            return
        entries = tuple(self._fold.records_since(first, _RELAY_RECORDS))
        for digest in self._board.digests() if entries else ():
            if not digest.is_log_reachable and self._is_relayer(digest.incarnation):
                self.send(digest.incarnation, RecordsPush(entries))

    def _is_relayer(self, peer: str) -> bool:
        reading = [item.incarnation for item in self._board.digests() if item.is_log_reachable]
        order = sorted(
            [*reading, self._incarnation],
            key=lambda item: xxhash.xxh64_intdigest(f"{peer}|{item}".encode()),
        )
        return self._incarnation in order[:_RELAYERS]
