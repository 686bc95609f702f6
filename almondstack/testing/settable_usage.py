"""Running totals of other entries, as old as a test wants them."""

__all__ = ["SettableUsage"]


class SettableUsage:
    """Shows what was last installed.

    Examples
    --------
    >>> from almondstack.testing.settable_usage import SettableUsage
    >>> usage = SettableUsage()
    >>> usage.set_totals({("score", "north"): 3})
    >>> usage.running_elsewhere("score", "north")
    3
    """

    __slots__ = ("_totals",)

    def __init__(self) -> None:
        self._totals: dict[tuple[str, str], int] = {}

    def set_totals(self, totals: dict[tuple[str, str], int]) -> None:
        """Replace the totals by pool and team."""
        self._totals = totals

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` run in ``pool`` for other entries."""
        return self._totals.get((pool, team), 0)
