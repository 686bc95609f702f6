"""Why jobs wait: seconds by cause, kept for each job until it ends.

Explanation
-----------
Steps of one job wait side by side, and so do the tasks of one step.  Seconds are
counted once for each step: waits of a step follow one another and add up, while
of runs that were lost together the longest counts.
"""

from enum import StrEnum

__all__ = ["DelayCause", "JobDelays"]


class DelayCause(StrEnum):
    """What a job has waited for."""

    NO_OWNER = "no-owner"
    STORE = "store"
    INSTANCES_COMING = "instances-coming"
    POOL_FULL = "pool-full"
    CEILING = "ceiling"
    WORKER_LOST = "worker-lost"
    STOPPED = "stopped"
    FAILURES = "failures"
    SLOW_RUNS = "slow-runs"


class JobDelays:
    """Seconds of delay by job and cause.

    Examples
    --------
    >>> delays = JobDelays()
    >>> delays.add("j1", 0, DelayCause.POOL_FULL, 0.2)
    >>> delays.add("j1", 0, DelayCause.POOL_FULL, 0.3)
    >>> delays.raise_to("j1", 1, DelayCause.WORKER_LOST, 4.0)
    >>> delays.raise_to("j1", 1, DelayCause.WORKER_LOST, 3.0)
    >>> {cause.value: round(seconds, 1) for cause, seconds in delays.take("j1").items()}
    {'pool-full': 0.5, 'worker-lost': 4.0}
    >>> delays.take("j1")
    {}
    """

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, dict[tuple[int, DelayCause], float]] = {}

    def add(self, job: str, step: int, cause: DelayCause, seconds: float) -> None:
        """Add to what a step has waited for a cause."""
        steps = self._jobs.setdefault(job, {})
        steps[step, cause] = steps.get((step, cause), 0.0) + seconds

    def raise_to(self, job: str, step: int, cause: DelayCause, seconds: float) -> None:
        """Let a step have waited for a cause for so long at least."""
        steps = self._jobs.setdefault(job, {})
        steps[step, cause] = max(steps.get((step, cause), 0.0), seconds)

    def take(self, job: str) -> dict[DelayCause, float]:
        """Return, and forget, the seconds of a job by cause."""
        causes: dict[DelayCause, float] = {}
        for (_, cause), seconds in self._jobs.pop(job, {}).items():
            causes[cause] = causes.get(cause, 0.0) + seconds
        return causes
