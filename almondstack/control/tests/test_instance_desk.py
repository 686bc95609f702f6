"""Orders to instances: how many at one time, and in which order."""

import threading

from almondstack.control.instance_desk import InstanceDesk
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.control.paced_calls import PacedCalls
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex

_WAIT_S = 10.0


class _Services:
    """An instance service whose orders wait until the test lets them pass."""

    def __init__(self, most_under_way=1):
        self.book = JobIndex()
        self.control = ControlSettings(instance_orders_per_s=1_000.0)
        self.events = EventLog("test")
        self.metrics = NullMetrics()
        self.instances = self
        self.under_way = threading.Barrier(most_under_way)

    def move(self, instance, pool, token):
        """Answer once as many orders are under way as the test waits for."""
        self.under_way.wait(_WAIT_S)
        return OrderStatus.DONE


def _listed(desk, *names):
    for name in names:
        desk._instances[name] = InstanceInfo(name, "q", InstanceState.UP, "a", "r", 4_000, "")


def test_burst_orders_to_many_instances_go_side_by_side():
    """A pool needs dozens of instances at once (magnolia-pay-grown, quiet-1 from 16 s)."""
    services = _Services(most_under_way=4)
    desk = InstanceDesk(services, 1)
    desk.start()
    for number in range(4):
        desk.move(f"m{number}", "p")
    # Each order waits for the three others; one after another none would end.
    desk._orders.close()
    for thread in desk._orders._threads:
        thread.join(_WAIT_S)
    assert not services.under_way.broken
    assert all(pending.replied_s is not None for pending in desk._pending.values())


def test_an_ordered_instance_shows_where_it_goes_and_gets_no_other_order():
    desk = InstanceDesk(_Services(), 1)
    _listed(desk, "m", "n")
    desk.move("m", "p")
    shown = {info.name: (info.pool, info.state) for info in desk.instances()}
    assert shown == {"m": ("p", InstanceState.MOVING), "n": ("q", InstanceState.UP)}
    assert not desk.is_free("m", 0.0) and desk.is_free("n", 0.0)


def test_burst_no_order_waits_behind_a_long_row_of_others():
    """Eighty instances that went to the spare pool held up a burst (trouble-1 at 12 s)."""
    desk = InstanceDesk(_Services(), 1)
    room = desk.room
    assert 0 < room < 80
    for number in range(room):
        desk.move(f"m{number}", "spare")
    assert desk.room == 0
    assert desk._orders.run_next()
    assert desk.room == 1


def test_orders_keep_to_the_rate_of_the_service():
    calls = PacedCalls("x", threads=4, per_s=50.0)
    starts = [calls.reserve_s(1.0) for _ in range(51)]
    assert starts[0] == 0.0 and starts[50] == 1.0


def test_closed_calls_end_after_those_that_were_put_before():
    made = []
    calls = PacedCalls("x", threads=2, per_s=1_000.0)
    calls.put(lambda: made.append(1))
    calls.close()
    assert calls.run_next() and not calls.run_next() and made == [1]
