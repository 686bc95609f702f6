"""Running totals that entries tell each other.

Explanation
-----------
An entry sends its own :class:`UsageReport` a few times a second by whatever
carries messages between entries, and takes in those of others.  A report that
is not renewed counts for a while and is then forgotten.
"""

import math
import threading

import msgspec

from almondstack.core import Clock

__all__ = ["TeamUsage", "UsageBook", "UsageReport"]

_KEPT_S = 3.0


class TeamUsage(msgspec.Struct, frozen=True):
    """Running calls of one team in one pool.

    Parameters
    ----------
    pool, team : str
        Whose.
    running : int
        How many.
    """

    pool: str
    team: str
    running: int


class UsageReport(msgspec.Struct, frozen=True):
    """What runs for one entry.

    Parameters
    ----------
    entry : str
        Incarnation of the entry.
    usages : tuple of TeamUsage
        What runs; nothing else does.
    """

    entry: str
    usages: tuple[TeamUsage, ...]


class _Heard:
    """One report, and when it came."""

    __slots__ = ("at_s", "report")

    def __init__(self, report: UsageReport, at_s: float) -> None:
        self.at_s = at_s
        self.report = report


class UsageBook:
    """The newest report of each other entry.

    Parameters
    ----------
    entry : str
        This entry's own incarnation.
    clock : Clock
        Measures how old reports are.

    Examples
    --------
    >>> from almondstack.core import SystemClock
    >>> from almondstack.queueing import TeamUsage, UsageBook, UsageReport
    >>> book = UsageBook("e2", SystemClock())
    >>> book.take(UsageReport("e1", (TeamUsage("score", "north", 3),)))
    >>> book.running_elsewhere("score", "north")
    3
    """

    __slots__ = ("_clock", "_entry", "_heard", "_lock", "_oldest_s", "_totals")

    def __init__(self, entry: str, clock: Clock) -> None:
        self._entry = entry
        self._clock = clock
        self._heard: dict[str, _Heard] = {}
        self._totals: dict[tuple[str, str], int] = {}
        self._oldest_s = math.inf
        self._lock = threading.Lock()

    def take(self, report: UsageReport) -> None:
        """Take in a report; the last one of an entry counts."""
        if report.entry == self._entry:
            return
        with self._lock:
            self._heard[report.entry] = _Heard(report, self._clock.monotonic())
            self._add_up()

    def running_elsewhere(self, pool: str, team: str) -> int:
        """Return how many calls of ``team`` run in ``pool`` for other entries."""
        if self._clock.monotonic() - self._oldest_s > _KEPT_S:
            with self._lock:
                self._add_up()
        return self._totals.get((pool, team), 0)

    def _add_up(self) -> None:
        """Forget old reports and add up the others."""
        now_s = self._clock.monotonic()
        self._heard = {
            name: heard for name, heard in self._heard.items() if now_s - heard.at_s <= _KEPT_S
        }
        totals: dict[tuple[str, str], int] = {}
        for heard in self._heard.values():
            for item in heard.report.usages:
                key = (item.pool, item.team)
                totals[key] = totals.get(key, 0) + item.running
        self._totals = totals
        self._oldest_s = min((heard.at_s for heard in self._heard.values()), default=math.inf)
