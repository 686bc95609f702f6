"""Hypothesis state machine for the scheduler, with fake permits and a manual clock."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from almondstack.core import Reason, RequestError
from almondstack.model import Team
from almondstack.permits import ceiling_resource, slots_resource
from almondstack.queueing import WaitingCall, WaitingState
from almondstack.testing.scheduling import SchedulerHarness, make_call

TEAMS = (
    Team(name="north", share=1, ceiling=2),
    Team(name="south", share=3, ceiling=4),
    Team(name="east", share=2, ceiling=1),
)
INSTANCES = ("u1", "u2")
_LONG_S = 1000.0


class SchedulerMachine(RuleBasedStateMachine):
    """Compares the scheduler with a model: dictionaries of waiting and running calls."""

    def __init__(self) -> None:
        super().__init__()
        self.harness = SchedulerHarness(TEAMS)
        self.waiting: dict[str, WaitingCall] = {}
        self.running: dict[str, WaitingCall] = {}
        self.paused: dict[str, WaitingCall] = {}
        self.ended: dict[str, WaitingCall] = {}
        self.starts: dict[str, int] = {}
        self.allowed_starts: dict[str, int] = {}

    @rule(team=st.sampled_from(TEAMS), is_urgent=st.booleans(), is_short=st.booleans())
    def admit(self, team: Team, is_urgent: bool, is_short: bool) -> None:
        deadline_s = self.harness.clock.monotonic() + (1.0 if is_short else _LONG_S)
        call_id = f"call-{len(self.starts):04d}"
        call = make_call(team, deadline_s, is_urgent=is_urgent, call_id=call_id)
        try:
            item = self.harness.scheduler.admit(call)
        except RequestError as error:
            assert error.reason is Reason.WAIT_EXCEEDS_DEADLINE
            return
        self.waiting[call.call_id] = item
        self.allowed_starts[call.call_id] = 1
        self.starts[call.call_id] = 0
        self.note_starts()

    @precondition(lambda self: self.running)
    @rule(data=st.data(), is_repeated=st.booleans())
    def finish(self, data: st.DataObject, is_repeated: bool) -> None:
        item = self.running.pop(data.draw(st.sampled_from(sorted(self.running))))
        grant = item.grant
        self.harness.scheduler.finish(grant, 0.5)
        if is_repeated:
            self.harness.scheduler.finish(grant)
        assert item.state is WaitingState.ENDED
        self.ended[item.call.call_id] = item
        self.note_starts()

    @precondition(lambda self: self.running)
    @rule(data=st.data())
    def fail_unsent(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.running)))
        item = self.running.pop(call_id)
        grant = item.grant
        self.harness.scheduler.suspend(grant, has_started=False)
        self.harness.scheduler.finish(grant)
        self.paused[call_id] = item
        self.note_starts()

    @precondition(lambda self: self.paused)
    @rule(data=st.data())
    def requeue(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.paused)))
        item = self.paused.pop(call_id)
        self.waiting[call_id] = item
        self.allowed_starts[call_id] += 1
        self.harness.scheduler.requeue(item, frozenset({"u1"}))
        self.note_starts()

    @precondition(lambda self: self.starts)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        call_id = data.draw(st.sampled_from(sorted(self.starts)))
        item = self.waiting.pop(call_id, None) or self.paused.pop(call_id, None)
        assert self.harness.scheduler.cancel(call_id) is (item is not None)
        if item is not None:
            assert item.reason is Reason.CANCELLED
            self.ended[call_id] = item
        self.note_starts()

    @rule(seconds=st.sampled_from([0.01, 0.3, 2.0]))
    def advance(self, seconds: float) -> None:
        self.harness.clock.advance(seconds)
        now_s = self.harness.clock.monotonic()
        due = [item for item in self.waiting.values() if item.latest_start_s <= now_s]
        for item in due:
            assert self.harness.scheduler.end(item, Reason.DEADLINE_PASSED)
            self.ended[item.call.call_id] = self.waiting.pop(item.call.call_id)
        self.note_starts()

    @rule(
        name=st.sampled_from([ceiling_resource(team.name) for team in TEAMS]),
        held=st.integers(0, 4),
    )
    def move_ceiling(self, name: str, held: int) -> None:
        self.harness.permits.set_held(name, held)
        self.note_starts()

    @rule(
        name=st.sampled_from([slots_resource(name) for name in INSTANCES]), held=st.integers(0, 3)
    )
    def move_slots(self, name: str, held: int) -> None:
        self.harness.permits.set_held(name, held)
        self.note_starts()

    def note_starts(self) -> None:
        """Move started calls to running; urgent calls of a team have to start first."""
        started = [i for i in self.waiting.values() if i.state is WaitingState.RUNNING]
        for item in started:
            call_id = item.call.call_id
            self.running[call_id] = self.waiting.pop(call_id)
            self.starts[call_id] += 1
        left = {item.call.team.name for item in self.waiting.values() if item.call.is_urgent}
        for item in started:
            assert item.call.is_urgent or item.call.team.name not in left

    @invariant()
    def permits_in_use_match_running_calls(self) -> None:
        permits = self.harness.permits
        used = [name for item in self.running.values() for name in item.grant.resources]
        for name in permits.held:
            assert permits.used[name] == used.count(name) <= permits.held[name]

    @invariant()
    def counts_match_the_model(self) -> None:
        scheduler = self.harness.scheduler
        assert scheduler.waiting_count("score") == len(self.waiting)
        for team in TEAMS:
            running = [i for i in self.running.values() if i.call.team.name == team.name]
            assert scheduler.running_count("score", team.name) == len(running)

    @invariant()
    def no_startable_call_waits(self) -> None:
        permits = self.harness.permits
        if not any(permits.free_count(slots_resource(name)) for name in INSTANCES):
            return
        for item in self.waiting.values():
            assert permits.free_count(ceiling_resource(item.call.team.name)) == 0

    @invariant()
    def no_call_starts_too_often(self) -> None:
        assert all(self.starts[name] <= self.allowed_starts[name] for name in self.starts)
        for item in self.ended.values():
            assert item.state is WaitingState.ENDED
