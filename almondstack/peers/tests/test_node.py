import time
from collections.abc import Callable

import pynng
import pytest
import trustme

from almondstack.core import TlsSettings, encode_msgpack
from almondstack.log import FLEET
from almondstack.model import KeyRevoked, encode_record
from almondstack.peers import PeerStatus, Reach, RunningCount
from almondstack.peers.frames import MAX_FRAME_BYTES, FrameCodec
from almondstack.peers.messages import Revoked
from almondstack.permits import ceiling_resource
from almondstack.testing.builders import make_note, make_team
from almondstack.testing.peer_fleet import FleetNode, PeerFleet

NORTH = ceiling_resource("north")


def _until(condition: Callable[[], bool], timeout_s: float = 8.0) -> None:
    deadline_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline_s, "not in time"
        time.sleep(0.01)


def _all_hear(nodes: list[FleetNode]) -> bool:
    return all(
        node.peers.roster.is_heard(other.incarnation)
        for node in nodes
        for other in nodes
        if other is not node
    )


def _note(ceiling: int = 3):
    return make_note(teams=(make_team(ceiling=ceiling),))


def test_small_ceiling_is_used_from_every_entry():
    with PeerFleet(_note(), "abc" + "ab") as fleet:
        _until(lambda: sum(n.peers.permits.held_count(NORTH) for n in fleet.nodes) == 3)
        for node in fleet.nodes:
            permits = node.peers.permits
            permits.set_demand(NORTH, 3)
            _until(lambda permits=permits: permits.held_count(NORTH) == 3)
            permits.set_demand(NORTH, 0)
            assert permits.try_acquire([NORTH])
            permits.release([NORTH])


def test_entry_without_the_log_stays_current_through_a_peer():
    with PeerFleet(_note(), "abc") as fleet:
        _until(lambda: _all_hear(fleet.nodes))
        deaf = fleet.nodes[0]
        deaf.client.is_out = True
        _until(lambda: deaf.peers.connectivity.reach is Reach.RELAYED)
        fleet.log.append(FLEET, [encode_record("operator", 2, KeyRevoked("k1"))])
        _until(lambda: "k1" in deaf.fold.state.revoked)
        assert not deaf.peers.connectivity.is_cut_off


def test_outage_of_the_log_is_told_from_being_cut_off():
    with PeerFleet(_note(), "aab") as fleet:
        _until(lambda: _all_hear(fleet.nodes))
        for node in fleet.nodes:
            node.client.is_out = True
        first, _, other = fleet.nodes
        _until(lambda: first.peers.connectivity.reach is Reach.LOG_OUTAGE)
        other.stop()
        _until(lambda: first.peers.connectivity.is_cut_off)
        assert first.peers.connectivity.silent_zones() == ("b",)
        _until(lambda: first.peers.roster.status_of(other.incarnation) is PeerStatus.DEAD)


def test_revocation_reaches_peers_while_the_log_is_out():
    with PeerFleet(_note(), "abc") as fleet:
        _until(lambda: _all_hear(fleet.nodes))
        for node in fleet.nodes:
            node.client.is_out = True
        fleet.nodes[0].peers.revocations.add("k1")
        _until(lambda: all(n.peers.revocations.is_revoked("k1") for n in fleet.nodes))


def test_newcomer_gets_the_state_from_a_peer_while_the_log_is_out():
    with PeerFleet(_note(), "ab") as fleet:
        _until(lambda: _all_hear(fleet.nodes))
        seeds = (fleet.nodes[0].listen,)
        newcomer = fleet.add("e9", "a", has_joined=False, seeds=seeds)
        newcomer.client.is_out = True
        newcomer.start()
        _until(lambda: "north" in newcomer.fold.state.teams)
        assert newcomer.fold.next_offset == fleet.nodes[0].fold.next_offset


def test_running_totals_are_exchanged_and_leaving_is_seen():
    with PeerFleet(_note(), "abc") as fleet:
        first, second, third = fleet.nodes
        second.peers.source.set_running(lambda: [RunningCount("score", "north", 2)])
        third.peers.source.set_running(lambda: [RunningCount("score", "north", 3)])
        _until(lambda: first.peers.usage.running_elsewhere("score", "north") == 5)
        second.peers.leave()
        _until(lambda: first.peers.roster.status_of(second.incarnation) is PeerStatus.LEAVING)
        assert not second.peers.permits.is_start_allowed


def _refused(node: FleetNode, data: bytes, reason: str) -> None:
    address = node.listen
    with pynng.Push0() as push:
        push.dial(f"tcp://{address}", block=True)
        push.send(data)
        _until(lambda: node.metrics.total(f"peers.refused.{reason}") == 1)


def test_foreign_and_broken_frames_are_refused_and_counted(tmp_path):
    secret = tmp_path / "secret"
    secret.write_text("right")
    with PeerFleet(_note(), "a", secret_file=str(secret)) as fleet:
        node = fleet.nodes[0]
        body = Revoked(("k1",))
        own = node.incarnation
        _refused(node, FrameCodec("fleet", "x", b"wrong").seal(own, body), "wrong-key")
        _refused(node, FrameCodec("other", "x", b"right").seal(own, body), "other-deployment")
        _refused(node, FrameCodec("fleet", "x", b"right").seal("e0~old", body), "other-receiver")
        _refused(node, FrameCodec("fleet", "x", b"right").seal("", body), "not-addressed")
        _refused(node, b"\xc1garbage", "garbage")
        _refused(node, encode_msgpack(b"x" * MAX_FRAME_BYTES), "oversized")
        assert not node.peers.revocations.is_revoked("k1")
        right = FrameCodec("fleet", "x", b"right").seal(own, body)
        with pynng.Push0() as push:
            push.dial(f"tcp://{node.listen}", block=True)
            push.send(right)
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


def test_tls_peers_hear_one_another_and_take_new_certificates(tmp_path):
    tls = _write_certificate(trustme.CA(), tmp_path, "fleet")
    with PeerFleet(_note(), "ab", tls=tls) as fleet:
        _until(lambda: _all_hear(fleet.nodes))
        _write_certificate(trustme.CA(), tmp_path, "fleet")
        _until(lambda: all(n.metrics.total("peers.certificates-reloaded") for n in fleet.nodes))
        received = [n.metrics.total("peers.received") for n in fleet.nodes]
        _until(
            lambda: all(
                n.metrics.total("peers.received") > count + 5
                for n, count in zip(fleet.nodes, received, strict=True)
            )
        )


def test_tls_refuses_a_peer_without_a_right_certificate(tmp_path):
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
