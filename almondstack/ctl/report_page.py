"""Renders a report as one self-contained HTML page with tables and inline SVG plots."""

from collections.abc import Iterable
from html import escape
from typing import Any

import msgspec

__all__ = ["render_page", "render_section", "wrap_page"]

_BAR_PX = 16
_LABEL_PX = 300
_PLOT_PX = 400
_STYLE = (
    "body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}"
    "svg{display:block;overflow:visible}"
)


def render_page(report: msgspec.Struct) -> str:
    """Return the HTML page; each list of the report becomes a table with a bar plot.

    Examples
    --------
    >>> from almondstack.ctl.report import make_report
    >>> from almondstack.ctl.report_page import render_page
    >>> from almondstack.testing.builders import make_fold
    >>> render_page(make_report(make_fold(), 24.0)).count("<svg")
    2
    """
    parts = []
    for name in report.__struct_fields__:
        value = getattr(report, name)
        if isinstance(value, list):
            parts.append(f"<h2>{escape(name)}</h2>{render_section(value)}{_plot(value)}")
        else:
            parts.append(f"<p>{escape(name)}: {escape(str(value))}</p>")
    return wrap_page("Fleet report", parts)


def wrap_page(title: str, parts: Iterable[str]) -> str:
    """Return an HTML page with a title and the given HTML parts."""
    head = "<!doctype html><meta charset=utf-8><title>almondstack report</title>"
    style = f"<style>{_STYLE}</style><h1>{escape(title)}</h1>"
    return "\n".join([head, style, *parts])


def render_section(rows: list[Any]) -> str:
    """Return structs of one type as an HTML table."""
    if not rows:
        return "<p>none</p>"
    names = rows[0].__struct_fields__
    head = "".join(f"<th>{escape(name)}</th>" for name in names)
    lines = "".join(_table_row(getattr(row, name) for name in names) for row in rows)
    return f"<table><tr>{head}</tr>{lines}</table>"


def _table_row(cells: Iterable[Any]) -> str:
    return "<tr>" + "".join(f"<td>{escape(str(cell))}</td>" for cell in cells) + "</tr>"


def _plot(rows: list[Any]) -> str:
    bars = [bar for row in rows for bar in _bars(row)]
    if not bars:
        return ""
    maximum = max(value for _, value in bars) or 1
    height = _BAR_PX * len(bars) + 4
    svg_bars = "".join(
        _bar(index, label, value / maximum) for index, (label, value) in enumerate(bars)
    )
    return f'<svg width="{_LABEL_PX + _PLOT_PX}" height="{height}">{svg_bars}</svg>'


def _bars(row: Any) -> list[tuple[str, float]]:
    """Return a label and value for each bar of a row."""
    if hasattr(row, "count"):
        return [(row.what, row.count)]
    if hasattr(row, "held"):
        return [(f"held, {row.loss} loss", row.held), (f"needed, {row.loss} loss", row.needed)]
    return [(f"{row.wave} done", row.done), (f"{row.wave} members", row.members)]


def _bar(index: int, label: str, share: float) -> str:
    top = index * _BAR_PX
    text = f'<text x="0" y="{top + 12}" font-size="12">{escape(label)}</text>'
    width = max(share * _PLOT_PX, 1)
    box = f'<rect x="{_LABEL_PX}" y="{top + 2}" width="{width:.0f}" height="12" fill="#4a7"/>'
    return text + box
