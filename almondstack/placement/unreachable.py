"""Availability zones and racks whose workers can't be reached."""

from collections.abc import Iterable
from typing import NamedTuple

from almondstack.placement.workers import Worker

__all__ = ["UnreachableDomains", "find_unreachable"]

_LEAST_FAILING = 2
"""One worker that does not answer says nothing of its surroundings."""

_BEFORE_REPORT_S = 0.3
"""A failure is reported at least so long after the call that failed was sent, in seconds."""


class UnreachableDomains(NamedTuple):
    """The zones and racks from which nobody answers."""

    zones: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()

    def covers(self, zone: str, rack: str) -> bool:
        """Whether what stands in a zone and rack can not be reached."""
        return zone in self.zones or (bool(rack) and rack in self.racks)


def find_unreachable(workers: Iterable[Worker]) -> UnreachableDomains:
    """Return the zones and racks in which several workers don't answer and none was heard since.

    Explanation
    -----------
    A zone that is cut off, or a rack that is dark, shows in the calls under way
    when it happens.  New work on its other workers would only be found stuck once
    their calls time out.  It is trusted again as soon as any worker in it answers.
    """
    workers = list(workers)
    return UnreachableDomains(
        _silent([(worker.info.zone, worker) for worker in workers]),
        _silent([(worker.info.rack, worker) for worker in workers if worker.info.rack]),
    )


def _silent(placed: list[tuple[str, Worker]]) -> frozenset[str]:
    answer_s: dict[str, float] = {}
    failures_s: dict[str, list[float]] = {}
    for place, worker in placed:
        answer_s[place] = max(worker.last_answer_s, answer_s.get(place, 0.0))
        if worker.last_failure_s > worker.last_answer_s:
            failures_s.setdefault(place, []).append(worker.last_failure_s)
    return frozenset(
        place
        for place, times_s in failures_s.items()
        if len(times_s) >= _LEAST_FAILING and answer_s[place] < min(times_s) - _BEFORE_REPORT_S
    )
