"""Fleet usage whose totals a test sets, to simulate outdated totals."""

__all__ = ["SettableUsage"]


class SettableUsage:
    """Reports the totals that were last set.

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
        """Replace the running totals, given by pool and team."""
        self._totals = totals

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` other entries run in ``pool``."""
        return self._totals.get((pool, team), 0)
