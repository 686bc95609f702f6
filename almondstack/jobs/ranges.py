"""A set of integers that is kept as ranges."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator

__all__ = ["RangeSet"]


class RangeSet:
    """Integers from 0, of which most stand side by side.

    Parameters
    ----------
    ranges : iterable of tuple of int
        First numbers, and the numbers after the last ones, ascending and apart.

    Examples
    --------
    >>> found = RangeSet([(0, 3)])
    >>> found.add(4)
    >>> found.add(3)
    >>> found.ranges(), len(found), 2 in found, found.next_missing(1)
    ([(0, 5)], 5, True, 5)
    """

    __slots__ = ("_ends", "_size", "_starts")

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self._starts: list[int] = []
        self._ends: list[int] = []
        self._size = 0
        for start, end in ranges:
            self._starts.append(start)
            self._ends.append(end)
            self._size += end - start

    def __contains__(self, number: int) -> bool:
        return self.next_missing(number) != number

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[int]:
        for start, end in self.ranges():
            yield from range(start, end)

    def ranges(self) -> list[tuple[int, int]]:
        """Return the ranges, ascending: the first number, and the number after the last one."""
        return list(zip(self._starts, self._ends, strict=True))

    def next_missing(self, number: int) -> int:
        """Return the least integer from ``number`` on that is not in the set."""
        place = bisect_right(self._starts, number) - 1
        if place >= 0 and number < self._ends[place]:
            return self._ends[place]
        return number

    def add(self, number: int) -> None:
        """Add an integer; no effect if the set has it."""
        if number in self:
            return
        self._size += 1
        after = bisect_right(self._starts, number)
        joins_before = after > 0 and self._ends[after - 1] == number
        joins_after = after < len(self._starts) and self._starts[after] == number + 1
        if joins_before and joins_after:
            self._ends[after - 1] = self._ends.pop(after)
            self._starts.pop(after)
        elif joins_before:
            self._ends[after - 1] = number + 1
        elif joins_after:
            self._starts[after] = number
        else:
            self._starts.insert(after, number)
            self._ends.insert(after, number + 1)
