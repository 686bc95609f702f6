"""Notes round by round what jobs wait for, and says so when they end."""

import time
from collections.abc import Iterable

from almondstack.control.delays import DelayCause, JobDelays
from almondstack.control.fleet_controller import FleetController
from almondstack.control.planning import Planner
from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.jobs import ActiveJob, Task
from almondstack.placement import objective_s

__all__ = ["DelayRecorder"]

_MOST_ROUND_S = 1.0
"""What lies further back than this is not put down to what holds now, in seconds."""

_NOTABLE_S = 0.1
"""Shorter waits for the store are ordinary, in seconds."""

_MS = 1000.0


class DelayRecorder:
    """Keeps the delays of jobs and writes a line about each that ends.

    Parameters
    ----------
    delays : JobDelays
        Where seconds are kept; the run table adds those of runs.
    planner, fleet : Planner, FleetController
        Know what waits, and which pools have instances on their way.
    events : EventLog
        Takes a line, ``job-ended``, for each job.
    metrics : NullMetrics
        Counts them by state, and late ones by cause.
    """

    __slots__ = ("_delays", "_events", "_fleet", "_metrics", "_planned_s", "_planner", "_stored_s")

    def __init__(
        self,
        delays: JobDelays,
        planner: Planner,
        fleet: FleetController,
        events: EventLog,
        metrics: NullMetrics,
    ) -> None:
        self._delays = delays
        self._planner = planner
        self._fleet = fleet
        self._events = events
        self._metrics = metrics
        self._planned_s: float | None = None
        self._stored_s = 0.0

    def note_inherited(self, job: ActiveJob, silent_s: float) -> None:
        """Count for how long nobody has worked on a job that was taken over."""
        if job.is_open:
            self._delays.add(job.id, 0, DelayCause.NO_OWNER, max(0.0, silent_s))

    def note_taken_up(self, job: ActiveJob, now_unix_ms: float) -> None:
        """Count how long a new job has waited until the round that takes it."""
        waited_s = (now_unix_ms - job.submission.accepted_ms) / _MS
        if job.is_open and waited_s > _NOTABLE_S:
            self._delays.add(job.id, 0, DelayCause.STORE, waited_s)

    def note_planned(self, now_s: float) -> None:
        """Count the time since the last round for all that has found no worker in this one."""
        before_s, self._planned_s = self._planned_s, now_s
        if before_s is None:
            return
        passed_s = min(now_s - before_s, _MOST_ROUND_S) - self._stored_s
        if passed_s <= 0:
            return
        for pool, task in self._planner.blocked:
            is_coming = self._fleet.has_incoming_instances(pool)
            cause = DelayCause.INSTANCES_COMING if is_coming else DelayCause.POOL_FULL
            self._delays.add(task.job.id, task.key.step, cause, passed_s)
        for task in self._planner.at_ceiling:
            self._delays.add(task.job.id, task.key.step, DelayCause.CEILING, passed_s)

    def note_stored(self, starts: Iterable[Task], took_s: float) -> None:
        """Count how long starts have waited until they were stored."""
        self._stored_s = took_s if took_s > _NOTABLE_S else 0.0
        if self._stored_s:
            waited = {(task.job.id, task.key.step) for task in starts if task.job.is_open}
            for job, step in waited:
                self._delays.add(job, step, DelayCause.STORE, took_s)

    def note_job_end(self, job: ActiveJob) -> None:
        """Write what is known of a job that has ended."""
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
