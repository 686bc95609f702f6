"""Serves submissions, cancels and look-ups of jobs on any process."""

import time

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.intake.append_retries import AppendRetries
from almondstack.intake.attempts import UnresolvedAttempts
from almondstack.intake.direct import DirectStorage, DirectSubmission
from almondstack.intake.direct_admission import DirectAdmission
from almondstack.intake.errors import OwnerError, OwnerNotReachedError, OwnerUnclearError
from almondstack.intake.ports import OwnerPort, StoreReader
from almondstack.intake.requests import CancelRequest, SubmissionRequest
from almondstack.intake.verdicts import Receipt, Verdict, repeat_verdict
from almondstack.jobs import JobEntry, JobIndex
from almondstack.jobs.model import JobState, Submission
from almondstack.jobs.records import RecordKind, encode_submission, record_key
from almondstack.ownership.errors import StoreError
from almondstack.ownership.ports import Record, RecordStore
from almondstack.placement import QueuePolicy
from almondstack.placement.admission import Decision

__all__ = ["JobService"]

_LAG_MARGIN_S = 0.3
"""A process whose last read of the whole log is older than the interval between reads by more
than this does not use the store for callers."""

_OWNER_RETRY_PAUSE_S = 0.05
"""Interval of retries at another owner while the store is slow."""

_OWNER_TIMEOUT_S = 0.6
"""Time-out of a request to the owner.  An owner answers after its next append, within 0.1 s; one
that does not may be suspended or partitioned, and the job is then stored directly."""


class JobService:
    """Accepts, cancels and looks up jobs.

    Explanation
    -----------
    Submissions and cancels go to the owner, which stores all that have arrived in its next
    append.  If the owner can't be reached, this process appends them itself.

    Parameters
    ----------
    store : RecordStore
        Log in which accepted jobs and cancels are stored.
    index : JobIndex
        Jobs that this process has read from the log.
    reader : StoreReader
        Reads the log into the index.
    owner : OwnerPort
        Sends requests to the process that owns the jobs.
    events : EventLog
        Log of decisions on requests.
    metrics : LocalMetrics
        Counters and timers of requests and appends.
    """

    __slots__ = (
        "_admission",
        "_appends",
        "_attempts",
        "_direct",
        "_events",
        "_index",
        "_metrics",
        "_owner",
        "_reader",
        "_store",
    )

    def __init__(
        self,
        store: RecordStore,
        index: JobIndex,
        reader: StoreReader,
        owner: OwnerPort,
        events: EventLog,
        metrics: LocalMetrics,
    ) -> None:
        self._store = store
        self._index = index
        self._reader = reader
        self._owner = owner
        self._appends = AppendRetries(store.latency, events, metrics)
        self._direct = DirectStorage(store, index, reader, self._appends)
        self._admission = DirectAdmission(index, events, metrics)
        self._attempts = UnresolvedAttempts()
        self._events = events
        self._metrics = metrics

    def submit(
        self, job: str, submission: Submission, policy: QueuePolicy, timeout_s: float
    ) -> Receipt:
        """Store a submission.

        Explanation
        -----------
        ``FULL`` means that no attempt so far will make the job run, ``NOT_STORED`` that no
        attempt of this process has stored it.
        """
        entry = self._index.entry(job)
        if entry is not None:
            return Receipt(self._resubmission_verdict(job, entry, submission))
        began_s = time.monotonic()
        mark = self._index.refusal_mark(job)
        receipt = self._submit_to_owner(job, submission, timeout_s)
        is_direct = receipt is None
        if receipt is None and self._store.latency.is_slow:
            # Appends of single jobs would delay those of the next owner in a slow store.
            receipt = Receipt(self._not_stored(job))
        if receipt is None:
            wanted = DirectSubmission(
                job,
                submission,
                mark,
                lambda found: self._resubmission_verdict(job, found, submission),
            )
            left_s = timeout_s - (time.monotonic() - began_s)
            receipt = self._submit_directly(wanted, submission, policy, left_s)
        self._log_submission(job, submission, receipt, is_direct)
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
            verdict = self._appends.run(
                lambda try_s: self._store.append([record], try_s), job, left_s
            )
        if verdict is Verdict.DONE:
            self._index.apply(record.key, record.value)
        self._events.write("job-cancelled", job=job, verdict=verdict, is_direct=is_direct)
        return verdict

    def state(self, job: str, account: str) -> JobState | Verdict:
        """Return the state of a job, or the verdict if there is none to return."""
        entry = self._find(job, account)
        return entry if isinstance(entry, Verdict) else entry.shown_state

    def pending(self, queue: str) -> int:
        """Return the number of jobs in a queue that have not started a task."""
        return self._index.pending(queue)

    @property
    def _is_behind(self) -> bool:
        """Whether this process has no contact with the store, or lags behind its log."""
        return self._reader.lag_s > self._reader.read_gap_s + _LAG_MARGIN_S

    def _submit_to_owner(
        self, job: str, submission: Submission, timeout_s: float
    ) -> Receipt | None:
        """Return the owner's receipt; None if this process may store the job directly."""
        receipt = self._ask_owner(job, submission, timeout_s)
        if receipt is None or receipt.verdict is Verdict.UNCLEAR:
            return receipt
        if receipt.verdict is Verdict.NOT_STORED:
            self._attempts.discard(job)
            return receipt._replace(verdict=self._not_stored(job))
        if receipt.verdict is Verdict.DONE:
            self._index.apply(record_key(RecordKind.SUBMISSION, job), encode_submission(submission))
        # The job is stored and visible to all, or its attempts are fenced.
        self._attempts.clear(job)
        return receipt

    def _ask_owner(self, job: str, submission: Submission, timeout_s: float) -> Receipt | None:
        """Ask the owner; while the store is slow, retry until there is a new one that answers."""
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
                self._attempts.discard(job)
                failure = failure or error
            except OwnerUnclearError as error:
                failure = error
            if not self._may_retry_owner(until_s):
                break
            time.sleep(_OWNER_RETRY_PAUSE_S)
        self._log_owner_failure(job, failure)
        return None

    def _may_retry_owner(self, until_s: float) -> bool:
        """Whether to retry until there is a new owner.

        Explanation
        -----------
        A slow store executes few appends; they should be the new owner's claim and appends.
        """
        latency = self._store.latency
        return (
            latency.is_slow
            and time.monotonic() + _OWNER_RETRY_PAUSE_S + latency.expected_s < until_s
        )

    def _submit_directly(
        self,
        wanted: DirectSubmission,
        submission: Submission,
        policy: QueuePolicy,
        timeout_s: float,
    ) -> Receipt:
        job = wanted.job
        if self._is_behind:
            return Receipt(self._not_stored(job))
        decision = self._admission.decide(job, submission, policy)
        if not decision.is_accepted:
            return self._reject_directly(wanted, submission, policy, decision)
        self._attempts.begin(job)
        verdict = self._direct.submit(wanted, timeout_s)
        if verdict is Verdict.NOT_STORED:
            self._attempts.discard(job)
            return Receipt(self._not_stored(job))
        if verdict is not Verdict.UNCLEAR:
            self._attempts.clear(job)
            self._admission.release(job, submission)
        return Receipt(verdict)

    def _reject_directly(
        self,
        wanted: DirectSubmission,
        submission: Submission,
        policy: QueuePolicy,
        decision: Decision,
    ) -> Receipt:
        """Answer a rejected submission, whose job another process may have stored already."""
        job = wanted.job
        if not self._read_to_end(job):
            return Receipt(self._not_stored(job))
        entry = self._index.entry(job)
        if entry is not None:
            self._attempts.clear(job)
            self._admission.release(job, submission)
            return Receipt(wanted.stored_verdict(entry))
        self._admission.report(job, submission, policy, decision)
        return Receipt(self._not_stored(job), decision.late_ms, decision.retry_s)

    def _cancel_at_owner(self, job: str, timeout_s: float) -> Verdict:
        try:
            return self._owner.ask(CancelRequest(job), self._owner_timeout_s(timeout_s)).verdict
        except OwnerError as error:
            self._log_owner_failure(job, error)
            return Verdict.NOT_STORED

    def _owner_timeout_s(self, timeout_s: float) -> float:
        """Return the time-out of a request to the owner, which itself waits for a slow store."""
        return timeout_s if self._store.latency.is_slow else min(_OWNER_TIMEOUT_S, timeout_s)

    def _not_stored(self, job: str) -> Verdict:
        """Return the verdict for a job that this attempt has not stored but others may have."""
        return Verdict.UNCLEAR if self._attempts.may_be_stored(job) else Verdict.NOT_STORED

    def _resubmission_verdict(self, job: str, entry: JobEntry, submission: Submission) -> Verdict:
        verdict = repeat_verdict(submission, entry)
        self._events.write("job-repeated", job=job, verdict=verdict)
        return verdict

    def _find(self, job: str, account: str) -> JobEntry | Verdict:
        entry = self._index.entry(job)
        if entry is None:
            if not self._read_to_end(job):
                return Verdict.UNCLEAR
            entry = self._index.entry(job)
        if entry is None or (entry.account and entry.account != account):
            return Verdict.UNKNOWN_JOB
        return entry

    def _read_to_end(self, job: str) -> bool:
        """Read to the end of the log; return False if it can't be read now."""
        if self._is_behind:
            self._metrics.count("lookup.behind")
            return False
        try:
            self._reader.sync()
        except StoreError as error:
            self._events.write("lookup-failed", job=job, error=str(error))
            return False
        return True

    def _log_owner_failure(self, job: str, error: OwnerError) -> None:
        self._metrics.count(f"owner.{error.code}")
        self._events.write("owner-not-asked", job=job, error=str(error))

    def _log_submission(
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
            owner_age_s=round(time.monotonic() - self._index.owner_record_s, 2),
            store_age_s=round(self._reader.lag_s, 2),
        )
        self._metrics.count(f"submit.{receipt.verdict}")
