from almondstack.core import NullMetrics
from almondstack.entry.listing import ListWatch
from almondstack.provider import ListedInstance
from almondstack.testing.clocks import ManualClock


def listed(name: str, **fields) -> ListedInstance:
    defaults = {"zone": "a", "rack": "a1", "role": "upstream", "address": "127.0.0.1:1"}
    return ListedInstance(name, **{**defaults, **fields})


def test_gone_and_leaving_instances_are_leaving():
    watch = ListWatch(None, ManualClock(), NullMetrics())
    watch.take((listed("u1"), listed("u2"), listed("u3"), listed("e1", role="entry")))
    assert watch.leaving() == frozenset()
    watch.take((listed("u1"), listed("u2", is_leaving=True)))
    assert watch.leaving() == {"u2", "u3"}


def test_empty_list_is_not_believed():
    watch = ListWatch(None, ManualClock(), NullMetrics())
    watch.take((listed("u1"),))
    watch.take(())
    assert watch.leaving() == frozenset()
