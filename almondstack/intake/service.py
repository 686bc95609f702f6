"""What callers may ask of jobs, on any process."""

from typing import Protocol

from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake.appends import PatientAppends
from almondstack.intake.attempts import (
    UnsettledAttempts,
    attempt_epoch,
    attempt_producer,
    fence_epoch,
)
from almondstack.intake.verdicts import Verdict
from almondstack.jobs import JobBook, JobEntry
from almondstack.jobs.active import chain_lengths_ms
from almondstack.jobs.model import JobState, Submission
from almondstack.jobs.records import RecordKind, encode_submission, record_key
from almondstack.ownership.errors import FencedError, StoreError
from almondstack.ownership.ports import Record, RecordStore
from almondstack.placement import QueuePolicy
from almondstack.placement.backlog import is_in_time

__all__ = ["JobService", "StoreReader"]

_SILENT_S = 1.0
"""A store that this process has not heard for longer is not asked for new jobs, in seconds;
while it answers, one read follows on another within three quarters of a second."""

_MOST_NOTICE_AGE_S = 2.5
"""What the owner said longer ago says nothing of now, in seconds."""


class StoreReader(Protocol):
    """Follows the store into the book."""

    @property
    def contact_age_s(self) -> float:
        """Seconds since the store last answered a read."""
        ...

    @property
    def next_offset(self) -> int:
        """The offset up to which the store is folded into the book."""
        ...

    def sync(self) -> None:
        """Read to the present end of the store in the calling thread.

        Raises
        ------
        StoreError
            The store did not answer as it should.
        """
        ...


class JobService:
    """Accepts, cancels and shows jobs.

    Parameters
    ----------
    store : RecordStore
        Where accepted jobs and cancels are stored.
    book : JobBook
        What this process has folded.
    reader : StoreReader
        Follows the store into the book.
    events : EventLog
        Takes a line for each decision.
    metrics : NullMetrics
        Counts and times them.
    """

    __slots__ = ("_appends", "_attempts", "_book", "_events", "_metrics", "_reader", "_store")

    def __init__(
        self,
        store: RecordStore,
        book: JobBook,
        reader: StoreReader,
        events: EventLog,
        metrics: NullMetrics,
    ) -> None:
        self._store = store
        self._book = book
        self._reader = reader
        self._appends = PatientAppends(store.tempo, events, metrics)
        self._attempts = UnsettledAttempts()
        self._events = events
        self._metrics = metrics

    def submit(
        self, job: str, submission: Submission, policy: QueuePolicy, timeout_s: float
    ) -> Verdict:
        """Store a submission.

        Explanation
        -----------
        ``FULL`` says that the job never runs by any attempt so far, ``NOT_STORED``
        that no attempt of this process has stored it.  The epoch of an attempt is
        taken first, so that every later refusal fences it.
        """
        epoch = attempt_epoch(self._reader.next_offset)
        entry = self._book.entry(job)
        if entry is not None:
            return self._known(job, entry, submission)
        late_ms = self.excess_wait_ms(submission, policy)
        if late_ms > 0:
            return self._refuse(job, submission, late_ms, timeout_s)
        silence_s = self._reader.contact_age_s
        if silence_s > _SILENT_S:
            self._events.write("job-not-stored", job=job, store_silence_s=round(silence_s, 2))
            self._metrics.count("submit.silent")
            return self._not_stored(job)
        verdict = self._store_submission(job, submission, epoch, timeout_s)
        self._events.write(
            "job-submitted",
            job=job,
            queue=submission.queue,
            account=submission.account,
            verdict=verdict,
        )
        self._metrics.count(f"submit.{verdict}")
        return verdict

    def _store_submission(
        self, job: str, submission: Submission, epoch: int, timeout_s: float
    ) -> Verdict:
        record = Record(record_key(RecordKind.SUBMISSION, job), encode_submission(submission))
        producer = attempt_producer(job, submission)
        self._attempts.begin(job)
        try:
            verdict = self._appends.store_until(
                lambda try_s: self._store.append_attempt(record, producer, epoch, try_s),
                job,
                timeout_s,
            )
        except FencedError as error:
            self._appends.note_failure(job, error, is_unclear=False)
            self._attempts.settle(job)
            return self._found_or(self._not_stored(job), job, submission)
        if verdict is Verdict.DONE:
            self._attempts.close(job)
            self._book.apply(record.key, record.value)
        if verdict is Verdict.NOT_STORED:
            self._attempts.settle(job)
            return self._not_stored(job)
        return verdict

    def cancel(self, job: str, account: str, timeout_s: float) -> Verdict:
        """Store a cancel of a job."""
        entry = self._find(job, account)
        if isinstance(entry, Verdict):
            return entry
        if entry.is_cancelled or entry.state.is_final:
            return Verdict.DONE
        record = Record(record_key(RecordKind.CANCEL, job), b"\x01")
        verdict = self._appends.store_until(
            lambda try_s: self._store.append([record], try_s), job, timeout_s
        )
        if verdict is Verdict.DONE:
            self._book.apply(record.key, record.value)
        self._events.write("job-cancelled", job=job, verdict=verdict)
        return verdict

    def state(self, job: str, account: str) -> JobState | Verdict:
        """Return the state of a job, or why it is not known."""
        entry = self._find(job, account)
        return entry if isinstance(entry, Verdict) else entry.shown_state

    def excess_wait_ms(self, submission: Submission, policy: QueuePolicy) -> float:
        """Return by how much a job that came now would miss its objective, in milliseconds."""
        notice = self._book.notice
        if notice is None or submission.is_scheduled or submission.is_long_running:
            return 0.0
        if self._book.notice_age_s > _MOST_NOTICE_AGE_S:
            return 0.0
        wait_ms = notice.waits_ms.get(f"{policy.pool}/{submission.account}", 0)
        chain_ms = max(chain_lengths_ms(submission.steps), default=0)
        objective_ms = policy.stretch * chain_ms + policy.objective_ms
        if not wait_ms or is_in_time(wait_ms, chain_ms, objective_ms):
            return 0.0
        return wait_ms + chain_ms - objective_ms

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have started no task."""
        return self._book.pending(queue)

    def _refuse(
        self, job: str, submission: Submission, late_ms: float, timeout_s: float
    ) -> Verdict:
        """Refuse a job once no earlier attempt to hand it in can be stored any more."""
        verdict = self._shut_out(job, submission, timeout_s)
        self._events.write(
            "job-refused",
            job=job,
            queue=submission.queue,
            account=submission.account,
            late_ms=round(late_ms),
            notice_age_s=round(self._book.notice_age_s, 2),
            verdict=verdict,
        )
        self._metrics.count(f"submit.{verdict}")
        return verdict

    def _shut_out(self, job: str, submission: Submission, timeout_s: float) -> Verdict:
        """Fence earlier attempts; ``FULL`` if none of them has stored the job."""
        if not self._is_synced(job):
            return self._not_stored(job)
        producer = attempt_producer(job, submission)
        epoch = fence_epoch(self._reader.next_offset)
        try:
            verdict = self._appends.store_until(
                lambda try_s: self._store.fence_attempts(producer, epoch, try_s), job, timeout_s
            )
        except FencedError:
            # A later epoch, of another refusal or of an attempt that is stored, fences as well.
            verdict = Verdict.DONE
        if verdict is Verdict.NOT_STORED:
            return self._not_stored(job)
        if verdict is not Verdict.DONE:
            return verdict
        self._attempts.close(job)
        return self._found_or(Verdict.FULL, job, submission)

    def _not_stored(self, job: str) -> Verdict:
        """Return what may be said of a job that this attempt has not stored."""
        return Verdict.UNCLEAR if self._attempts.is_open(job) else Verdict.NOT_STORED

    def _found_or(self, verdict: Verdict, job: str, submission: Submission) -> Verdict:
        """Look for the job behind a fence, in all that is stored; ``verdict`` if it isn't there."""
        if not self._is_synced(job):
            return Verdict.UNCLEAR
        entry = self._book.entry(job)
        return verdict if entry is None else self._known(job, entry, submission)

    def _is_synced(self, job: str) -> bool:
        """Read to the end of the store; False if it can't be read now."""
        try:
            self._reader.sync()
        except StoreError as error:
            self._events.write("lookup-failed", job=job, error=str(error))
            return False
        return True

    def _known(self, job: str, entry: JobEntry, submission: Submission) -> Verdict:
        is_same = entry.account == submission.account and entry.queue == submission.queue
        self._events.write("job-repeated", job=job, is_same=is_same)
        return Verdict.KNOWN if is_same else Verdict.CONFLICT

    def _find(self, job: str, account: str) -> JobEntry | Verdict:
        entry = self._book.entry(job)
        if entry is None:
            if not self._is_synced(job):
                return Verdict.UNCLEAR
            entry = self._book.entry(job)
        if entry is None or (entry.account and entry.account != account):
            return Verdict.UNKNOWN_JOB
        return entry
