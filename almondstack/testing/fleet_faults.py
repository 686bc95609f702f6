"""Hypothesis rules that inject faults into instances, keepers, log and platform."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from almondstack.model import (
    Configured,
    InstancePhase,
    Pool,
    ReleaseNote,
    WaveChanged,
    WavePhase,
    WaveSpec,
    WaveStarted,
)
from almondstack.testing.fleet_notes import fleet_note
from almondstack.testing.fleet_world import FleetWorld

__all__ = ["KEEPERS", "POOLS", "FaultRules"]

KEEPERS = 3
_MAX_RECOVERY_TICKS = 400
_LONG_PAUSE_S = 120.0
_ROGUE_PHASES = (InstancePhase.DRAINING, InstancePhase.REBOOTING)
POOLS = ("score", "match")


class FaultRules(RuleBasedStateMachine):
    """Rules that run the keepers and inject one fault at a time."""

    @initialize(spares=st.integers(0, 3), pools=st.sampled_from([(), ("score",)]))
    def start(self, spares: int, pools: tuple[str, ...]) -> None:
        """Start with a fleet without faults and one wave."""
        self.world = FleetWorld(fleet_note(spares), KEEPERS)
        self.world.adopt_budgets()
        self.wave_count = 0
        self.change_count = 0
        for _ in range(3):
            self.world.tick()
        self.start_wave(pools, 2)

    @rule(seconds=st.sampled_from([0.5, 1.0, 3.0]), count=st.integers(1, 8))
    def run(self, seconds: float, count: int) -> None:
        """Run all keepers for ``count`` ticks."""
        for _ in range(count):
            self.world.tick(seconds)
        self.world.adopt_budgets()

    @rule(number=st.integers(0, KEEPERS - 1), is_held=st.booleans())
    def hold_records(self, number: int, is_held: bool) -> None:
        """Hold back the records of a keeper, or let it append them."""
        self.world.keepers[number].is_held = is_held

    @rule(
        number=st.integers(0, KEEPERS - 1),
        seconds=st.sampled_from([1.0, 4.0, _LONG_PAUSE_S]),
        meanwhile=st.sampled_from(["nothing", "abort", "loss", "budget"]),
    )
    def pause_before_next_act(self, number: int, seconds: float, meanwhile: str) -> None:
        """A keeper is paused between its decision to act and the act."""

        def pause() -> None:
            self._inject(meanwhile)
            self._run_others(number, seconds)

        self.world.keepers[number].platform.before_act = pause

    def _inject(self, fault: str) -> None:
        if fault == "abort":
            self.abort_waves()
        if fault == "loss":
            self.lose_domain("a", True)
        if fault == "budget":
            self.change_budget("score", 4)

    def abort_waves(self) -> None:
        """An operator aborts every wave."""
        for wave in list(self.world.state.waves.values()):
            change = WaveChanged(wave.name, wave.version, WavePhase.ABORTED, "operator")
            self.world.submit(change)

    def _run_others(self, number: int, seconds: float) -> None:
        steps = 10
        for _ in range(steps):
            self.world.advance(seconds / steps)
            for other, keeper in enumerate(self.world.keepers):
                if other != number:
                    keeper.run_round()
                    keeper.append()

    @rule(data=st.data(), seconds=st.sampled_from([5.0, 25.0]))
    def platform_outage(self, data: st.DataObject, seconds: float) -> None:
        """No keeper reaches the platform for a while, during which instances fail."""
        names = data.draw(st.lists(st.sampled_from(sorted(self.world.fleet.machines)), max_size=2))
        for keeper in self.world.keepers:
            keeper.platform.is_down = True
        self.world.fail(names)
        for _ in range(5):
            self.world.tick(seconds / 5)
        for keeper in self.world.keepers:
            keeper.platform.is_down = False
        self.world.tick()

    @rule(zone=st.sampled_from("abc"), breaks=st.booleans(), heals=st.booleans())
    def cut_zone(self, zone: str, breaks: bool, heals: bool) -> None:
        """Stop the reports of a zone, perhaps with unreported failures, or restore all reports."""
        faults = self.world.fleet.faults
        if heals:
            faults.silent.clear()
            return
        names = [item.name for item in self.world.fleet.machines.values() if item.zone == zone]
        faults.silent.extend(names)
        if breaks:
            self.world.fail(names)
            self.world.tick(20.0)

    @rule(data=st.data(), busy=st.integers(0, 3))
    def change_load(self, data: st.DataObject, busy: int) -> None:
        """Change the load of some instances that are not draining."""
        names = sorted(self.world.fleet.machines)
        for name in data.draw(st.lists(st.sampled_from(names), min_size=1, max_size=4)):
            machine = self.world.fleet.machines[name]
            if not machine.is_draining:
                machine.busy = busy

    @rule(number=st.integers(0, KEEPERS - 1), count=st.integers(1, 3))
    def lose_act_replies(self, number: int, count: int) -> None:
        """The platform executes acts but its replies are lost."""
        self.world.keepers[number].platform.lost_replies = count

    @rule(count=st.integers(1, 2))
    def lose_log_replies(self, count: int) -> None:
        """The log appends records but its replies are lost."""
        self.world.log.lost_replies = count

    @rule(is_down=st.booleans())
    def switch_log(self, is_down: bool) -> None:
        """The log becomes unavailable or available."""
        self.world.log.is_down = is_down

    @rule(number=st.integers(0, KEEPERS - 1), is_down=st.booleans(), is_cut=st.booleans())
    def switch_keeper(self, number: int, is_down: bool, is_cut: bool) -> None:
        """A keeper loses or regains its connection to the platform or the log."""
        self.world.keepers[number].platform.is_down = is_down
        self.world.keepers[number].client.is_cut_off = is_cut

    @rule(data=st.data())
    def fail_instance(self, data: st.DataObject) -> None:
        """One instance fails."""
        name = data.draw(st.sampled_from(sorted(self.world.fleet.machines)))
        self.world.fail([name])

    @rule(zone=st.sampled_from("abc"), is_rack=st.booleans())
    def lose_domain(self, zone: str, is_rack: bool) -> None:
        """All instances of a rack or a zone fail at once."""
        machines = self.world.fleet.machines.values()
        rack = f"{zone}1"
        lost = [item.name for item in machines if item.zone == zone]
        in_rack = [item.name for item in machines if item.rack == rack]
        self.world.fail(in_rack if is_rack else lost)

    @rule()
    def heal(self) -> None:
        """End every fault."""
        self.world.heal_all()

    @rule(drain_s=st.sampled_from([0.0, 5.0, 50.0]), lag_s=st.sampled_from([0.0, 3.0, 8.0]))
    def change_times(self, drain_s: float, lag_s: float) -> None:
        """Change drain times, far from the declared run times, and the lag of reports."""
        self.world.fleet.faults.drain_s = drain_s
        self.world.fleet.faults.report_lag_s = lag_s

    @rule(pool=st.sampled_from(POOLS))
    def spoil_pool(self, pool: str) -> None:
        """Make every instance of a pool fail at its next reboot."""
        machines = self.world.fleet.machines.values()
        names = [item.name for item in machines if item.pool == pool]
        self.world.fleet.faults.fail_on_return.extend(names)

    @rule(data=st.data(), is_stuck=st.booleans())
    def spoil_instance(self, data: st.DataObject, is_stuck: bool) -> None:
        """Make an instance never become empty, or fail at its next reboot."""
        faults = self.world.fleet.faults
        name = data.draw(st.sampled_from(sorted(self.world.fleet.machines)))
        if not is_stuck:
            faults.fail_on_return.append(name)
        elif not self.world.fleet.machines[name].is_draining:
            faults.never_empty.append(name)

    @rule(pools=st.sampled_from([(), ("score",), ("match",)]), threshold=st.integers(1, 2))
    def start_wave(self, pools: tuple[str, ...], threshold: int) -> None:
        """An operator starts a wave."""
        self.wave_count += 1
        spec = WaveSpec(
            name=f"w{self.wave_count}",
            pools=pools,
            started_s=self.world.clock.unix(),
            failure_threshold=threshold,
        )
        self.world.submit(WaveStarted(spec))

    @rule(name=st.sampled_from(POOLS), least=st.integers(1, 4))
    def change_budget(self, name: str, least: int) -> None:
        """An operator raises or lowers a budget."""
        pool = self.world.state.pools.get(name)
        if pool is None:
            return
        changed = Pool(name=name, min_serving=least, size=pool.size, run_time_bound_s=10.0)
        self.world.apply(ReleaseNote(changed=Configured(pools=(changed,))))
