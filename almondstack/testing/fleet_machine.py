"""Hypothesis state machine that tests real keepers and folds against a fake platform."""

from collections.abc import Callable

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import invariant, precondition, rule

from almondstack.fleet import FleetView, wave_hold_reason
from almondstack.model import (
    Configured,
    InstanceMoved,
    InstancePhase,
    InstanceRemoved,
    InstanceState,
    InstanceStepped,
    ReleaseNote,
    WaveChanged,
    WavePhase,
    WaveState,
    Withdrawn,
)
from almondstack.testing.fleet_faults import KEEPERS, POOLS
from almondstack.testing.fleet_multi_faults import MultiFaultRules
from almondstack.testing.fleet_notes import spread_instances
from almondstack.testing.fleet_world import WORLD_SETTINGS

__all__ = ["FleetMachine", "run_scripted_cases"]

_MAX_RECOVERY_TICKS = 400
_LONG_PAUSE_S = 120.0
_ROGUE_PHASES = (InstancePhase.DRAINING, InstancePhase.REBOOTING)


class FleetMachine(MultiFaultRules):
    """Actions of keepers and operators, and faults, in any order."""

    @rule(data=st.data(), phase=st.sampled_from(_ROGUE_PHASES))
    def rogue_step(self, data: st.DataObject, phase: InstancePhase) -> None:
        """A faulty keeper proposes a step, which the fold has to validate."""
        item = self._draw_instance(data)
        if item is not None:
            self._submit_rogue(InstanceStepped(item.name, item.version, phase, "rogue"))

    @rule(data=st.data(), pool=st.sampled_from(POOLS))
    def rogue_move(self, data: st.DataObject, pool: str) -> None:
        """A faulty keeper proposes to move and to remove an instance."""
        item = self._draw_instance(data)
        if item is not None and item.phase is not InstancePhase.DRAINED:
            self._submit_rogue(InstanceMoved(item.name, item.version, pool, "rogue"))
            self._submit_rogue(InstanceRemoved(item.name, item.version, "rogue"))

    def _draw_instance(self, data: st.DataObject) -> InstanceState | None:
        names = sorted(self.world.state.instances)
        if not names:
            return None
        return self.world.state.instances[data.draw(st.sampled_from(names))]

    @rule(data=st.data(), phase=st.sampled_from([WavePhase.PAUSED, WavePhase.RUNNING]))
    def change_wave(self, data: st.DataObject, phase: WavePhase) -> None:
        """An operator pauses or resumes a wave."""
        self._change_wave(data, phase)

    @rule(data=st.data())
    def abort_wave(self, data: st.DataObject) -> None:
        """An operator aborts a wave."""
        self._change_wave(data, WavePhase.ABORTED)

    def _change_wave(self, data: st.DataObject, phase: WavePhase) -> None:
        waves = self.world.state.waves
        if waves:
            wave = waves[data.draw(st.sampled_from(sorted(waves)))]
            self.world.submit(WaveChanged(wave.name, wave.version, phase, "operator"))

    @rule(data=st.data())
    def change_spec(self, data: st.DataObject) -> None:
        """An operator changes an instance, or declares it for another pool."""
        specs = [item.spec for item in self.world.state.instances.values() if not item.is_withdrawn]
        if not specs:
            return
        spec = data.draw(st.sampled_from(sorted(specs, key=lambda item: item.name)))
        pool = data.draw(st.sampled_from([spec.pool, *POOLS]))
        changed = msgspec.structs.replace(spec, pool=pool, slots=8 + self.change_count % 2)
        self.change_count += 1
        self.world.apply(ReleaseNote(changed=Configured(instances=(changed,))))

    @rule(data=st.data())
    def withdraw_instance(self, data: st.DataObject) -> None:
        """An operator withdraws an instance."""
        names = [n for n, item in self.world.state.instances.items() if not item.is_withdrawn]
        if names:
            name = data.draw(st.sampled_from(sorted(names)))
            self.world.apply(ReleaseNote(withdrawn=Withdrawn(instances=(name,))))

    @precondition(lambda self: "match" in self.world.state.pools)
    @rule()
    def withdraw_pool(self) -> None:
        """An operator withdraws a pool with its instances, perhaps during a wave."""
        state = self.world.state
        names = tuple(
            name
            for name, item in state.instances.items()
            if item.spec.pool == "match" and not item.is_withdrawn
        )
        note = ReleaseNote(withdrawn=Withdrawn(pools=("match",), instances=names))
        self.world.apply(note)

    @rule(count=st.integers(1, 2))
    def add_instances(self, count: int) -> None:
        """An operator adds instances to a pool."""
        self.change_count += count
        first = 100 + self.change_count
        added = spread_instances("score", "n", count, first=first)
        self.world.apply(ReleaseNote(added=Configured(instances=tuple(added))))

    @invariant()
    def acts_are_sound(self) -> None:
        """No act violated a budget, was executed twice or stopped running work."""
        if hasattr(self, "world"):
            assert not self.world.recount.violations, self.world.recount.violations

    @invariant()
    def records_are_sound(self) -> None:
        """No accepted record violated a budget or skipped a drain."""
        if hasattr(self, "world"):
            self.world.catch_up()
            assert not self.world.oracle.violations, self.world.oracle.violations

    @invariant()
    def waves_obey_their_threshold(self) -> None:
        """A wave whose failures on return reached its threshold is not running."""
        if hasattr(self, "world"):
            for name, count in self.world.oracle.return_failures.items():
                wave = self.world.state.waves[name]
                is_over = count >= wave.spec.failure_threshold
                assert not (is_over and wave.is_running), (name, count)

    def teardown(self) -> None:
        """Check that once faults end, waves end or report why not, and platform and log agree."""
        if not hasattr(self, "world"):
            return
        self.world.heal_all()
        for _ in range(_MAX_RECOVERY_TICKS):
            self.world.tick()
            if self._is_settled():
                break
        self.world.adopt_budgets()
        self.acts_are_sound()
        self.records_are_sound()
        for wave in self.world.state.waves.values():
            assert self._has_ended_or_gives_reason(wave), wave
        self._check_owners()

    def _is_settled(self) -> bool:
        state = self.world.state
        is_quiet = all(item.is_serving for item in state.instances.values())
        return is_quiet and not any(wave.is_running for wave in state.waves.values())

    def _has_ended_or_gives_reason(self, wave: WaveState) -> bool:
        if not wave.is_running:
            return bool(wave.reason)
        view = self._view()
        reason = wave_hold_reason(view, wave)
        pools = {
            self.world.state.instances[name].pool
            for name in wave.waiting
            if name in self.world.state.instances
        }
        is_at_budget = any(
            len(view.serving(name)) <= view.state.pools[name].min_serving
            for name in pools
            if name in view.state.pools
        )
        return bool(reason) and is_at_budget

    def _view(self) -> FleetView:
        keeper = self.world.keepers[0]
        observations = keeper.rounds.tracker.current_observations(0.0)
        return FleetView(self.world.state, observations, WORLD_SETTINGS)

    def _check_owners(self) -> None:
        for name, item in self.world.state.instances.items():
            if item.is_serving:
                machine = self.world.fleet.machines[name]
                assert machine.pool == item.pool, (name, machine.pool, item.pool)
                assert not machine.is_draining, name


def run_scripted_cases() -> None:
    """Run the machine through fixed sequences, one for each known failure.

    Raises
    ------
    AssertionError
        An invariant of the machine failed.
    """
    _run_case(_lose_replies, (), False)
    _run_case(_never_empty_instance, (), False)
    for ticks in (3, 4, 5, 6):
        _run_case(FleetMachine.notes_during_reboots, (ticks,))
    for ticks in (2, 3):
        _run_case(FleetMachine.rogue_reboots, (ticks, ticks == 3))
    _run_case(FleetMachine.load_comes_back, ("match",))
    for number in range(KEEPERS):
        _run_case(FleetMachine.abort_under_a_pause, (number, 4.0))
    _run_case(FleetMachine.outage_before_the_drain, ("score",))
    _run_case(FleetMachine.outage_before_the_drain, ("match",))
    _run_case(FleetMachine.rogue_drain_of_pool, ("score", True))
    _run_case(FleetMachine.wave_of_bad_returns, ("match", 1))


def _run_case(
    case: Callable[..., None], arguments: tuple[object, ...], is_quiet: bool = True
) -> None:
    machine = FleetMachine()
    machine.start(2, ())
    if is_quiet:
        machine.abort_waves()
        machine.run(1.0, 12)
    case(machine, *arguments)
    machine.acts_are_sound()
    machine.records_are_sound()
    machine.waves_obey_their_threshold()
    machine.run(1.0, 8)
    machine.teardown()


def _lose_replies(machine: FleetMachine) -> None:
    for number in range(KEEPERS):
        machine.lose_act_replies(number, 3)
    machine.run(1.0, 25)


def _never_empty_instance(machine: FleetMachine) -> None:
    machine.world.fleet.faults.never_empty.append("m5")
    machine.run(1.0, 25)
