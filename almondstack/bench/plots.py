"""Saves plots of results as PNG files."""

from collections.abc import Mapping, Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

__all__ = ["plot_lines", "plot_slopes"]

_SIZE_INCH = (9.0, 5.0)

Points = Sequence[tuple[float, float]]


def plot_lines(path: Path, title: str, axes: tuple[str, str], lines: Mapping[str, Points]) -> None:
    """Save a plot with one labelled line for each name."""
    figure, plot = pyplot.subplots(figsize=_SIZE_INCH)
    for name, points in lines.items():
        plot.plot([x for x, _ in points], [y for _, y in points], label=name)
    _save(figure, plot, path, title, axes)


def plot_slopes(
    path: Path, title: str, axes: tuple[str, str], points: Points, slope: float, offset: float
) -> None:
    """Save a plot of measured points and the line fitted to them."""
    figure, plot = pyplot.subplots(figsize=_SIZE_INCH)
    sizes = [x for x, _ in points]
    plot.plot(sizes, [y for _, y in points], "o", label="measured")
    ends = [min(sizes), max(sizes)]
    plot.plot(ends, [slope * x + offset for x in ends], "-", label="fit")
    _save(figure, plot, path, title, axes)


def _save(
    figure: pyplot.Figure, plot: pyplot.Axes, path: Path, title: str, axes: tuple[str, str]
) -> None:
    plot.set_title(title)
    plot.set_xlabel(axes[0])
    plot.set_ylabel(axes[1])
    plot.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
