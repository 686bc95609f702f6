"""Updates of dictionaries that other threads may iterate over without a lock.

Explanation
-----------
Readers hold no lock.  The value of an existing name is replaced in place; if a
name is added or removed, the dictionary itself is replaced by a copy, so that
an iteration over the old one never fails.
"""

from collections.abc import Iterable
from typing import TypeVar

__all__ = ["table_with", "table_without"]

V = TypeVar("V")


def table_with(table: dict[str, V], name: str, value: V) -> dict[str, V]:
    """Return a table in which ``name`` has ``value``: ``table`` itself if it has the name.

    Examples
    --------
    >>> from almondstack.fold.tables import table_with
    >>> table = {"a": 1}
    >>> table_with(table, "a", 2) is table
    True
    >>> table_with(table, "b", 3), table
    ({'a': 2, 'b': 3}, {'a': 2})
    """
    if name not in table:
        return {**table, name: value}
    table[name] = value
    return table


def table_without(table: dict[str, V], names: Iterable[str]) -> dict[str, V]:
    """Return a table without ``names``: ``table`` itself if it has none of them."""
    removed = table.keys() & set(names)
    if not removed:
        return table
    return {name: value for name, value in table.items() if name not in removed}
