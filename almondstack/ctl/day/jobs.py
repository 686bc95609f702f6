"""Derives the outcome of each job and the main cause of its delay from log events."""

from collections.abc import Callable
from enum import StrEnum
from functools import partial

from almondstack.control.delays import DelayCause
from almondstack.ctl.log_events import LogEvent
from almondstack.intake import Verdict

__all__ = ["NOT_EXPLAINED", "DayJob", "DayJobs", "Outcome"]

NOT_EXPLAINED = "not-explained"
"""Cause of a job for which the log does not give enough information."""

_MIN_EXPLAINED_FRACTION = 0.5
"""Logged delays explain a late job if they sum to at least this fraction of its lateness."""

_LOST_CONTACT_S = 1.0
"""Seconds without contact to the store, or to the owner, after which contact counts as lost."""


class Outcome(StrEnum):
    """Outcome of a job.

    Attributes
    ----------
    IN_TIME, LATE
        Completed within, or after, the objective.
    REFUSED
        No process accepted it.
    LASTING
        Accepted long-running job, for which no completion time is expected.
    OPEN
        Accepted job whose end is not in the logs.
    """

    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LASTING = "lasting"
    OPEN = "open"


class DayJob:
    """State of one job, built from the log events of all processes.

    Attributes
    ----------
    queue, account, zone : str
        Queue and client account, and the zone of the process that logged the first event.
    first_s : float
        Unix time of the first event of the job, in seconds.
    """

    __slots__ = (
        "_accepted_s",
        "_delays_s",
        "_ended_s",
        "_is_cancelled",
        "_is_lasting",
        "_last_refusal_cause",
        "_objective_s",
        "_state",
        "account",
        "first_s",
        "queue",
        "zone",
    )

    def __init__(self, first_s: float, zone: str) -> None:
        self.first_s = first_s
        self.zone = zone
        self.queue = ""
        self.account = ""
        self._accepted_s: float | None = None
        self._ended_s: float | None = None
        self._objective_s: float | None = None
        self._state = ""
        self._delays_s: dict[str, float] = {}
        self._is_cancelled = False
        self._is_lasting = False
        self._last_refusal_cause = ""

    @property
    def outcome(self) -> Outcome:
        """Outcome according to the events so far."""
        if self._is_cancelled or self._state == "cancelled":
            return Outcome.CANCELLED
        if self._is_lasting:
            return Outcome.LASTING if self._is_accepted else Outcome.REFUSED
        if self._state == "failed":
            return Outcome.FAILED
        if self._state == "completed":
            return Outcome.LATE if self.late_s > 0 else Outcome.IN_TIME
        return Outcome.OPEN if self._is_accepted else Outcome.REFUSED

    @property
    def late_s(self) -> float:
        """Seconds by which the time from first event to end exceeds the objective; at least 0."""
        if self._ended_s is None or self._objective_s is None:
            return 0.0
        return max(0.0, self._ended_s - self.first_s - self._objective_s)

    @property
    def cause(self) -> str:
        """Main cause of delay or failure; empty if the job is in time, cancelled or lasting."""
        outcome = self.outcome
        if outcome in (Outcome.IN_TIME, Outcome.CANCELLED, Outcome.LASTING):
            return ""
        if outcome is Outcome.REFUSED:
            return self._last_refusal_cause or NOT_EXPLAINED
        if outcome is Outcome.FAILED:
            return DelayCause.FAILURES.value
        delays_s = self._delays_with_refusals_s()
        if sum(delays_s.values()) < _MIN_EXPLAINED_FRACTION * self.late_s or not delays_s:
            return NOT_EXPLAINED
        return max(delays_s, key=delays_s.__getitem__)

    @property
    def _is_accepted(self) -> bool:
        return self._accepted_s is not None or bool(self._state)

    def add_submission(self, event: LogEvent) -> None:
        """Apply the event of a submission: accepted, refused or repeated."""
        fields = event.fields
        self.queue = fields.get("queue", self.queue)
        self.account = fields.get("account", self.account)
        self._is_lasting = self._is_lasting or bool(fields.get("is_lasting"))
        if fields.get("verdict") in (Verdict.DONE, Verdict.KNOWN):
            self._accepted_s = self._accepted_s or event.time_s
        else:
            self._last_refusal_cause = _refusal_cause(event)

    def set_end(self, event: LogEvent) -> None:
        """Apply the event that the owner logs when the job ends."""
        fields = event.fields
        self.queue = fields.get("queue", self.queue)
        self.account = fields.get("account", self.account)
        self._ended_s = event.time_s
        self._state = str(fields.get("state", ""))
        self._objective_s = fields.get("objective_s")
        self._delays_s = dict(fields.get("delays_s") or {})

    def set_cancelled(self, event: LogEvent) -> None:
        """Apply the event of a cancellation, which takes effect if its verdict is done."""
        self._is_cancelled = event.fields.get("verdict") == Verdict.DONE

    def _delays_with_refusals_s(self) -> dict[str, float]:
        """Return seconds of delay by cause, including the time until the job was accepted."""
        delays_s = dict(self._delays_s)
        if self._last_refusal_cause and self._accepted_s is not None:
            waited_s = self._accepted_s - self.first_s
            delays_s[self._last_refusal_cause] = (
                delays_s.get(self._last_refusal_cause, 0.0) + waited_s
            )
        return delays_s


class DayJobs:
    """Collects the jobs of a day from log events.

    Attributes
    ----------
    jobs : dict of str to DayJob
        Jobs by id.
    """

    __slots__ = ("_handlers", "_zones", "jobs")

    def __init__(self) -> None:
        self.jobs: dict[str, DayJob] = {}
        self._zones: dict[str, str] = {}
        self._handlers: dict[str, Callable[[LogEvent], None]] = {
            "start": self._set_zone,
            "job-submitted": partial(self._update_job, DayJob.add_submission),
            "job-refused": partial(self._update_job, DayJob.add_submission),
            "job-repeated": partial(self._update_job, DayJob.add_submission),
            "job-ended": partial(self._update_job, DayJob.set_end),
            "job-cancelled": partial(self._update_job, DayJob.set_cancelled),
        }

    def add_event(self, event: LogEvent) -> None:
        """Apply an event; events must come in time order."""
        handler = self._handlers.get(event.name)
        if handler is not None:
            handler(event)

    def _set_zone(self, event: LogEvent) -> None:
        self._zones[event.node] = str(event.fields.get("zone", ""))

    def _update_job(self, update: Callable[[DayJob, LogEvent], None], event: LogEvent) -> None:
        if event.job not in self.jobs:
            self.jobs[event.job] = DayJob(event.time_s, self._zones.get(event.node, ""))
        update(self.jobs[event.job], event)


def _refusal_cause(event: LogEvent) -> str:
    """Return why a process refused a job.

    An estimate that the job would be too late counts as a full pool.  If the pool was not
    full, the cause follows from the time since the process last received something from
    the store and from the owner.
    """
    fields = event.fields
    if fields.get("verdict") == Verdict.FULL or fields.get("late_ms", 0) > 0:
        return DelayCause.POOL_FULL.value
    if fields.get("store_age_s", 0.0) > _LOST_CONTACT_S:
        return DelayCause.STORE.value
    if fields.get("owner_age_s", 0.0) > _LOST_CONTACT_S:
        return DelayCause.NO_OWNER.value
    return DelayCause.STORE.value
