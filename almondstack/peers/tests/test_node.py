"""Peer nodes exchange permits, records, state and revocations over TCP and TLS."""

import time
from collections.abc import Callable

import pynng
import pytest
import trustme

from almondstack.core import TlsSettings, encode_msgpack
from almondstack.log import FLEET
from almondstack.model import KeyRevoked, encode_record
from almondstack.peers import ConnectivityState, PeerStatus, RunningCount
from almondstack.peers.frames import MAX_FRAME_BYTES, FrameCodec
from almondstack.peers.messages import Revoked
from almondstack.permits import ceiling_resource
from almondstack.testing.builders import make_note, make_team
from almondstack.testing.peer_fleet import FleetNode, PeerFleet

NORTH = ceiling_resource("north")


def _until(condition: Callable[[], bool], timeout_s: float = 8.0) -> None:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "condition not met before the time-out"
        time.sleep(0.01)


def _all_connected(nodes: list[FleetNode]) -> bool:
    return all(
        node.peers.roster.has_recent_frame(other.incarnation)
        for node in nodes
        for other in nodes
        if other is not node
    )


def _note(ceiling: int = 3):
    return make_note(teams=(make_team(ceiling=ceiling),))


def test_entry_collects_all_permits_of_a_small_ceiling():
    with PeerFleet(_note(), "abc" + "ab") as fleet:
        _until(lambda: sum(n.peers.permits.held_count(NORTH) for n in fleet.nodes) == 3)
        for node in fleet.nodes:
            permits = node.peers.permits
            permits.set_demand(NORTH, 3)
            _until(lambda permits=permits: permits.held_count(NORTH) == 3)
            permits.set_demand(NORTH, 0)
            assert permits.try_acquire([NORTH])
            permits.release([NORTH])


def test_disconnected_entry_receives_log_records_from_a_peer():
    with PeerFleet(_note(), "abc") as fleet:
        _until(lambda: _all_connected(fleet.nodes))
        disconnected = fleet.nodes[0]
        disconnected.client.is_disconnected = True
        _until(lambda: disconnected.peers.connectivity.state is ConnectivityState.RELAYED)
        fleet.log.append(FLEET, [encode_record("operator", 2, KeyRevoked("k1"))])
        _until(lambda: "k1" in disconnected.fold.state.revoked)
        assert not disconnected.peers.connectivity.is_cut_off


def test_log_outage_is_distinguished_from_being_cut_off():
    with PeerFleet(_note(), "aab") as fleet:
        _until(lambda: _all_connected(fleet.nodes))
        for node in fleet.nodes:
            node.client.is_disconnected = True
        first, _, other = fleet.nodes
        _until(lambda: first.peers.connectivity.state is ConnectivityState.LOG_OUTAGE)
        other.stop()
        _until(lambda: first.peers.connectivity.is_cut_off)
        assert first.peers.connectivity.silent_zones() == ("b",)
        _until(lambda: first.peers.roster.status_of(other.incarnation) is PeerStatus.DEAD)


def test_revocation_reaches_peers_during_a_log_outage():
    with PeerFleet(_note(), "abc") as fleet:
        _until(lambda: _all_connected(fleet.nodes))
        for node in fleet.nodes:
            node.client.is_disconnected = True
        fleet.nodes[0].peers.revocations.add("k1")
        _until(lambda: all(n.peers.revocations.is_revoked("k1") for n in fleet.nodes))


def test_starting_entry_fetches_the_state_from_a_peer_during_a_log_outage():
    with PeerFleet(_note(), "ab") as fleet:
        _until(lambda: _all_connected(fleet.nodes))
        seeds = (fleet.nodes[0].listen,)
        new_node = fleet.add("e9", "a", has_joined=False, seeds=seeds)
        new_node.client.is_disconnected = True
        new_node.start()
        _until(lambda: "north" in new_node.fold.state.teams)
        assert new_node.fold.next_offset == fleet.nodes[0].fold.next_offset


def test_running_counts_are_summed_and_a_leaving_peer_is_detected():
    with PeerFleet(_note(), "abc") as fleet:
        first, second, third = fleet.nodes
        second.peers.digest_builder.set_running_counter(lambda: [RunningCount("score", "north", 2)])
        third.peers.digest_builder.set_running_counter(lambda: [RunningCount("score", "north", 3)])
        _until(lambda: first.peers.usage.running_elsewhere("score", "north") == 5)
        second.peers.leave()
        _until(lambda: first.peers.roster.status_of(second.incarnation) is PeerStatus.LEAVING)
        assert not second.peers.permits.is_start_allowed


def _assert_refused(node: FleetNode, data: bytes, reason: str) -> None:
    address = node.listen
    with pynng.Push0() as push:
        push.dial(f"tcp://{address}", block=True)
        push.send(data)
        _until(lambda: node.metrics.total(f"peers.refused.{reason}") == 1)


def test_unauthentic_misaddressed_and_malformed_frames_are_refused_and_counted(tmp_path):
    secret = tmp_path / "secret"
    secret.write_text("right")
    with PeerFleet(_note(), "a", secret_file=str(secret)) as fleet:
        node = fleet.nodes[0]
        body = Revoked(("k1",))
        own = node.incarnation
        _assert_refused(node, FrameCodec("fleet", "x", b"wrong").encode(own, body), "wrong-key")
        _assert_refused(
            node, FrameCodec("other", "x", b"right").encode(own, body), "other-deployment"
        )
        _assert_refused(
            node, FrameCodec("fleet", "x", b"right").encode("e0~old", body), "other-receiver"
        )
        _assert_refused(node, FrameCodec("fleet", "x", b"right").encode("", body), "not-addressed")
        _assert_refused(node, b"\xc1garbage", "garbage")
        _assert_refused(node, encode_msgpack(b"x" * MAX_FRAME_BYTES), "oversized")
        assert not node.peers.revocations.is_revoked("k1")
        valid_frame = FrameCodec("fleet", "x", b"right").encode(own, body)
        with pynng.Push0() as push:
            push.dial(f"tcp://{node.listen}", block=True)
            push.send(valid_frame)
            _until(lambda: node.peers.revocations.is_revoked("k1"))


def _write_certificate(authority: trustme.CA, folder, identity: str) -> TlsSettings:
    certificate = authority.issue_cert(identity)
    paths = [folder / name for name in ("cert.pem", "key.pem", "ca.pem")]
    certificate.private_key_and_cert_chain_pem.write_to_path(paths[0])
    certificate.private_key_pem.write_to_path(paths[1])
    authority.cert_pem.write_to_path(paths[2])
    return TlsSettings(
        certificate_file=str(paths[0]),
        private_key_file=str(paths[1]),
        authority_file=str(paths[2]),
    )


def test_tls_peers_stay_connected_after_a_certificate_reload(tmp_path):
    tls = _write_certificate(trustme.CA(), tmp_path, "fleet")
    with PeerFleet(_note(), "ab", tls=tls) as fleet:
        _until(lambda: _all_connected(fleet.nodes))
        _write_certificate(trustme.CA(), tmp_path, "fleet")
        _until(lambda: all(n.metrics.total("peers.certificates-reloaded") for n in fleet.nodes))
        received = [n.metrics.total("peers.received") for n in fleet.nodes]
        _until(
            lambda: all(
                n.metrics.total("peers.received") > count + 5
                for n, count in zip(fleet.nodes, received, strict=True)
            )
        )


def test_tls_handshake_fails_without_a_certificate_of_the_deployment(tmp_path):
    tls = _write_certificate(trustme.CA(), tmp_path, "fleet")
    with PeerFleet(_note(), "a", tls=tls) as fleet:
        address = fleet.nodes[0].listen
        with pynng.Push0() as push, pytest.raises(pynng.exceptions.NNGException):
            push.tls_config = pynng.TLSConfig(
                pynng.TLSConfig.MODE_CLIENT,
                server_name="fleet",
                ca_string=trustme.CA().cert_pem.bytes().decode(),
            )
            push.dial(f"tls+tcp://{address}", block=True)
