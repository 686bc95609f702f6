"""Slope of the log traffic and duration of a maintenance wave against the restarted instances."""

import functools
import tempfile
import time
from pathlib import Path

from almondstack.bench.deployment import Deployment
from almondstack.bench.layout import DeploymentPlan
from almondstack.bench.processes import ProcessGroup, wait_until
from almondstack.bench.slopes import Points, slope_case
from almondstack.model import (
    Configured,
    InstanceSpec,
    Pool,
    ReleaseNote,
    WavePhase,
    WaveSpec,
    WaveStarted,
)
from almondstack.standin.platform import PlatformFaults
from almondstack.standin.platform_fleet import FleetFaults

__all__: list[str] = []

_SIZES = (1, 2, 4, 8)
_RESTARTS_PER_DAY = 140
_WAVE_TIMEOUT_S = 90.0
_FAST_KEEPER_SECTIONS = {
    "round_s": 0.1,
    "fleet": {"return_bound_s": 0.1, "takeover_s": 0.5, "recover_after_s": 0.1},
}


def _make_note(restarted: int) -> ReleaseNote:
    """Return a release note with one pool of ``restarted`` instances, each in its own rack."""
    instances = tuple(
        InstanceSpec(
            name=f"u{number}",
            pool="score",
            zone="a",
            rack=f"a{number}",
            address="127.0.0.1:1",
        )
        for number in range(restarted)
    )
    pool = Pool(name="score", min_serving=0, size=restarted)
    return ReleaseNote(added=Configured(pools=(pool,), instances=instances))


@slope_case("wave", "restarts", _RESTARTS_PER_DAY)
def wave() -> dict[str, Points]:
    """Return records, KiB and append calls of a wave, and its duration."""
    figures: dict[str, Points] = {"records": [], "KiB appended": [], "appends": [], "s": []}
    for size in _SIZES:
        plan = DeploymentPlan(
            note=_make_note(size),
            entries={"a": 1},
            has_shared_upstream=True,
            keeper_sections=_FAST_KEEPER_SECTIONS,
        )
        with tempfile.TemporaryDirectory() as folder, ProcessGroup(Path(folder)) as group:
            deployment = Deployment(plan, Path(folder), group)
            deployment.start()
            for name, figure in _wave_figures(deployment).items():
                figures[name].append((size, figure))
    return figures


def _wave_figures(deployment: Deployment) -> dict[str, float]:
    fast_platform = PlatformFaults(fleet=FleetFaults(drain_s=0.1, reboot_s=0.1))
    deployment.set_platform_faults(fast_platform)
    before, start_s = deployment.log_counts(), time.monotonic()
    deployment.append(WaveStarted(WaveSpec(name="w1")))
    wait_until(functools.partial(_has_ended, deployment), "end of wave w1", _WAVE_TIMEOUT_S)
    after = deployment.log_counts()
    return {
        "records": after["next_offsets"]["fleet"] - before["next_offsets"]["fleet"],
        "KiB appended": (after["append_bytes"] - before["append_bytes"]) / 1024,
        "appends": after["appends"] - before["appends"],
        "s": time.monotonic() - start_s,
    }


def _has_ended(deployment: Deployment) -> bool:
    return deployment.state().waves["w1"].phase is WavePhase.ENDED
