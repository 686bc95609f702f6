"""Delays of jobs: seconds by cause, kept for each job until it ends.

Explanation
-----------
Steps of one job wait in parallel, and so do the tasks of one step.  Seconds are
counted once for each step: successive waits of a step add up, while of runs that
were lost at the same time only the longest counts.
"""

from enum import StrEnum

from almondstack.jobs import RunEnd, Task

__all__ = ["DelayCause", "JobDelays"]


class DelayCause(StrEnum):
    """Why a job was delayed."""

    NO_OWNER = "no-owner"
    STORE = "store"
    INSTANCES_COMING = "instances-coming"
    POOL_FULL = "pool-full"
    CEILING = "ceiling"
    WORKER_LOST = "worker-lost"
    STOPPED = "stopped"
    FAILURES = "failures"
    SLOW_RUNS = "slow-runs"


_SLOW_FACTOR = 2.0
"""A run is slow beyond this multiple of the median of its kind."""

_MS = 1000.0

_CAUSES = {
    RunEnd.DONE: DelayCause.SLOW_RUNS,
    RunEnd.FAILED: DelayCause.FAILURES,
    RunEnd.STOPPED: DelayCause.STOPPED,
    RunEnd.BROKEN: DelayCause.STOPPED,
    RunEnd.ALONE: DelayCause.STOPPED,
    RunEnd.LAPSED: DelayCause.WORKER_LOST,
    RunEnd.LOST: DelayCause.WORKER_LOST,
}


class JobDelays:
    """Seconds of delay by job, step and cause.

    Examples
    --------
    >>> delays = JobDelays()
    >>> delays.add("j1", 0, DelayCause.POOL_FULL, 0.2)
    >>> delays.add("j1", 0, DelayCause.POOL_FULL, 0.3)
    >>> delays.raise_to("j1", 1, DelayCause.WORKER_LOST, 4.0)
    >>> delays.raise_to("j1", 1, DelayCause.WORKER_LOST, 3.0)
    >>> {cause.value: round(seconds, 1) for cause, seconds in delays.pop("j1").items()}
    {'pool-full': 0.5, 'worker-lost': 4.0}
    >>> delays.pop("j1")
    {}
    """

    __slots__ = ("_jobs",)

    def __init__(self) -> None:
        self._jobs: dict[str, dict[tuple[int, DelayCause], float]] = {}

    def add(self, job: str, step: int, cause: DelayCause, seconds: float) -> None:
        """Add seconds to a step's delay by a cause."""
        steps = self._jobs.setdefault(job, {})
        steps[step, cause] = steps.get((step, cause), 0.0) + seconds

    def raise_to(self, job: str, step: int, cause: DelayCause, seconds: float) -> None:
        """Raise a step's delay by a cause to at least this many seconds."""
        steps = self._jobs.setdefault(job, {})
        steps[step, cause] = max(steps.get((step, cause), 0.0), seconds)

    def note_run(self, task: Task, end: RunEnd, now_s: float) -> None:
        """Record by how much a run that ends now has delayed its job, if the job is still open."""
        if not task.job.is_open:
            return
        took_s = now_s - task.assigned_s
        if end is RunEnd.DONE:
            took_s -= _SLOW_FACTOR * task.job.median_ms(task.key.step) / _MS
        if took_s > 0 and not task.step.is_long_running:
            self.raise_to(task.job.id, task.key.step, _CAUSES[end], took_s)

    def pop(self, job: str) -> dict[DelayCause, float]:
        """Remove the delays of a job, and return their seconds by cause."""
        causes: dict[DelayCause, float] = {}
        for (_, cause), seconds in self._jobs.pop(job, {}).items():
            causes[cause] = causes.get(cause, 0.0) + seconds
        return causes
