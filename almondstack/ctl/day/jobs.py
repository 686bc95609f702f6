"""The jobs of a day: what became of each, and the one cause that held it up most."""

from collections.abc import Callable
from enum import StrEnum
from functools import partial

from almondstack.control.delays import DelayCause
from almondstack.ctl.log_events import LogEvent
from almondstack.intake import Verdict

__all__ = ["NOT_EXPLAINED", "DayJob", "DayJobs", "Outcome"]

NOT_EXPLAINED = "not-explained"
"""The cause of a job of which the lines don't say enough."""

_MIN_EXPLAINED_FRACTION = 0.5
"""Delays that make up less than this share of what a job was late by don't explain it."""

_LOST_CONTACT_S = 1.0
"""A process that has not heard the store, or the owner, for longer has lost it, in seconds."""


class Outcome(StrEnum):
    """What became of a job."""

    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CANCELLED = "cancelled"
    LASTING = "lasting"
    OPEN = "open"


class DayJob:
    """A job as the lines of all processes tell of it.

    Attributes
    ----------
    queue, account, zone : str
        Whose it is, and the zone of the process that was asked first.
    first_s : float
        Unix seconds of the first line about it.
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
        """What became of it."""
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
        """Seconds beyond its objective, from the first line on; 0 if there are none."""
        if self._ended_s is None or self._objective_s is None:
            return 0.0
        return max(0.0, self._ended_s - self.first_s - self._objective_s)

    @property
    def cause(self) -> str:
        """What held it up most; empty if it was in time or cancelled."""
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
        """Note that a process was asked to take the job."""
        fields = event.fields
        self.queue = fields.get("queue", self.queue)
        self.account = fields.get("account", self.account)
        self._is_lasting = self._is_lasting or bool(fields.get("is_lasting"))
        if fields.get("verdict") in (Verdict.DONE, Verdict.KNOWN):
            self._accepted_s = self._accepted_s or event.time_s
        else:
            self._last_refusal_cause = _refusal_cause(event)

    def set_end(self, event: LogEvent) -> None:
        """Note what the owner says of a job that has ended."""
        fields = event.fields
        self.queue = fields.get("queue", self.queue)
        self.account = fields.get("account", self.account)
        self._ended_s = event.time_s
        self._state = str(fields.get("state", ""))
        self._objective_s = fields.get("objective_s")
        self._delays_s = dict(fields.get("delays_s") or {})

    def set_cancelled(self, event: LogEvent) -> None:
        """Note that it was cancelled."""
        self._is_cancelled = event.fields.get("verdict") == Verdict.DONE

    def _delays_with_refusals_s(self) -> dict[str, float]:
        """Return seconds by cause, with the time until some process took it."""
        delays_s = dict(self._delays_s)
        if self._last_refusal_cause and self._accepted_s is not None:
            waited_s = self._accepted_s - self.first_s
            delays_s[self._last_refusal_cause] = (
                delays_s.get(self._last_refusal_cause, 0.0) + waited_s
            )
        return delays_s


class DayJobs:
    """Follows the jobs of a day through the lines.

    Attributes
    ----------
    jobs : dict of str to DayJob
        By id.
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
        """Take a line into account; lines come in the order of their times."""
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
    """Return why a process did not take a job, by how long ago it had heard the others."""
    fields = event.fields
    if fields.get("verdict") == Verdict.FULL or fields.get("late_ms", 0) > 0:
        return DelayCause.POOL_FULL.value
    if fields.get("store_age_s", 0.0) > _LOST_CONTACT_S:
        return DelayCause.STORE.value
    if fields.get("owner_age_s", 0.0) > _LOST_CONTACT_S:
        return DelayCause.NO_OWNER.value
    return DelayCause.STORE.value
