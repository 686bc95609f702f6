"""Counts the permits held by this process and those in use.

Explanation
-----------
The table is independent of the source of the permits.  One lock guards it.
Acquiring several resources is atomic, because all are checked before any is
acquired.  Each permit of a rate adds one token per second to a token bucket
(Turner 1986).
"""

import threading
from collections.abc import Callable, Iterable

from almondstack.core import Clock
from almondstack.model import is_rate

__all__ = ["UNMET_DEMAND_TTL_S", "Holding", "PermitTable"]

UNMET_DEMAND_TTL_S = 1.0


class Holding:
    """Counts for one resource; guarded by the lock of the table."""

    __slots__ = (
        "acquired",
        "burst_s",
        "held",
        "last_failure_s",
        "last_refill_s",
        "tokens",
        "used",
        "waiting",
    )

    def __init__(self) -> None:
        self.held = 0
        self.used = 0
        self.waiting = 0
        self.acquired = 0
        self.last_failure_s = float("-inf")
        self.tokens = 0.0
        self.last_refill_s = 0.0
        self.burst_s = 1.0

    def refill(self, now_s: float) -> None:
        """Add the tokens for the time since the last call."""
        max_tokens = max(1.0, self.held * self.burst_s) if self.held else 0.0
        self.tokens = min(
            max_tokens, self.tokens + max(0.0, now_s - self.last_refill_s) * self.held
        )
        self.last_refill_s = now_s


class PermitTable:
    """Thread-safe counts of permits held and in use.

    Parameters
    ----------
    clock : Clock
        Refills the token buckets of rates.

    Examples
    --------
    >>> from almondstack.core import SystemClock
    >>> from almondstack.permits import PermitTable
    >>> table = PermitTable(SystemClock())
    >>> table.set_held({"ceiling/north": 1})
    True
    >>> table.try_acquire(["ceiling/north"]), table.try_acquire(["ceiling/north"])
    (True, False)
    """

    __slots__ = ("_clock", "_holdings", "_listeners", "_lock", "_wanted_resources")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holdings: dict[str, Holding] = {}
        self._listeners: list[Callable[[], None]] = []
        self._wanted_resources: set[str] = set()
        self._lock = threading.RLock()

    @property
    def lock(self) -> threading.RLock:
        """Lock of all counts; hold it to change several counts together."""
        return self._lock

    def holding(self, resource: str) -> Holding:
        """Return the counts of ``resource``; the caller holds the lock."""
        found = self._holdings.get(resource)
        if found is None:
            found = self._holdings[resource] = Holding()
        return found

    def resources(self) -> list[str]:
        """Return the resources that this process has ever held or tried to acquire."""
        with self._lock:
            return list(self._holdings)

    def wanted_resources(self) -> list[str]:
        """Return the resources with waiting calls or a recent failed attempt to acquire."""
        oldest_s = self._clock.monotonic() - UNMET_DEMAND_TTL_S
        with self._lock:
            for name in list(self._wanted_resources):
                item = self._holdings[name]
                if not item.waiting and item.last_failure_s < oldest_s:
                    self._wanted_resources.discard(name)
            return list(self._wanted_resources)

    def try_acquire(self, resources: Iterable[str]) -> bool:
        """Acquire one permit of each resource; return False and acquire none if one is lacking."""
        with self._lock:
            wanted = [(name, self.holding(name)) for name in resources]
            for name, item in wanted:
                if not self._has_free(name, item):
                    item.last_failure_s = self._clock.monotonic()
                    self._wanted_resources.add(name)
                    return False
            for name, item in wanted:
                item.acquired += 1
                item.last_failure_s = float("-inf")
                if is_rate(name):
                    item.tokens -= 1
                else:
                    item.used += 1
            return True

    def release(self, resources: Iterable[str]) -> None:
        """Release one permit of each resource; tokens of rates stay consumed."""
        with self._lock:
            for name in resources:
                if not is_rate(name):
                    self.holding(name).used -= 1
        self.notify()

    def free_count(self, resource: str) -> int:
        """Return the number of permits not in use; for a rate, the whole tokens available."""
        with self._lock:
            item = self.holding(resource)
            if is_rate(resource):
                item.refill(self._clock.monotonic())
                return int(item.tokens)
            return max(0, item.held - item.used)

    def held_count(self, resource: str) -> int:
        """Return the number of permits held, in use or not."""
        with self._lock:
            return self.holding(resource).held

    def set_demand(self, resource: str, waiting: int) -> None:
        """Set how many calls wait for ``resource``."""
        with self._lock:
            item = self.holding(resource)
            item.waiting = waiting
            if waiting:
                self._wanted_resources.add(resource)
            item.last_failure_s = float("-inf")

    def set_held(self, held: dict[str, int], bursts: dict[str, float] | None = None) -> bool:
        """Replace the counts of permits held; return True if any count has increased.

        Parameters
        ----------
        held : dict of str to int
            Permits by resource; resources not contained have none.
        bursts : dict of str to float, optional
            Size of the token buckets of rates, in seconds of their rate.
        """
        now_s = self._clock.monotonic()
        has_increased = False
        with self._lock:
            for name in self._holdings.keys() | held.keys():
                item = self.holding(name)
                count = held.get(name, 0)
                item.refill(now_s)
                item.burst_s = (bursts or {}).get(name, item.burst_s)
                has_increased = has_increased or count > item.held
                item.held = count
        return has_increased

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` whenever permits were added or released."""
        self._listeners.append(listener)

    def notify(self) -> None:
        """Call the listeners; the caller must not hold the lock."""
        for listener in self._listeners:
            listener()

    def _has_free(self, name: str, item: Holding) -> bool:
        if not is_rate(name):
            return item.used < item.held
        item.refill(self._clock.monotonic())
        return item.tokens >= 1
