"""Tests of the probes and of the periodic housekeeping."""

import pytest

from almondstack.dispatch import Prober
from almondstack.dispatch.housekeeping import run_housekeeping
from almondstack.dispatch.tests.test_exchanges import upstreams  # noqa: F401
from almondstack.model import EntryJoined, encode_record
from almondstack.permits import slots_resource
from almondstack.testing.dispatching import DispatcherHarness
from almondstack.testing.scripted_upstream import Step

_DRAINS = Step(
    pieces=(b"HTTP/1.1 200 OK\r\nAlmondstack-Draining: yes\r\nContent-Length: 0\r\n\r\n",)
)


def _join(harness, *names):
    for name in names:
        body = EntryJoined(
            incarnation=f"{name}~1",
            name=name,
            zone="a",
            region="r",
            address="127.0.0.1:1",
            peer_address="127.0.0.1:2",
        )
        harness.fold.apply(harness.fold.next_offset, encode_record(f"{name}~1", 1, body))


def test_idle_upstream_is_probed_and_its_draining_is_detected(upstreams):  # noqa: F811
    leaving, staying = upstreams(default=_DRAINS), upstreams()
    harness = DispatcherHarness(leaving.address, staying.address)
    _join(harness, "e1")
    prober = Prober(harness.dispatcher.parts)
    prober.probe_due()
    assert (len(leaving.received), len(staying.received)) == (1, 1)
    assert harness.dispatcher.departures.self_reported() == {"u1"}
    prober.probe_due()
    assert (len(leaving.received), len(staying.received)) == (2, 1)


def test_each_upstream_has_two_probers(upstreams):  # noqa: F811
    upstream = upstreams()
    harness = DispatcherHarness(upstream.address)
    names = ["e1", "e2", "e3", "e4", "e5"]
    _join(harness, *names)
    instance = harness.fold.state.instances["u1"]
    parts = harness.dispatcher.parts
    count = 0
    for name in names:
        parts.node = type(parts.node)(deployment="test", name=name, zone="a")
        count += Prober(parts).is_assigned(instance)
    assert count == 2


@pytest.mark.parametrize("held", [8, 0])
def test_idle_connections_are_closed_with_their_permits(held, upstreams):  # noqa: F811
    upstream = upstreams()
    harness = DispatcherHarness(upstream.address)
    assert harness.body() == b"ok"
    harness.dispatcher.parts.chooser._permits = _Held(harness.permits, held)
    run_housekeeping(harness.dispatcher.parts)
    assert harness.dispatcher.parts.connections.open_count(upstream.address) == min(1, held)


class _Held:
    """Permits of which this entry holds ``held`` for the slots of u1, all free."""

    def __init__(self, permits, held):
        self._permits = permits
        self._held = held

    def held_count(self, resource):
        return self._held if resource == slots_resource("u1") else 0

    free_count = held_count

    def set_demand(self, resource, waiting):
        pass
