"""Why jobs wait: seconds by cause, kept for each job until it ends.

Explanation
-----------
Steps of one job wait side by side, and so do the tasks of one step.  Seconds are
counted once for each step: waits of a step follow one another and add up, while
of runs that were lost together the longest counts.
"""

from enum import StrEnum

from almondstack.jobs import RunEnd, Task

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


_USUAL_FACTOR = 2.0
"""Estimates are rough: a run is slow from so many times its estimate on."""

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
    """Seconds of delay by job and cause.

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
        """Add to what a step has waited for a cause."""
        steps = self._jobs.setdefault(job, {})
        steps[step, cause] = steps.get((step, cause), 0.0) + seconds

    def raise_to(self, job: str, step: int, cause: DelayCause, seconds: float) -> None:
        """Let a step have waited for a cause for so long at least."""
        steps = self._jobs.setdefault(job, {})
        steps[step, cause] = max(steps.get((step, cause), 0.0), seconds)

    def note_run(self, task: Task, end: RunEnd, now_s: float) -> None:
        """Note by how much a run that ends now has held up its job, if that is still open."""
        if not task.job.is_open:
            return
        took_s = now_s - task.assigned_s
        if end is RunEnd.DONE:
            took_s -= _USUAL_FACTOR * task.step.estimate_ms / _MS
        if took_s > 0 and not task.step.is_long_running:
            self.raise_to(task.job.id, task.key.step, _CAUSES[end], took_s)

    def pop(self, job: str) -> dict[DelayCause, float]:
        """Return, and forget, the seconds of a job by cause."""
        causes: dict[DelayCause, float] = {}
        for (_, cause), seconds in self._jobs.pop(job, {}).items():
            causes[cause] = causes.get(cause, 0.0) + seconds
        return causes
