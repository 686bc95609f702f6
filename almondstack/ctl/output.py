"""Prints the results of ``almondctl`` as tables or as JSON.

Explanation
-----------
Results go to standard output, progress and errors to standard error, so that
``--output json`` prints only JSON on standard output: one document, or one per line for
commands that stream results.
"""

import sys
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any

import msgspec

from almondstack.core import encode_json

__all__ = ["OutputFormat", "Printer", "render_table"]

_GAP = "  "


class OutputFormat(StrEnum):
    """Format of printed results."""

    TABLE = "table"
    JSON = "json"


def render_table(rows: Sequence[msgspec.Struct]) -> str:
    """Return structs of one type as aligned columns under their field names.

    Examples
    --------
    >>> import msgspec
    >>> from almondstack.ctl.output import render_table
    >>> class Row(msgspec.Struct):
    ...     zone: str
    ...     entries: int
    >>> print(render_table([Row("a", 2), Row("zone-b", 10)]))
    ZONE    ENTRIES
    a       2
    zone-b  10
    """
    if not rows:
        return "(none)"
    names = rows[0].__struct_fields__
    cells = [[name.upper().replace("_", " ") for name in names]]
    cells.extend([_cell(getattr(row, name)) for name in names] for row in rows)
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    lines = (
        _GAP.join(text.ljust(width) for text, width in zip(line, widths, strict=True))
        for line in cells
    )
    return "\n".join(line.rstrip() for line in lines)


def _cell(value: Any) -> str:
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    return str(value)


class Printer:
    """Prints the result of one command.

    Parameters
    ----------
    output : OutputFormat
        Table or JSON.
    """

    __slots__ = ("_output",)

    def __init__(self, output: OutputFormat) -> None:
        self._output = output

    @property
    def is_json(self) -> bool:
        """True if results are printed as JSON."""
        return self._output is OutputFormat.JSON

    def result(self, value: msgspec.Struct, summary: str = "") -> None:
        """Print a result: JSON of ``value``, or ``summary`` and tables of its fields."""
        if self.is_json:
            print(encode_json(value).decode())
            return
        if summary:
            print(summary)
        for name in value.__struct_fields__:
            self._section(name, getattr(value, name))

    def line(self, value: msgspec.Struct, text: str) -> None:
        """Print one item of a stream of results: JSON of ``value``, or ``text``."""
        print(encode_json(value).decode() if self.is_json else text, flush=True)

    @staticmethod
    def progress(text: str) -> None:
        """Print a progress message to standard error."""
        print(text, file=sys.stderr, flush=True)

    @staticmethod
    def _section(name: str, value: Any) -> None:
        is_table = isinstance(value, Iterable) and not isinstance(value, str | dict)
        if not is_table:
            print(f"{name.replace('_', ' ')}: {_cell(value)}")
            return
        rows = list(value)
        if rows and isinstance(rows[0], msgspec.Struct):
            print(f"{name.replace('_', ' ')}:")
            print(render_table(rows))
        elif rows:
            print(f"{name.replace('_', ' ')}: {', '.join(map(str, rows))}")
