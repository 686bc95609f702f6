"""Detects availability zones and racks whose workers can't be reached."""

from collections.abc import Iterable
from typing import NamedTuple

from almondstack.placement.workers import Worker

__all__ = ["UnreachableDomains", "find_unreachable"]

_MIN_FAILING = 2
"""A single worker that does not answer is no evidence about its zone or rack."""

_REPORT_DELAY_S = 0.3
"""Shortest time from sending a call until its failure is reported, in seconds."""


class UnreachableDomains(NamedTuple):
    """The zones and racks in which no worker answers."""

    zones: frozenset[str] = frozenset()
    racks: frozenset[str] = frozenset()

    def covers(self, zone: str, rack: str) -> bool:
        """Return whether a worker in this zone and rack is unreachable; the rack may be empty."""
        return zone in self.zones or (bool(rack) and rack in self.racks)


def find_unreachable(workers: Iterable[Worker]) -> UnreachableDomains:
    """Return the zones and racks where calls to several workers failed and none answered since.

    Explanation
    -----------
    If a zone is cut off or a rack goes down, the calls in progress fail first.
    New work on the other workers there would be stuck until the calls to them time
    out, so they count as unreachable too.  The zone or rack counts as reachable
    again as soon as any worker in it answers.
    """
    workers = list(workers)
    return UnreachableDomains(
        _unanswering([(worker.info.zone, worker) for worker in workers]),
        _unanswering([(worker.info.rack, worker) for worker in workers if worker.info.rack]),
    )


def _unanswering(placed: list[tuple[str, Worker]]) -> frozenset[str]:
    last_answer_s: dict[str, float] = {}
    failures_s: dict[str, list[float]] = {}
    for place, worker in placed:
        last_answer_s[place] = max(worker.last_answer_s, last_answer_s.get(place, 0.0))
        if worker.last_failure_s > worker.last_answer_s:
            failures_s.setdefault(place, []).append(worker.last_failure_s)
    return frozenset(
        place
        for place, times_s in failures_s.items()
        if len(times_s) >= _MIN_FAILING and last_answer_s[place] < min(times_s) - _REPORT_DELAY_S
    )
