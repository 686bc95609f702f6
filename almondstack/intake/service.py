"""What callers may ask of jobs, on any process."""

import time

from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake.appends import PatientAppends
from almondstack.intake.attempts import UnsettledAttempts
from almondstack.intake.direct import DirectStorage, DirectSubmission
from almondstack.intake.errors import OwnerError, OwnerNotReachedError, OwnerUnclearError
from almondstack.intake.ports import OwnerPort, StoreReader
from almondstack.intake.requests import CancelRequest, SubmissionRequest
from almondstack.intake.verdicts import Receipt, Verdict, repeat_verdict
from almondstack.jobs import JobBook, JobEntry
from almondstack.jobs.model import JobState, Submission
from almondstack.jobs.records import RecordKind, encode_submission, record_key
from almondstack.ownership.errors import StoreError
from almondstack.ownership.ports import Record, RecordStore
from almondstack.placement import QueuePolicy
from almondstack.placement.backlog import excess_wait_ms

__all__ = ["JobService"]

_SILENCE_MARGIN_S = 0.3
"""A store that this process has not heard for so much longer than reads are apart is not asked
for callers, in seconds."""

_MOST_NOTICE_AGE_S = 2.5
"""What the owner said longer ago says nothing of now, in seconds."""

_OWNER_POLL_S = 0.05
"""How often to ask for another owner while the store is slow, in seconds."""

_OWNER_TIMEOUT_S = 0.6
"""An owner answers after its next append, within a tenth of a second; one that has not by then
may be paused or cut off, and the job is soon stored in another way.  In seconds."""


class JobService:
    """Accepts, cancels and shows jobs.

    Explanation
    -----------
    Submissions and cancels go to the owner, which stores what has come with its
    next append, however many there are.  Where it can't be asked they are
    stored from here.

    Parameters
    ----------
    store : RecordStore
        Where accepted jobs and cancels are stored.
    book : JobBook
        What this process has folded.
    reader : StoreReader
        Follows the store into the book.
    owner : OwnerPort
        Asks the process that owns the jobs.
    events : EventLog
        Takes a line for each decision.
    metrics : NullMetrics
        Counts and times them.
    """

    __slots__ = (
        "_appends",
        "_attempts",
        "_book",
        "_direct",
        "_events",
        "_metrics",
        "_owner",
        "_reader",
        "_store",
    )

    def __init__(
        self,
        store: RecordStore,
        book: JobBook,
        reader: StoreReader,
        owner: OwnerPort,
        events: EventLog,
        metrics: NullMetrics,
    ) -> None:
        self._store = store
        self._book = book
        self._reader = reader
        self._owner = owner
        self._appends = PatientAppends(store.latency, events, metrics)
        self._direct = DirectStorage(store, book, reader, self._appends)
        self._attempts = UnsettledAttempts()
        self._events = events
        self._metrics = metrics

    def submit(
        self, job: str, submission: Submission, policy: QueuePolicy, timeout_s: float
    ) -> Receipt:
        """Store a submission.

        Explanation
        -----------
        ``FULL`` says that the job never runs by any attempt so far, ``NOT_STORED``
        that no attempt of this process has stored it.
        """
        entry = self._book.entry(job)
        if entry is not None:
            return Receipt(self._known(job, entry, submission))
        began_s = time.monotonic()
        mark = self._book.refusal_mark(job)
        receipt = self._submit_to_owner(job, submission, timeout_s)
        is_direct = receipt is None
        if receipt is None and self._store.latency.is_slow:
            # Each append of its own would make the next owner wait.
            receipt = Receipt(self._not_stored(job))
        if receipt is None:
            wanted = DirectSubmission(
                job, submission, mark, lambda found: self._known(job, found, submission)
            )
            left_s = timeout_s - (time.monotonic() - began_s)
            receipt = self._submit_directly(wanted, submission, policy, left_s)
        self._note_submission(job, submission, receipt, is_direct)
        return receipt

    def cancel(self, job: str, account: str, timeout_s: float) -> Verdict:
        """Store a cancel of a job."""
        entry = self._find(job, account)
        if isinstance(entry, Verdict):
            return entry
        if entry.is_cancelled or entry.state.is_final:
            return Verdict.DONE
        began_s = time.monotonic()
        record = Record(record_key(RecordKind.CANCEL, job), b"\x01")
        verdict = self._cancel_at_owner(job, timeout_s)
        is_direct = verdict is not Verdict.DONE
        if is_direct:
            left_s = timeout_s - (time.monotonic() - began_s)
            verdict = self._appends.store_until(
                lambda try_s: self._store.append([record], try_s), job, left_s
            )
        if verdict is Verdict.DONE:
            self._book.apply(record.key, record.value)
        self._events.write("job-cancelled", job=job, verdict=verdict, is_direct=is_direct)
        return verdict

    def state(self, job: str, account: str) -> JobState | Verdict:
        """Return the state of a job, or why it is not known."""
        entry = self._find(job, account)
        return entry if isinstance(entry, Verdict) else entry.shown_state

    def pending(self, queue: str) -> int:
        """Return how many jobs of a queue have started no task."""
        return self._book.pending(queue)

    @property
    def _is_behind(self) -> bool:
        """Whether this process has lost the store, or does not keep up with it."""
        return self._reader.lag_s > self._reader.read_gap_s + _SILENCE_MARGIN_S

    def _submit_to_owner(
        self, job: str, submission: Submission, timeout_s: float
    ) -> Receipt | None:
        """Return the owner's receipt; None if the job may be stored from here instead."""
        receipt = self._ask_patiently(job, submission, timeout_s)
        if receipt is None or receipt.verdict is Verdict.UNCLEAR:
            return receipt
        if receipt.verdict is Verdict.NOT_STORED:
            self._attempts.settle(job)
            return receipt._replace(verdict=self._not_stored(job))
        if receipt.verdict is Verdict.DONE:
            self._book.apply(record_key(RecordKind.SUBMISSION, job), encode_submission(submission))
        # Known to all who ask, or shut out for good.
        self._attempts.close(job)
        return receipt

    def _ask_patiently(self, job: str, submission: Submission, timeout_s: float) -> Receipt | None:
        """Ask the owner and, while the store is slow, the next one if that one is gone."""
        until_s = time.monotonic() + timeout_s
        read_offset = self._reader.next_offset
        failure: OwnerError | None = None
        while True:
            self._attempts.begin(job)
            request = SubmissionRequest(job, submission, read_offset)
            try:
                left_s = until_s - time.monotonic()
                return self._owner.ask(request, self._owner_timeout_s(left_s))
            except OwnerNotReachedError as error:
                self._attempts.settle(job)
                failure = failure or error
            except OwnerUnclearError as error:
                failure = error
            if not self._waits_for_owner(until_s):
                break
            time.sleep(_OWNER_POLL_S)
        self._note_unreached(job, failure)
        return None

    def _waits_for_owner(self, until_s: float) -> bool:
        """Whether to wait for another owner: a slow store takes few appends, and has its claim."""
        latency = self._store.latency
        return latency.is_slow and time.monotonic() + _OWNER_POLL_S + latency.expected_s < until_s

    def _submit_directly(
        self,
        wanted: DirectSubmission,
        submission: Submission,
        policy: QueuePolicy,
        timeout_s: float,
    ) -> Receipt:
        job = wanted.job
        late_ms = self._excess_wait_ms(submission, policy)
        if late_ms > 0 or self._is_behind:
            return Receipt(self._not_stored(job), late_ms)
        self._attempts.begin(job)
        verdict = self._direct.submit(wanted, timeout_s)
        if verdict is Verdict.NOT_STORED:
            self._attempts.settle(job)
            return Receipt(self._not_stored(job))
        if verdict is not Verdict.UNCLEAR:
            self._attempts.close(job)
        return Receipt(verdict)

    def _cancel_at_owner(self, job: str, timeout_s: float) -> Verdict:
        try:
            return self._owner.ask(CancelRequest(job), self._owner_timeout_s(timeout_s)).verdict
        except OwnerError as error:
            self._note_unreached(job, error)
            return Verdict.NOT_STORED

    def _owner_timeout_s(self, timeout_s: float) -> float:
        """Return how long to wait for the owner, which waits itself for a store that is slow."""
        return timeout_s if self._store.latency.is_slow else min(_OWNER_TIMEOUT_S, timeout_s)

    def _excess_wait_ms(self, submission: Submission, policy: QueuePolicy) -> float:
        """Return by how much a job would be late by what the owner has told lately."""
        notice = self._book.notice
        if notice is None or self._book.notice_age_s > _MOST_NOTICE_AGE_S:
            return 0.0
        return excess_wait_ms(notice.waits_ms, submission, policy)

    def _not_stored(self, job: str) -> Verdict:
        """Return what may be said of a job that this attempt has not stored."""
        return Verdict.UNCLEAR if self._attempts.is_open(job) else Verdict.NOT_STORED

    def _known(self, job: str, entry: JobEntry, submission: Submission) -> Verdict:
        verdict = repeat_verdict(submission, entry)
        self._events.write("job-repeated", job=job, verdict=verdict)
        return verdict

    def _find(self, job: str, account: str) -> JobEntry | Verdict:
        entry = self._book.entry(job)
        if entry is None:
            if not self._is_synced(job):
                return Verdict.UNCLEAR
            entry = self._book.entry(job)
        if entry is None or (entry.account and entry.account != account):
            return Verdict.UNKNOWN_JOB
        return entry

    def _is_synced(self, job: str) -> bool:
        """Read to the end of the store; False if it can't be read now."""
        if self._is_behind:
            self._metrics.count("lookup.behind")
            return False
        try:
            self._reader.sync()
        except StoreError as error:
            self._events.write("lookup-failed", job=job, error=str(error))
            return False
        return True

    def _note_unreached(self, job: str, error: OwnerError) -> None:
        self._metrics.count(f"owner.{error.code}")
        self._events.write("owner-not-asked", job=job, error=str(error))

    def _note_submission(
        self, job: str, submission: Submission, receipt: Receipt, is_direct: bool
    ) -> None:
        name = "job-refused" if receipt.late_ms > 0 else "job-submitted"
        self._events.write(
            name,
            job=job,
            queue=submission.queue,
            account=submission.account,
            is_lasting=submission.is_long_running,
            verdict=receipt.verdict,
            is_direct=is_direct,
            late_ms=round(receipt.late_ms),
            owner_age_s=round(time.monotonic() - self._book.owner_heard_s, 2),
            store_age_s=round(self._reader.lag_s, 2),
        )
        self._metrics.count(f"submit.{receipt.verdict}")
