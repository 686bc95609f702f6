"""Availability zones whose workers can't be reached."""

from collections.abc import Iterable

from almondstack.placement.workers import Worker

__all__ = ["doubtful_zones"]

_LEAST_FAILING = 2
"""One worker that does not answer says nothing of its zone."""

_BEFORE_REPORT_S = 0.3
"""A failure is reported at least so long after the call that failed was sent, in seconds."""


def doubtful_zones(workers: Iterable[Worker]) -> set[str]:
    """Return the zones in which several workers don't answer and none was heard since.

    Explanation
    -----------
    A zone that is cut off shows in the calls under way when it happens.  New work
    on its other workers would only be found stuck once their calls time out.  A
    zone is trusted again as soon as any worker in it answers.
    """
    heard_s: dict[str, float] = {}
    failed_s: dict[str, list[float]] = {}
    for worker in workers:
        zone = worker.info.zone
        heard_s[zone] = max(worker.heard_s, heard_s.get(zone, 0.0))
        if worker.failed_s > worker.heard_s:
            failed_s.setdefault(zone, []).append(worker.failed_s)
    return {
        zone
        for zone, times_s in failed_s.items()
        if len(times_s) >= _LEAST_FAILING and heard_s[zone] < min(times_s) - _BEFORE_REPORT_S
    }
