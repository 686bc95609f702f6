"""Keepers killed in each stage of a wave, while work goes on."""

from almondstack.bench.processes import wait_until
from almondstack.model import InstancePhase, WavePhase, WaveSpec, WaveStarted

_STAGES = (InstancePhase.DRAINING, InstancePhase.REBOOTING, InstancePhase.RETURNING)
_WAVE_TIMEOUT_S = 60.0


def _has_instance_in(fleet, phase: InstancePhase) -> bool:
    return any(item.phase is phase for item in fleet.deployment.state().instances.values())


def _kill_keepers(fleet) -> None:
    for name in fleet.deployment.layout.keeper_names:
        fleet.group.kill(f"keeper-{name}")


def _start_keepers(fleet) -> None:
    for name in fleet.deployment.layout.keeper_names:
        fleet.deployment.start_keeper(name)


def test_wave_ends_though_all_keepers_die_in_each_stage(fleet):
    fleet.deployment.append(WaveStarted(WaveSpec(name="w1", pools=("score",))))
    records = []
    for stage in _STAGES:
        wait_until(lambda stage=stage: _has_instance_in(fleet, stage), stage, _WAVE_TIMEOUT_S)
        _kill_keepers(fleet)
        records += fleet.submit(*(fleet.item(zone="b") for _ in range(12)))
        _start_keepers(fleet)
    wait_until(
        lambda: fleet.deployment.state().waves["w1"].phase is WavePhase.ENDED,
        "end of the wave",
        _WAVE_TIMEOUT_S,
    )
    wave = fleet.deployment.state().waves["w1"]
    assert set(wave.done) == {"u1", "u2", "u3"}
    assert fleet.violations(records) == {}
