"""Hypothesis rules for sequences of faults that random single steps are unlikely to produce."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import rule

from almondstack.model import Configured, InstancePhase, InstanceStepped, ReleaseNote, Withdrawn
from almondstack.testing.fleet_faults import KEEPERS, POOLS, FaultRules

__all__ = ["MultiFaultRules"]

_LONG_PAUSE_S = 120.0


class MultiFaultRules(FaultRules):
    """Rules that combine several faults at critical moments of a wave."""

    @rule(pool=st.sampled_from(POOLS), breaks=st.booleans())
    def rogue_drain_of_pool(self, pool: str, breaks: bool) -> None:
        """A faulty keeper proposes to drain a whole pool, perhaps after a loss."""
        if breaks:
            self.world.fail(["m4" if pool == "match" else "u0"])
            self.run(1.0, 5)
        for item in list(self.world.state.instances.values()):
            if item.pool == pool and item.is_serving:
                drain = InstancePhase.DRAINING
                self._submit_rogue(InstanceStepped(item.name, item.version, drain, "rogue"))

    @rule(number=st.integers(0, KEEPERS - 1), seconds=st.sampled_from([4.0, _LONG_PAUSE_S]))
    def abort_under_a_pause(self, number: int, seconds: float) -> None:
        """A wave starts, the keepers are paused before they act, and an operator aborts it."""
        self.heal()
        for keeper in range(KEEPERS):
            self.pause_before_next_act(keeper, seconds, "abort" if keeper == number else "nothing")
        self.start_wave((), 2)
        self.run(1.0, 4)

    @rule(pool=st.sampled_from(POOLS))
    def load_comes_back(self, pool: str) -> None:
        """An idle pool gets work that delayed reports don't show yet."""
        self.heal()
        self.world.fleet.faults.drain_s = 50.0
        self.world.fleet.faults.report_lag_s = 8.0
        self._inject("abort")
        self._set_load(pool, 0)
        self.run(1.0, 9)
        self._set_load(pool, 3)
        self.start_wave((pool,), 2)
        owned = [item for item in self.world.state.instances.values() if item.pool == pool]
        names = sorted(item.name for item in owned if not item.is_withdrawn)
        self.world.apply(ReleaseNote(withdrawn=Withdrawn(instances=tuple(names[-1:]))))
        self.run(1.0, 7)

    def _set_load(self, pool: str, busy: int) -> None:
        for machine in self.world.fleet.machines.values():
            if machine.pool == pool and not machine.is_draining:
                machine.busy = busy

    @rule(reboot_s=st.sampled_from([0.5, 8.0]))
    def change_what_is_out(self, reboot_s: float) -> None:
        """An operator changes the specification of every instance that is out of service."""
        self.world.fleet.faults.reboot_s = reboot_s
        self.change_count += 1
        for item in list(self.world.state.instances.values()):
            if not item.is_serving and not item.is_withdrawn:
                changed = msgspec.structs.replace(item.spec, slots=8 + self.change_count % 2)
                self.world.apply(ReleaseNote(changed=Configured(instances=(changed,))))

    def _submit_rogue(self, body: object) -> None:
        self.change_count += 1
        self.world.submit_as("rogue", self.change_count, body)

    @rule(pool=st.sampled_from(POOLS), threshold=st.integers(1, 2))
    def wave_of_bad_returns(self, pool: str, threshold: int) -> None:
        """A wave in which every instance of a pool fails at its reboot."""
        self.heal()
        self.spoil_pool(pool)
        self.start_wave((pool,), threshold)
        self.run(3.0, 25)

    @rule(ticks=st.integers(2, 4), aborts=st.booleans())
    def rogue_reboots(self, ticks: int, aborts: bool) -> None:
        """A faulty keeper reboots instances out of service, perhaps after the wave was aborted."""
        self.heal()
        self._inject("abort")
        self.run(1.0, 6)
        self.start_wave((), 2)
        self.run(1.0, ticks)
        if aborts:
            self._inject("abort")
        for item in list(self.world.state.instances.values()):
            if not item.is_serving:
                reboot = InstancePhase.REBOOTING
                self._submit_rogue(InstanceStepped(item.name, item.version, reboot, "rogue"))

    @rule(pool=st.sampled_from(POOLS))
    def outage_before_the_drain(self, pool: str) -> None:
        """Between the record of a drain and its act the platform is down and two instances fail."""
        self.heal()
        self.run(1.0, 12)
        self.start_wave((pool,), 2)
        self.run(1.0, 1)
        owned = [item for item in self.world.state.instances.values() if item.pool == pool]
        for keeper in self.world.keepers:
            keeper.platform.is_down = True
        self.world.fail([item.name for item in owned if item.is_serving][:2])
        self.run(5.0, 5)
        for keeper in self.world.keepers:
            keeper.platform.is_down = False
        self.run(1.0, 2)

    @rule(ticks=st.integers(3, 9))
    def notes_during_reboots(self, ticks: int) -> None:
        """Release notes change every instance out of service during long reboots."""
        self.heal()
        self.world.fleet.faults.reboot_s = 8.0
        self.start_wave((), 2)
        self.run(1.0, ticks)
        self.change_what_is_out(8.0)
        self.run(1.0, 3)
