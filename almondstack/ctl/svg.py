"""Draws line plots and stacked bars as inline SVG, for self-contained HTML pages."""

from collections.abc import Sequence
from html import escape
from typing import NamedTuple

__all__ = ["Series", "line_plot", "stacked_bars"]

_WIDTH_PX, _HEIGHT_PX = 720, 160
_MARGIN_PX = 40
_LEGEND_PX = 18
_COLOURS = (
    "#4a7",
    "#47a",
    "#c60",
    "#a4a",
    "#888",
    "#c33",
    "#7a3",
    "#368",
    "#b83",
    "#555",
)


class Series(NamedTuple):
    """A named series of (x, y) points, sorted by x."""

    name: str
    points: Sequence[tuple[float, float]]


def line_plot(series: Sequence[Series], title: str) -> str:
    """Return an SVG plot of step lines over a common time axis in seconds.

    Examples
    --------
    >>> plot = line_plot([Series("size", [(0.0, 2.0), (4.0, 6.0)])], "pool")
    >>> plot.count("<polyline"), ">6<" in plot
    (1, True)
    """
    points = [point for item in series for point in item.points]
    if not points:
        return ""
    max_x = max(x for x, _ in points) or 1.0
    max_y = max(y for _, y in points) or 1.0
    shapes = [
        _step_line(item, max_x, max_y, _COLOURS[number % len(_COLOURS)])
        for number, item in enumerate(series)
    ]
    return _plot_svg("".join(shapes), title, [item.name for item in series], max_x, max_y)


def stacked_bars(series: Sequence[Series], width_x: float, title: str) -> str:
    """Return an SVG plot of stacked bars, each ``width_x`` wide on the x axis.

    Examples
    --------
    >>> bars = stacked_bars([Series("a", [(0.0, 1.0)]), Series("b", [(0.0, 2.0)])], 2.0, "t")
    >>> bars.count("<rect class"), ">3<" in bars
    (2, True)
    """
    sums: dict[float, float] = {}
    for item in series:
        for x, y in item.points:
            sums[x] = sums.get(x, 0.0) + y
    if not sums:
        return ""
    max_x, max_y = max(sums) + width_x, max(sums.values()) or 1.0
    bottoms: dict[float, float] = {}
    shapes = []
    for number, item in enumerate(series):
        for x, y in item.points:
            bottom = bottoms.get(x, 0.0)
            bottoms[x] = bottom + y
            shapes.append(_bar(x, width_x, bottom, y, max_x, max_y, number))
    return _plot_svg("".join(shapes), title, [item.name for item in series], max_x, max_y)


def _step_line(series: Series, max_x: float, max_y: float, colour: str) -> str:
    vertices = []
    previous_y = None
    for x, y in series.points:
        if previous_y is not None:
            vertices.append(_to_pixels(x, previous_y, max_x, max_y))
        vertices.append(_to_pixels(x, y, max_x, max_y))
        previous_y = y
    points = " ".join(f"{x:.1f},{y:.1f}" for x, y in vertices)
    return f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5"/>'


def _bar(
    x: float, width_x: float, bottom: float, y: float, max_x: float, max_y: float, number: int
) -> str:
    left, top = _to_pixels(x, bottom + y, max_x, max_y)
    right, low = _to_pixels(x + width_x, bottom, max_x, max_y)
    colour = _COLOURS[number % len(_COLOURS)]
    return (
        f'<rect class="bar" x="{left:.1f}" y="{top:.1f}" width="{max(1.0, right - left - 1):.1f}"'
        f' height="{max(0.0, low - top):.1f}" fill="{colour}"/>'
    )


def _to_pixels(x: float, y: float, max_x: float, max_y: float) -> tuple[float, float]:
    return (
        _MARGIN_PX + x / max_x * (_WIDTH_PX - _MARGIN_PX),
        _HEIGHT_PX - y / max_y * (_HEIGHT_PX - _LEGEND_PX),
    )


def _plot_svg(shapes: str, title: str, names: list[str], max_x: float, max_y: float) -> str:
    legend = "".join(
        f'<tspan fill="{_COLOURS[number % len(_COLOURS)]}">{escape(name)}&#160; </tspan>'
        for number, name in enumerate(names)
    )
    axes = (
        f'<path d="M{_MARGIN_PX} {_LEGEND_PX}V{_HEIGHT_PX}H{_WIDTH_PX}" fill="none" stroke="#999"/>'
        f'<text x="0" y="{_LEGEND_PX + 10}" font-size="11">{max_y:g}</text>'
        f'<text x="{_WIDTH_PX - _MARGIN_PX}" y="{_HEIGHT_PX + 14}" font-size="11">{max_x:.0f} s'
        "</text>"
    )
    head = f'<text x="{_MARGIN_PX}" y="12" font-size="12">{escape(title)}: {legend}</text>'
    return f'<svg width="{_WIDTH_PX}" height="{_HEIGHT_PX + 20}">{head}{axes}{shapes}</svg>'
