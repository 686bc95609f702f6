"""Limits on the workers that are reserved for tasks without room."""

from collections.abc import Collection, Iterable

from almondstack.placement.workers import Worker

__all__ = ["ReservationLimits", "max_reservations", "used_share"]

_MAX_RESERVED = 4
"""Bound on the workers that one round reserves in a pool."""

_MAX_STRETCH_S = 10.0
"""Longest time without a break in which workers of a pool are reserved."""

_MAX_UNUSED_STRETCH_S = 2.0
"""The same while less than half of the pool is in use.  Small tasks must start within 3 s there
(RULES, LOST), and no pool that is half empty is short of capacity."""

_BREAK_S = 0.5
"""Time in which nothing is reserved after a longest stretch, so that other tasks start."""

_SHORT_SHARE = 0.5


def max_reservations(workers: int) -> int:
    """Return how many of a pool's workers may be reserved at one time.

    Examples
    --------
    >>> [max_reservations(workers) for workers in (1, 3, 6, 40)]
    [1, 1, 3, 4]
    """
    return max(1, min(_MAX_RESERVED, workers // 2))


def used_share(workers: Iterable[Worker]) -> float:
    """Return the used share of the workers' scarcest resource, 0 to 1; 0 without workers."""
    used, total = [0, 0, 0], [0, 0, 0]
    for worker in workers:
        capacity, free = worker.info.capacity, worker.free
        total[0] += capacity.cpu_millis
        total[1] += capacity.memory_mb
        total[2] += capacity.gpus
        used[0] += capacity.cpu_millis - free.cpu_millis
        used[1] += capacity.memory_mb - free.memory_mb
        used[2] += capacity.gpus - free.gpus
    return max((part / whole for part, whole in zip(used, total, strict=True) if whole), default=0)


class ReservationLimits:
    """Bounds the time for which each pool's workers are reserved without a break.

    Explanation
    -----------
    A reservation keeps smaller tasks off a worker until a task without room fits there.  If
    that takes long, because the runs on the worker do not end, everything else would wait as
    well, so the reservations of a pool end for a moment and begin anew.

    Examples
    --------
    >>> limits = ReservationLimits()
    >>> limits.note_round("p", True, 0.0)
    >>> limits.may_reserve("p", 0.9, 5.0), limits.may_reserve("p", 0.4, 5.0)
    (True, False)
    """

    __slots__ = ("_paused_until_s", "_since_s")

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}
        self._paused_until_s: dict[str, float] = {}

    def may_reserve(self, pool: str, share: float, now_s: float) -> bool:
        """Whether workers of a pool may be reserved now, of which that share is in use."""
        if now_s < self._paused_until_s.get(pool, 0.0):
            return False
        longest_s = _MAX_STRETCH_S if share >= _SHORT_SHARE else _MAX_UNUSED_STRETCH_S
        if now_s - self._since_s.get(pool, now_s) < longest_s:
            return True
        self._since_s.pop(pool, None)
        self._paused_until_s[pool] = now_s + _BREAK_S
        return False

    def retain(self, pools: Collection[str]) -> None:
        """End the stretches of all pools but these: nothing waits in the others."""
        for pool in self._since_s.keys() - set(pools):
            del self._since_s[pool]

    def note_round(self, pool: str, has_reserved: bool, now_s: float) -> None:
        """Record whether a round has reserved workers of a pool."""
        if has_reserved:
            self._since_s.setdefault(pool, now_s)
        else:
            self._since_s.pop(pool, None)
