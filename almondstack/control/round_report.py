"""Measures how long each part of the owner's rounds takes."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from almondstack.control.planning import Planner
from almondstack.control.runs import RunTable
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog

__all__ = ["RoundReport"]

_INTERVAL_S = 2.0
"""Time between two ``owner-load`` events, in seconds."""

_MS = 1000.0


class RoundReport:
    """Sums up how long each part of the owner's rounds takes.

    Parameters
    ----------
    events : EventLog
        Receives an ``owner-load`` event every two seconds.
    metrics : LocalMetrics
        Receives each duration as ``owner.PART``.
    """

    __slots__ = ("_events", "_longest_ms", "_metrics", "_rounds", "_since_s", "_total_ms")

    def __init__(self, events: EventLog, metrics: LocalMetrics) -> None:
        self._events = events
        self._metrics = metrics
        self._reset()

    @contextmanager
    def part(self, name: str) -> Iterator[None]:
        """Measure the time that the block takes."""
        began_s = time.monotonic()
        yield
        took_ms = (time.monotonic() - began_s) * _MS
        self._metrics.timing_ms(f"owner.{name}", took_ms)
        self._total_ms[name] = self._total_ms.get(name, 0.0) + took_ms
        self._longest_ms[name] = max(took_ms, self._longest_ms.get(name, 0.0))

    def end_round(self, table: RunTable, planner: Planner) -> None:
        """Count a round, and write an event when one is due."""
        self._rounds += 1
        now_s = time.monotonic()
        if now_s - self._since_s < _INTERVAL_S:
            return
        self._events.write(
            "owner-load",
            rounds=self._rounds,
            within_s=round(now_s - self._since_s, 2),
            jobs=len(table.jobs),
            open_tasks=sum(job.open_tasks for job in table.jobs.values()),
            workers=len(table.workers),
            pools=_pool_uses(table),
            waiting=_waiting(planner),
            reserved=planner.reservations,
            mean_ms={name: round(ms / self._rounds, 1) for name, ms in self._total_ms.items()},
            longest_ms={name: round(ms, 1) for name, ms in self._longest_ms.items()},
        )
        self._reset()

    def _reset(self) -> None:
        self._rounds = 0
        self._since_s = time.monotonic()
        self._total_ms: dict[str, float] = {}
        self._longest_ms: dict[str, float] = {}


def _waiting(planner: Planner) -> dict[str, int]:
    """Return for each pool the number of steps for which no worker had room."""
    return dict(Counter(pool for pool, _ in planner.blocked))


def _pool_uses(table: RunTable) -> dict[str, list[int]]:
    """Return for each pool its reachable workers, their cores, and the cores in use."""
    uses: dict[str, list[int]] = {}
    for worker in table.workers.values():
        if not worker.is_reachable:
            continue
        use = uses.setdefault(worker.info.pool, [0, 0, 0])
        capacity = worker.info.capacity.cpu_millis
        use[0] += 1
        use[1] += capacity // 1000
        use[2] += (capacity - worker.free.cpu_millis) // 1000
    return uses
