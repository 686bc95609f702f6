"""Numbers of the ended runs that were read from each worker, and those to acknowledge."""

__all__ = ["ReadEnds"]


class ReadEnds:
    """Highest number of an ended run that was read from the present life of each worker.

    Explanation
    -----------
    A life numbers its ended runs from 1 without gaps, and lists one until a call that
    acknowledges its number.  A gap between two that were read shows that some call which this
    owner did not send for this life has acknowledged ends that nobody has read.

    Examples
    --------
    >>> ends = ReadEnds()
    >>> ends.note("w1", 4), ends.note("w1", 4), ends.note("w1", 7)
    (0, 0, 2)
    >>> ends.take_unacknowledged(), ends.take_unacknowledged()
    ({'w1': 7}, {})

    The next life of a known worker begins with 1:

    >>> ends.begin_life("w1")
    >>> ends.note("w1", 2)
    1
    """

    __slots__ = ("_highest", "_unacknowledged")

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}
        self._unacknowledged: dict[str, int] = {}

    def begin_life(self, worker: str) -> None:
        """Expect the numbers of another life of a worker."""
        # Numbers of the earlier life would acknowledge unread ends of this one.
        self._unacknowledged.pop(worker, None)
        if worker in self._highest:
            self._highest[worker] = 0

    def is_read(self, worker: str, number: int) -> bool:
        """Whether the ended run of that number was read before."""
        return number <= self._highest.get(worker, 0)

    def note(self, worker: str, number: int) -> int:
        """Note that an ended run was read; return how many before it were not.

        Explanation
        -----------
        Of a worker that is new to this owner, an earlier owner may have read the first ones.
        """
        highest = self._highest.get(worker, number - 1)
        self._highest[worker] = max(highest, number)
        self._unacknowledged[worker] = max(number, self._unacknowledged.get(worker, 0))
        return max(0, number - highest - 1)

    def take_unacknowledged(self) -> dict[str, int]:
        """Return and clear the highest number read since the last call for each worker."""
        taken, self._unacknowledged = self._unacknowledged, {}
        return taken
