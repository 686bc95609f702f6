"""Small plots as inline SVG, for pages without outside resources."""

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
    """A name and points of x and y, in the order of x."""

    name: str
    points: Sequence[tuple[float, float]]


def line_plot(series: Sequence[Series], title: str) -> str:
    """Return stepped lines over one time axis.

    Examples
    --------
    >>> plot = line_plot([Series("size", [(0.0, 2.0), (4.0, 6.0)])], "pool")
    >>> plot.count("<polyline"), ">6<" in plot
    (1, True)
    """
    points = [point for one in series for point in one.points]
    if not points:
        return ""
    most_x = max(x for x, _ in points) or 1.0
    most_y = max(y for _, y in points) or 1.0
    drawn = [
        _step_line(one, most_x, most_y, _COLOURS[number % len(_COLOURS)])
        for number, one in enumerate(series)
    ]
    return _frame("".join(drawn), title, [one.name for one in series], most_x, most_y)


def stacked_bars(series: Sequence[Series], width_x: float, title: str) -> str:
    """Return bars of a width on the x axis, with the series one on the other.

    Examples
    --------
    >>> bars = stacked_bars([Series("a", [(0.0, 1.0)]), Series("b", [(0.0, 2.0)])], 2.0, "t")
    >>> bars.count("<rect class"), ">3<" in bars
    (2, True)
    """
    sums: dict[float, float] = {}
    for one in series:
        for x, y in one.points:
            sums[x] = sums.get(x, 0.0) + y
    if not sums:
        return ""
    most_x, most_y = max(sums) + width_x, max(sums.values()) or 1.0
    bottoms: dict[float, float] = {}
    drawn = []
    for number, one in enumerate(series):
        for x, y in one.points:
            bottom = bottoms.get(x, 0.0)
            bottoms[x] = bottom + y
            drawn.append(_bar(x, width_x, bottom, y, most_x, most_y, number))
    return _frame("".join(drawn), title, [one.name for one in series], most_x, most_y)


def _step_line(series: Series, most_x: float, most_y: float, colour: str) -> str:
    places = []
    before = None
    for x, y in series.points:
        if before is not None:
            places.append(_place(x, before, most_x, most_y))
        places.append(_place(x, y, most_x, most_y))
        before = y
    points = " ".join(f"{x:.1f},{y:.1f}" for x, y in places)
    return f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="1.5"/>'


def _bar(
    x: float, width_x: float, bottom: float, y: float, most_x: float, most_y: float, number: int
) -> str:
    left, top = _place(x, bottom + y, most_x, most_y)
    right, low = _place(x + width_x, bottom, most_x, most_y)
    colour = _COLOURS[number % len(_COLOURS)]
    return (
        f'<rect class="bar" x="{left:.1f}" y="{top:.1f}" width="{max(1.0, right - left - 1):.1f}"'
        f' height="{max(0.0, low - top):.1f}" fill="{colour}"/>'
    )


def _place(x: float, y: float, most_x: float, most_y: float) -> tuple[float, float]:
    return (
        _MARGIN_PX + x / most_x * (_WIDTH_PX - _MARGIN_PX),
        _HEIGHT_PX - y / most_y * (_HEIGHT_PX - _LEGEND_PX),
    )


def _frame(drawn: str, title: str, names: list[str], most_x: float, most_y: float) -> str:
    legend = "".join(
        f'<tspan fill="{_COLOURS[number % len(_COLOURS)]}">{escape(name)}&#160; </tspan>'
        for number, name in enumerate(names)
    )
    axes = (
        f'<path d="M{_MARGIN_PX} {_LEGEND_PX}V{_HEIGHT_PX}H{_WIDTH_PX}" fill="none" stroke="#999"/>'
        f'<text x="0" y="{_LEGEND_PX + 10}" font-size="11">{most_y:g}</text>'
        f'<text x="{_WIDTH_PX - _MARGIN_PX}" y="{_HEIGHT_PX + 14}" font-size="11">{most_x:.0f} s'
        "</text>"
    )
    head = f'<text x="{_MARGIN_PX}" y="12" font-size="12">{escape(title)}: {legend}</text>'
    return f'<svg width="{_WIDTH_PX}" height="{_HEIGHT_PX + 20}">{head}{axes}{drawn}</svg>'
