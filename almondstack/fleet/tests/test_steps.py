"""Tests of instance steps, losses and waves in the fold and in the simulated fleet."""

import msgspec

from almondstack.fold import Refusal
from almondstack.log import FLEET
from almondstack.model import (
    Configured,
    InstanceMoved,
    InstanceObserved,
    InstancePhase,
    InstanceStepped,
    ReleaseNote,
    WaveChanged,
    WavePhase,
    WaveSpec,
    WaveStarted,
    Withdrawn,
    encode_record,
)
from almondstack.testing.builders import make_fold, make_note, make_pool
from almondstack.testing.fleet_notes import fleet_note
from almondstack.testing.fleet_world import FleetWorld


class _Log:
    def __init__(self, **fields):
        self.fold = make_fold(make_note(**fields))
        self._sequence = 0

    def submit(self, body):
        self._sequence += 1
        record = encode_record("keeper", self._sequence, body, self.fold.next_offset)
        return self.fold.apply(self.fold.next_offset, record).refusal

    def step(self, name, phase, **fields):
        version = self.fold.state.instances[name].version
        return self.submit(InstanceStepped(name, version, phase, **fields))

    def step_through(self, name, *phases, **fields):
        for phase in phases:
            assert self.step(name, phase, **fields) is None


def _world(spares=2):
    world = FleetWorld(fleet_note(spares))
    world.adopt_budgets()
    for _ in range(3):
        world.tick()
    return world


def _run(world, ticks, is_done=lambda: False):
    for _ in range(ticks):
        world.tick()
        if is_done():
            return
    assert not world.recount.violations and not world.oracle.violations


def _start_wave(world, **fields):
    spec = WaveSpec(name="w", started_s=world.clock.unix(), **fields)
    assert world.submit(WaveStarted(spec))


def test_returning_instance_does_not_count_as_serving_and_may_drain_again():
    log = _Log()
    log.step_through("u1", InstancePhase.DRAINING, InstancePhase.RETURNING)
    assert log.step("u2", InstancePhase.DRAINING) is Refusal.BUDGET_BROKEN
    log.step_through("u1", InstancePhase.DRAINING)


def test_draining_instance_may_return_after_budget_was_raised():
    log = _Log()
    log.step_through("u1", InstancePhase.DRAINING)
    raised = make_pool(min_serving=3)
    note = ReleaseNote(changed=Configured(pools=(raised,)))
    log.fold.state.pools["score"] = raised
    assert note.changed.pools[0].min_serving == 3
    log.step_through("u1", InstancePhase.RETURNING, InstancePhase.SERVING)
    assert log.step("u1", InstancePhase.DRAINING) is Refusal.BUDGET_BROKEN


def test_only_a_drained_instance_moves_and_only_to_its_target_pool():
    pools = (make_pool(), make_pool("match", min_serving=0, size=0))
    log = _Log(pools=pools)
    log.step_through("u1", InstancePhase.DRAINING, target_pool="match")
    version = log.fold.state.instances["u1"].version
    assert log.submit(InstanceMoved("u1", version, "match")) is Refusal.PHASE_NOT_REACHABLE
    log.step_through("u1", InstancePhase.DRAINED)
    version = log.fold.state.instances["u1"].version
    assert log.submit(InstanceMoved("u1", version, "score")) is Refusal.NOT_THE_TARGET
    assert log.submit(InstanceMoved("u1", version, "match")) is None
    assert log.fold.state.instances["u1"].lent_from == "score"


def test_reboot_is_refused_outside_a_wave_and_after_its_abort():
    log = _Log()
    log.step_through("u1", InstancePhase.DRAINING, InstancePhase.DRAINED)
    assert log.step("u1", InstancePhase.REBOOTING) is Refusal.NO_SUCH_WAVE
    log.step_through("u1", InstancePhase.RETURNING, InstancePhase.SERVING)
    assert log.submit(WaveStarted(WaveSpec(name="w"))) is None
    log.step_through("u1", InstancePhase.DRAINING, wave="w")
    log.step_through("u1", InstancePhase.DRAINED)
    version = log.fold.state.waves["w"].version
    assert log.submit(WaveChanged("w", version, WavePhase.ABORTED)) is None
    assert log.step("u1", InstancePhase.REBOOTING) is Refusal.WAVE_NOT_OPEN


def test_second_of_two_concurrent_operators_is_refused():
    log = _Log()
    log.submit(WaveStarted(WaveSpec(name="w")))
    assert log.submit(WaveStarted(WaveSpec(name="x"))) is Refusal.WAVE_OVERLAPS
    version = log.fold.state.waves["w"].version
    assert log.submit(WaveChanged("w", version, WavePhase.PAUSED)) is None
    assert log.submit(WaveChanged("w", version, WavePhase.ABORTED)) is Refusal.VERSION_CONFLICT


def test_failed_instance_is_replaced_once_and_the_lent_instance_stays():
    world = _world()
    world.fail(["u0"])
    _run(world, 60)
    assert world.oracle.moves == 1
    assert world.state.serving_count("score") == 4
    world.heal_all()
    _run(world, 200)
    assert world.oracle.moves == 1
    assert world.state.serving_count("score") == 5


def test_wave_without_faults_reboots_each_instance_once_and_moves_none():
    world = _world()
    _start_wave(world)
    _run(world, 200, lambda: world.state.waves["w"].phase is WavePhase.ENDED)
    assert world.state.waves["w"].phase is WavePhase.ENDED
    assert {item.reboots for item in world.fleet.machines.values()} == {1}
    assert world.oracle.moves == 0


def test_wave_stops_when_its_instances_fail_on_return():
    world = _world()
    world.fleet.faults.fail_on_return.extend(["u0", "u1", "u2", "u3"])
    _start_wave(world, pools=("score",), failure_threshold=2)
    _run(world, 400, lambda: world.state.waves["w"].phase is WavePhase.STOPPED)
    wave = world.state.waves["w"]
    assert wave.phase is WavePhase.STOPPED
    assert "failed on return" in wave.reason
    assert sum(item.reboots for item in world.fleet.machines.values()) == 2


def test_lost_reply_does_not_cause_a_second_reboot():
    world = _world()
    for keeper in world.keepers:
        keeper.platform.lost_replies = 50
    _start_wave(world)
    _run(world, 200)
    assert max(item.reboots for item in world.fleet.machines.values()) == 1
    assert not [item for item in world.recount.violations if item.rule == "twice"]


def test_drain_of_an_instance_that_never_becomes_empty_backs_off():
    world = _world()
    world.fleet.faults.never_empty.append("m4")
    spec = msgspec.structs.replace(world.state.instances["m4"].spec, pool="score")
    assert world.apply(ReleaseNote(changed=Configured(instances=(spec,))))
    _run(world, 60)
    before = len(world.log.records(FLEET))
    _run(world, 300)
    assert len(world.log.records(FLEET)) - before < 40


def test_zone_without_reports_is_not_rebooted():
    world = _world()
    silent = [item.name for item in world.fleet.machines.values() if item.zone == "a"]
    world.fleet.faults.silent.extend(silent)
    _run(world, 15)
    _start_wave(world)
    _run(world, 100)
    assert all(world.fleet.machines[name].reboots == 0 for name in silent)


def test_loss_is_accepted_even_below_the_budget():
    log = _Log()
    for name in ("u1", "u2", "u3"):
        version = log.fold.state.instances[name].version
        assert log.submit(InstanceObserved(name, version, InstancePhase.FAILED)) is None
    assert log.fold.state.serving_count("score") == 0


def test_withdrawn_instance_that_never_becomes_empty_does_not_block_a_wave():
    world = _world(spares=0)
    world.fleet.faults.never_empty.append("m7")
    assert world.apply(ReleaseNote(withdrawn=Withdrawn(instances=("m7",))))
    _run(world, 10)
    _start_wave(world, pools=("match",))
    _run(world, 200, lambda: world.state.waves["w"].phase is WavePhase.ENDED)
    assert world.state.waves["w"].phase is WavePhase.ENDED
    assert world.state.instances["m7"].phase is InstancePhase.DRAINING
