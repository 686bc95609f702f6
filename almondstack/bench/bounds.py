"""``almondstack-bench bounds``: checks measured figures against regression bounds."""

import argparse
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from tqdm import tqdm

from almondstack.bench.commands import bench_command
from almondstack.bench.load import LoadOptions, run_load
from almondstack.bench.overload import goodput_ratio
from almondstack.bench.results import save_result
from almondstack.bench.slope_fleet import planner_round
from almondstack.bench.slope_processes import fleet_size
from almondstack.bench.slope_state import fold_record, snapshot
from almondstack.bench.slopes import Points

__all__ = ["Bound"]

_CORE_TARGET_PERCENT = 1.3
_MEMORY_TARGET_MIB = 256.0
_GOODPUT_RATIO_TARGET = 0.95
_URGENT_START_TARGET_MS = 1400.0
_NEAR_SHARE_TARGET = 0.95
# Limits of the ratio of a cost at 740 instances to that at a smaller size: for a
# linear cost at 370 instances (exactly linear: 2.0), for a constant one at 92.
_LINEAR_GROWTH_LIMIT = 2.6
_CONSTANT_GROWTH_LIMIT = 1.5


class Bound(msgspec.Struct, frozen=True, kw_only=True):
    """A measured figure and its limit.

    Parameters
    ----------
    name : str
        Name of the figure.
    measured, bound : float
        The figure and its limit.
    is_least : bool
        True if ``bound`` is a minimum, False if it is a maximum.
    """

    name: str
    measured: float
    bound: float
    is_least: bool = False

    @property
    def holds(self) -> bool:
        """True if the figure is within its bound."""
        return self.measured >= self.bound if self.is_least else self.measured <= self.bound

    def __str__(self) -> str:
        verdict = "holds " if self.holds else "FAILED"
        sign = ">=" if self.is_least else "<="
        return f"{verdict} {self.name}: {self.measured:.4g} {sign} {self.bound:g}"


def _growth_ratio(points: Points, start: int = -2) -> float:
    """Return the figure of the last point divided by that of the point at index ``start``."""
    return points[-1][1] / points[start][1]


def _state_bounds() -> list[Bound]:
    records, snapshots = fold_record(), snapshot()
    growth = _growth_ratio(records["us a record"], 0)
    return [
        Bound(
            name="fold of a record, 740 over 92 instances",
            measured=growth,
            bound=_CONSTANT_GROWTH_LIMIT,
        ),
        Bound(
            name="snapshot size, 740 over 370 instances",
            measured=_growth_ratio(snapshots["KiB compressed"]),
            bound=_LINEAR_GROWTH_LIMIT,
        ),
        Bound(
            name="snapshot writing, 740 over 370 instances",
            measured=_growth_ratio(snapshots["ms to write"]),
            bound=_LINEAR_GROWTH_LIMIT,
        ),
    ]


def _planner_bounds() -> list[Bound]:
    growth = _growth_ratio(planner_round()["ms a round"])
    name = "planning round, 740 over 370 instances"
    return [Bound(name=name, measured=growth, bound=_LINEAR_GROWTH_LIMIT)]


def _idle_bounds() -> list[Bound]:
    figures = {name: points[-1][1] for name, points in fleet_size().items()}
    return [
        Bound(
            name=f"idle {role} {unit} at 740 instances",
            measured=figures[f"{role} {unit}"],
            bound=bound,
        )
        for role in ("entry", "keeper")
        for unit, bound in (("% of a core", _CORE_TARGET_PERCENT), ("MiB", _MEMORY_TARGET_MIB))
    ]


def _goodput_bounds() -> list[Bound]:
    figures = goodput_ratio()
    name = "goodput at five times capacity over that at capacity"
    return [
        Bound(name=name, measured=figures["ratio"], bound=_GOODPUT_RATIO_TARGET, is_least=True),
        Bound(name="violations counted at both loads", measured=figures["violations"], bound=0),
    ]


def _burst_bounds() -> list[Bound]:
    figures, _ = run_load(LoadOptions())
    urgent = figures["waits"]["urgent_start"]
    violations = sum(figures["violations"].values())
    return [
        Bound(name="violations that the judge counts in bursts", measured=violations, bound=0),
        Bound(
            name="start of urgent work, p99 in ms",
            measured=urgent.p99_ms,
            bound=_URGENT_START_TARGET_MS,
        ),
        Bound(
            name="team-seconds of shortage within 5 % of the share",
            measured=figures["shares"].get("within_5_percent", 0.0),
            bound=_NEAR_SHARE_TARGET,
            is_least=True,
        ),
    ]


_GROUPS: dict[str, Callable[[], list[Bound]]] = {
    "state": _state_bounds,
    "planner": _planner_bounds,
    "idle": _idle_bounds,
    "goodput": _goodput_bounds,
    "bursts": _burst_bounds,
}


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--only", nargs="*", choices=sorted(_GROUPS), help="groups to measure; default: all"
    )
    parser.add_argument("--results", type=Path, default=Path("results"))


@bench_command("bounds", "check figures against regression bounds", _configure)
def run_bounds(arguments: argparse.Namespace) -> int:
    """Measure the selected groups; return 0 if every bound holds, else 1."""
    bounds: list[Bound] = []
    for name in tqdm(arguments.only or list(_GROUPS), desc="bounds", unit="group"):
        bounds.extend(_GROUPS[name]())
    print("\n".join(map(str, bounds)))
    figures: dict[str, Any] = {"bounds": msgspec.to_builtins(bounds)}
    print(f"saved {save_result('bounds', figures, arguments.results)}")
    return 0 if all(bound.holds for bound in bounds) else 1
