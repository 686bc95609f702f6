"""Instance-seconds that pools are paid for, by use."""

from hypothesis import given
from hypothesis import strategies as st

from almondstack.capacity import PaidInstance, PaidUse, PoolNeed, PoolState, paid_uses
from almondstack.control.messages import InstanceInfo, InstanceState
from almondstack.control.paid_time_recorder import PaidTimeRecorder
from almondstack.core import LocalMetrics
from almondstack.testing.job_builders import make_job, make_step, make_worker


class _EventLog:
    def __init__(self):
        self.events = []

    def write(self, name, **fields):
        self.events.append(fields)


def _instance(name, state=InstanceState.UP, worker=""):
    return InstanceInfo(name, "p", state, "z", "r", 4_000, worker)


_shares = st.floats(0.0, 0.5)
_instances = st.builds(
    PaidInstance,
    _shares,
    _shares,
    st.sampled_from([None, PaidUse.COMING, PaidUse.LEAVING, PaidUse.UNUSABLE]),
)


@given(st.lists(_instances, max_size=30), st.integers(0, 40))
def test_uses_add_up_to_the_number_of_instances(instances, wanted):
    uses = paid_uses(instances, wanted)
    assert abs(sum(uses.values()) - len(instances)) < 1e-6
    assert all(share >= 0 for share in uses.values())


def test_an_event_attributes_each_instance_second_to_a_use():
    log = _EventLog()
    recorder = PaidTimeRecorder(log, LocalMetrics())
    busy, idle, leaving = make_worker("w1"), make_worker("w2"), make_worker("w3")
    for task in make_job(make_step(3)).steps_of(0)[0]:
        busy.put(task)
    busy.put(make_job(make_step(is_long_running=True), id="l").steps_of(0)[0][0])
    leaving.is_reserved = True
    instances = [
        _instance("i1", worker="w1"),
        _instance("i2", worker="w2"),
        _instance("i3", worker="w3"),
        _instance("i4", InstanceState.MOVING),
        _instance("i5", InstanceState.MAINTENANCE),
        _instance("i6", InstanceState.DOWN),
    ]
    workers = {worker.id: worker for worker in (busy, idle, leaving)}
    state = PoolState("p", PoolNeed(), [])
    for tenth in range(21):
        recorder.record(instances, [state], {"p": 1}, workers, tenth / 10)
    (event,) = log.events
    assert event["pools"]["p"] == {
        "leaving": 2.0,
        "coming": 2.0,
        "maintained": 2.0,
        "lasting": 0.5,
        "running": 1.5,
        "excess": 2.0,
    }
