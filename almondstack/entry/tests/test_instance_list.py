"""Upstreams that leave, as computed from the platform's list of instances."""

from almondstack.core import LocalMetrics
from almondstack.entry.instance_list import InstanceListPoller
from almondstack.provider import ListedInstance
from almondstack.testing.clocks import ManualClock


def listed(name: str, **fields) -> ListedInstance:
    defaults = {"zone": "a", "rack": "a1", "role": "upstream", "address": "127.0.0.1:1"}
    return ListedInstance(name, **{**defaults, **fields})


def test_missing_and_leaving_instances_are_reported_as_leaving():
    poller = InstanceListPoller(None, ManualClock(), LocalMetrics())
    poller.update((listed("u1"), listed("u2"), listed("u3"), listed("e1", role="entry")))
    assert poller.leaving() == frozenset()
    poller.update((listed("u1"), listed("u2", is_leaving=True)))
    assert poller.leaving() == {"u2", "u3"}


def test_empty_list_is_ignored():
    poller = InstanceListPoller(None, ManualClock(), LocalMetrics())
    poller.update((listed("u1"),))
    poller.update(())
    assert poller.leaving() == frozenset()
