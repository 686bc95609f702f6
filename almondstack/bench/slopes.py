"""``almondstack-bench slopes``: measures costs at several sizes and extrapolates them linearly."""

import argparse
from collections.abc import Callable
from pathlib import Path

import msgspec
from scipy import stats
from tqdm import tqdm

from almondstack.bench.commands import bench_command
from almondstack.bench.plots import plot_slopes
from almondstack.bench.results import save_result

__all__ = ["Points", "Slope", "fit", "slope_case"]

Points = list[tuple[float, float]]

_MIN_SIZES = 4


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """Straight line fitted to measured points.

    Parameters
    ----------
    case, figure : str
        Name of the experiment, and of the figure with its unit.
    size_name : str
        Unit of the sizes.
    points : list of (float, float)
        Size and figure.
    slope, offset : float
        Increase of the figure per unit of size, and fitted figure at size 0.
    residual : float
        Largest distance of a point from the line, as a fraction of the largest figure.
    full_size, at_full_size : float
        Size to extrapolate to, and the fitted figure at that size.
    """

    case: str
    figure: str
    size_name: str
    points: Points
    slope: float
    offset: float
    residual: float
    full_size: float
    at_full_size: float


class SlopeCase(msgspec.Struct, frozen=True):
    """Experiment that measures figures at several sizes.

    Parameters
    ----------
    name, size_name : str
        Name of the experiment, and unit of the sizes.
    full_size : float
        Size to extrapolate to.
    run : callable
        Returns the points of each figure, by its name with unit.
    """

    name: str
    size_name: str
    full_size: float
    run: Callable[[], dict[str, Points]]


_cases: dict[str, SlopeCase] = {}


def slope_case(
    name: str, size_name: str, full_size: float
) -> Callable[[Callable[[], dict[str, Points]]], Callable[[], dict[str, Points]]]:
    """Return a decorator that registers a function as an experiment of ``slopes``."""

    def register(run: Callable[[], dict[str, Points]]) -> Callable[[], dict[str, Points]]:
        _cases[name] = SlopeCase(name, size_name, full_size, run)
        return run

    return register


def fit(case: SlopeCase, figure: str, points: Points) -> Slope:
    """Fit a line to at least 4 points by least squares.

    Examples
    --------
    >>> from almondstack.bench.slopes import SlopeCase, fit
    >>> case = SlopeCase("c", "instances", 100.0, dict)
    >>> line = fit(case, "ms", [(1.0, 3.0), (2.0, 5.0), (3.0, 7.0), (4.0, 9.0)])
    >>> line.slope, line.offset, line.at_full_size, line.residual
    (2.0, 1.0, 201.0, 0.0)
    """
    assert len(points) >= _MIN_SIZES
    line = stats.linregress([x for x, _ in points], [y for _, y in points])
    slope, offset = float(line.slope), float(line.intercept)
    largest = max(abs(y) for _, y in points) or 1.0
    return Slope(
        case=case.name,
        figure=figure,
        size_name=case.size_name,
        points=points,
        slope=slope,
        offset=offset,
        residual=max(abs(y - slope * x - offset) for x, y in points) / largest,
        full_size=case.full_size,
        at_full_size=slope * case.full_size + offset,
    )


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--only", nargs="*", help="names of experiments; default: all")
    parser.add_argument("--results", type=Path, default=Path("results"))


@bench_command("slopes", "costs against size, with fit and residual", _configure)
def run_slopes(arguments: argparse.Namespace) -> int:
    """Run the selected experiments, print a table, and save the points and plots."""
    names = arguments.only or list(_cases)
    slopes: list[Slope] = []
    for name in tqdm(names, desc="slopes", unit="case"):
        case = _cases[name]
        slopes.extend(fit(case, figure, points) for figure, points in case.run().items())
    print(_table(slopes))
    path = save_result("slopes", {"slopes": msgspec.to_builtins(slopes)}, arguments.results)
    for line in slopes:
        _save_plot(path.parent, line)
    print(f"saved {path}")
    return 0


def _table(slopes: list[Slope]) -> str:
    lines = ["| experiment | figure | points | slope | offset | residual | at full size |"]
    lines.append("|---|---|---|---|---|---|---|")
    lines.extend(_row(line) for line in slopes)
    return "\n".join(lines)


def _row(line: Slope) -> str:
    points = " ".join(f"{x:g}:{y:.4g}" for x, y in line.points)
    full = f"{line.at_full_size:.4g} at {line.full_size:g} {line.size_name}"
    numbers = f"{line.slope:.4g} | {line.offset:.4g} | {line.residual:.1%}"
    return f"| {line.case} | {line.figure} | {points} | {numbers} | {full} |"


def _save_plot(folder: Path, line: Slope) -> None:
    name = f"slope-{line.case}-{line.figure}".replace(" ", "-").replace("/", "-per-")
    axes = (line.size_name, line.figure)
    plot_slopes(folder / f"{name}.png", line.case, axes, line.points, line.slope, line.offset)
