"""In-memory index of all jobs, which every process builds from the records of the store."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from almondstack.core import PartLogger
from almondstack.jobs.admission_state import AdmissionState, state_after
from almondstack.jobs.errors import RecordError
from almondstack.jobs.model import JobState
from almondstack.jobs.progress import MAX_LISTED_TASKS, decode_state
from almondstack.jobs.records import (
    OwnerNotice,
    RecordKind,
    decode_notice,
    decode_submission,
    has_ranges,
    split_key,
)

__all__ = ["FleetRecord", "JobEntry", "JobIndex", "RefusalMark"]

_MAX_REFUSED_JOBS = 4_096
"""Bound on the jobs whose refusals are counted; the least recently refused are evicted first."""

_NOTHING_KNOWN = AdmissionState(known_s=0.0)

_log = PartLogger("jobs")


class JobEntry:
    """Indexed state of one job.

    Attributes
    ----------
    queue, account : str
        Queue and client account of the job.
    state : JobState
        State in the owner's newest record.
    is_cancelled : bool
        The store has a cancel of the job.
    submission : bytes
        The encoded submission.
    has_many_tasks : bool
        The job has more tasks than a progress record lists one by one.
    progress : bytes or None
        The owner's newest record of the job.
    """

    __slots__ = (
        "account",
        "has_many_tasks",
        "is_cancelled",
        "progress",
        "queue",
        "state",
        "submission",
    )

    def __init__(self, submission: bytes) -> None:
        decoded = decode_submission(submission)
        self.queue = decoded.queue
        self.account = decoded.account
        self.submission = submission
        self.has_many_tasks = decoded.task_count > MAX_LISTED_TASKS
        self.state = JobState.QUEUED
        self.is_cancelled = False
        self.progress: bytes | None = None

    @property
    def shown_state(self) -> JobState:
        """State to show to callers: a stored cancel counts at once unless the job has ended."""
        if self.is_cancelled and not self.state.is_final:
            return JobState.CANCELLED
        return self.state


class RefusalMark(NamedTuple):
    """Number of indexed refusals of a job, and of resyncs of the index, at one moment."""

    refusals: int
    resyncs: int


class FleetRecord(NamedTuple):
    """Newest record of a wave or an instance, read at a monotonic time in seconds.

    Explanation
    -----------
    It was written before it was read, by however much the clocks of two machines differ.
    """

    value: bytes
    read_s: float


class JobIndex:
    """Index of jobs that is updated by applying records in the order of the store.

    Explanation
    -----------
    The first submission of an id is kept; a repeat through another process has no
    effect.  A cancel that arrives before its submission is kept until then.
    The index also holds the owner's newest notice, the number of refusals of each
    job, and the newest record of each wave and instance.

    Parameters
    ----------
    listener : callable, optional
        Called with kind and job after a submission or cancel has changed the index.
    """

    __slots__ = (
        "_admission",
        "_cancelled",
        "_entries",
        "_fleet_records",
        "_listener",
        "_lock",
        "_notice",
        "_notice_has_ranges",
        "_owner_record_s",
        "_refusals",
        "_resyncs",
    )

    def __init__(self, listener: Callable[[RecordKind, str], None] | None = None) -> None:
        self._entries: dict[str, JobEntry] = {}
        self._cancelled: set[str] = set()
        self._notice: OwnerNotice | None = None
        self._notice_has_ranges = False
        self._admission: AdmissionState | None = None
        self._owner_record_s = 0.0
        self._refusals: OrderedDict[str, int] = OrderedDict()
        self._resyncs = 0
        self._fleet_records: dict[RecordKind, dict[str, FleetRecord]] = {
            RecordKind.WAVE: {},
            RecordKind.INSTANCE: {},
            RecordKind.MAINTENANCE: {},
        }
        self._listener = listener
        self._lock = threading.Lock()

    @property
    def notice(self) -> OwnerNotice | None:
        """The owner's newest notice."""
        return self._notice

    @property
    def notice_has_ranges(self) -> bool:
        """Whether the owner of the newest notice may write progress in the ranged form."""
        return self._notice_has_ranges

    @property
    def needs_ranges(self) -> bool:
        """Whether an open job may come to need progress records in the ranged form."""
        with self._lock:
            return any(
                entry.has_many_tasks and not entry.state.is_final
                for entry in self._entries.values()
            )

    @property
    def admission(self) -> AdmissionState:
        """The waits in the last notice that has any, and what was accepted since."""
        return self._admission or _NOTHING_KNOWN

    @property
    def owner_record_s(self) -> float:
        """Monotonic time at which a record of the owner was last read, in seconds."""
        return self._owner_record_s

    def refusal_mark(self, job: str) -> RefusalMark:
        """Return a mark that changes if the job is refused or a refusal may have been missed."""
        with self._lock:
            return RefusalMark(self._refusals.get(job, 0), self._resyncs)

    def note_resync(self) -> None:
        """Record that a snapshot replaces the full log, so refusals may have been missed."""
        with self._lock:
            self._resyncs += 1

    def retain(self, keys: set[str]) -> None:
        """Forget the jobs, cancels and fleet records of which a snapshot has no record.

        Explanation
        -----------
        They were removed from the store, and the records that said so have expired.
        """
        with self._lock:
            submitted = _names_of(RecordKind.SUBMISSION, keys)
            self._entries = {job: entry for job, entry in self._entries.items() if job in submitted}
            self._cancelled &= _names_of(RecordKind.CANCEL, keys)
            for kind, records in self._fleet_records.items():
                named = _names_of(kind, keys)
                self._fleet_records[kind] = {
                    name: record for name, record in records.items() if name in named
                }

    def set_listener(self, listener: Callable[[RecordKind, str], None] | None) -> None:
        """Replace the listener."""
        self._listener = listener

    def entry(self, job: str) -> JobEntry | None:
        """Return the entry of a job, or None if there is none."""
        return self._entries.get(job)

    def entries(self) -> list[tuple[str, JobEntry]]:
        """Return all jobs, in the order of their acceptance."""
        with self._lock:
            return list(self._entries.items())

    def fleet_record(self, kind: RecordKind, name: str) -> bytes | None:
        """Return the newest value of the record of a wave or an instance, or None."""
        found = self._fleet_records[kind].get(name)
        return found.value if found is not None else None

    def fleet_records(self, kind: RecordKind) -> dict[str, FleetRecord]:
        """Return the newest records of all waves or instances, by name."""
        with self._lock:
            return dict(self._fleet_records[kind])

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started any task."""
        with self._lock:
            return sum(
                entry.queue == queue and entry.shown_state is JobState.QUEUED
                for entry in self._entries.values()
            )

    def apply(self, key: str, value: bytes) -> None:
        """Apply one record; a record that can't be decoded is logged and skipped."""
        try:
            kind, job = split_key(key)
            is_changed = self._apply(kind, job, value)
        except RecordError as error:
            _log.warning(
                "Record of the store can't be decoded; skipping it. key=%s %s.", key, error
            )
            return
        if is_changed and self._listener is not None:
            self._listener(kind, job)

    def _apply(self, kind: RecordKind, job: str, value: bytes) -> bool:
        with self._lock:
            if kind is RecordKind.OWNER:
                self._apply_notice(value)
                return False
            if kind is RecordKind.REFUSAL:
                self._count_refusal(job)
                return False
            if kind in self._fleet_records:
                self._fleet_records[kind][job] = FleetRecord(value, time.monotonic())
                return False
            if not value:
                self._remove(kind, job)
                return False
            return _APPLIERS[kind](self, job, value)

    def _apply_notice(self, value: bytes) -> None:
        notice = decode_notice(value)
        self._owner_record_s = time.monotonic()
        # A notice that is read again with a snapshot makes nothing newer.
        if not notice.written_unix_ms or notice != self._notice:
            self._admission = state_after(
                self._admission, notice, self._owner_record_s, time.time()
            )
        self._notice = notice
        self._notice_has_ranges = has_ranges(value)

    def _count_refusal(self, job: str) -> None:
        self._refusals[job] = self._refusals.pop(job, 0) + 1
        if len(self._refusals) > _MAX_REFUSED_JOBS:
            self._refusals.popitem(last=False)

    def _remove(self, kind: RecordKind, job: str) -> None:
        if kind is RecordKind.SUBMISSION:
            self._entries.pop(job, None)
        self._cancelled.discard(job)

    def _apply_submission(self, job: str, value: bytes) -> bool:
        if job in self._entries:
            return False
        entry = JobEntry(value)
        entry.is_cancelled = job in self._cancelled
        self._entries[job] = entry
        if self._admission is not None and entry.account in self._admission.beyond:
            self._admission.note_accepted(decode_submission(value))
        return True

    def _apply_cancel(self, job: str, value: bytes) -> bool:
        self._cancelled.add(job)
        entry = self._entries.get(job)
        if entry is None or entry.is_cancelled:
            return False
        entry.is_cancelled = True
        return True

    def _apply_progress(self, job: str, value: bytes) -> bool:
        self._owner_record_s = time.monotonic()
        entry = self._entries.get(job)
        if entry is not None:
            entry.state = decode_state(value)
            entry.progress = value
        return False


def _names_of(kind: RecordKind, keys: set[str]) -> set[str]:
    """Return the names in those keys that are of a kind."""
    return {key.removeprefix(kind) for key in keys if key.startswith(kind)}


_APPLIERS = {
    RecordKind.SUBMISSION: JobIndex._apply_submission,
    RecordKind.CANCEL: JobIndex._apply_cancel,
    RecordKind.PROGRESS: JobIndex._apply_progress,
}
