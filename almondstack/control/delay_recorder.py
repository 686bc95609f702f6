"""Attributes the waits of jobs to causes, and logs them when the jobs end."""

import time
from collections.abc import Iterable

from almondstack.control.delays import DelayCause, JobDelays
from almondstack.control.fleet_controller import FleetController
from almondstack.control.planning import Planner
from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import ActiveJob, Task
from almondstack.placement import objective_s

__all__ = ["DelayRecorder"]

_MAX_INTERVAL_S = 1.0
"""Longest time since the last round that is attributed to the present cause, in seconds."""

_MIN_STORE_WAIT_S = 0.1
"""Shorter waits for the store are ordinary and not counted, in seconds."""

_MS = 1000.0


class DelayRecorder:
    """Records the delays of jobs, and writes an event for each job that ends.

    Parameters
    ----------
    delays : JobDelays
        Holds the seconds; the run table adds those of runs.
    planner, fleet : Planner, FleetController
        Provide the waiting tasks, and the pools that have instances on their way.
    events : EventLog
        Receives a ``job-ended`` event for each job.
    metrics : LocalMetrics
        Counts ended jobs by state, and late ones by cause.
    """

    __slots__ = (
        "_delays",
        "_events",
        "_fleet",
        "_last_planned_s",
        "_metrics",
        "_planner",
        "_store_wait_s",
    )

    def __init__(
        self,
        delays: JobDelays,
        planner: Planner,
        fleet: FleetController,
        events: EventLog,
        metrics: LocalMetrics,
    ) -> None:
        self._delays = delays
        self._planner = planner
        self._fleet = fleet
        self._events = events
        self._metrics = metrics
        self._last_planned_s: float | None = None
        self._store_wait_s = 0.0

    def note_inherited(self, job: ActiveJob, unowned_s: float) -> None:
        """Count for how long an inherited job had no owner."""
        if job.is_open:
            self._delays.add(job.id, 0, DelayCause.NO_OWNER, max(0.0, unowned_s))

    def note_taken_up(self, job: ActiveJob, now_unix_ms: float) -> None:
        """Count how long a new job waited for the first round that handles it."""
        waited_s = (now_unix_ms - job.submission.accepted_ms) / _MS
        if job.is_open and waited_s > _MIN_STORE_WAIT_S:
            self._delays.add(job.id, 0, DelayCause.STORE, waited_s)

    def note_planned(self, now_s: float) -> None:
        """Count the time since the last round for each step that found no worker in this one."""
        previous_s, self._last_planned_s = self._last_planned_s, now_s
        if previous_s is None:
            return
        elapsed_s = min(now_s - previous_s, _MAX_INTERVAL_S) - self._store_wait_s
        if elapsed_s <= 0:
            return
        for pool, task in self._planner.blocked:
            has_incoming = self._fleet.has_incoming_instances(pool)
            cause = DelayCause.INSTANCES_COMING if has_incoming else DelayCause.POOL_FULL
            self._delays.add(task.job.id, task.key.step, cause, elapsed_s)
        for task in self._planner.at_ceiling:
            self._delays.add(task.job.id, task.key.step, DelayCause.CEILING, elapsed_s)

    def note_stored(self, starts: Iterable[Task], took_s: float) -> None:
        """Count how long starts waited until they were stored."""
        self._store_wait_s = took_s if took_s > _MIN_STORE_WAIT_S else 0.0
        if self._store_wait_s:
            waited = {(task.job.id, task.key.step) for task in starts if task.job.is_open}
            for job, step in waited:
                self._delays.add(job, step, DelayCause.STORE, took_s)

    def note_job_end(self, job: ActiveJob) -> None:
        """Write the ``job-ended`` event of a job, and count it in the metrics."""
        state = job.state.name.lower()
        delays = self._delays.pop(job.id)
        took_s = time.time() - job.submission.accepted_ms / _MS
        objective = objective_s(job, self._planner.policy_of(job.submission))
        is_timed = not (job.submission.is_scheduled or job.submission.is_long_running)
        self._events.write(
            "job-ended",
            job=job.id,
            state=state,
            queue=job.submission.queue,
            account=job.submission.account,
            took_s=round(took_s, 3),
            objective_s=round(objective, 3) if is_timed else None,
            delays_s={cause.value: round(seconds, 2) for cause, seconds in delays.items()},
        )
        self._metrics.count(f"job.{state}")
        if is_timed and took_s > objective and delays:
            self._metrics.count(f"late.{max(delays, key=delays.__getitem__)}")
